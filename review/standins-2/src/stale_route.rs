//! A configuration drops a route and adds another one just after the open connections to the store
//! have gone silent.

use std::thread;
use std::time::{Duration, Instant};

use crate::common::{
    CONFIG_APPLY, CONTACT, Outcome, Run, ZONES, account, configuration, route, start_gateways,
    wait_until,
};
use crate::engine::Engine;
use crate::http;
use crate::json::Json;
use crate::store::Store;

/// Routes that are asked for: one of all configurations, one of the older and one of the newer ones.
const ROUTES: [&str; 3] = ["kept", "dropped", "added"];

/// Interval between the requests on one route at one instance.
const INTERVAL: Duration = Duration::from_millis(50);

/// Times after the first change of the configuration.
const SILENCE: Duration = Duration::from_millis(300);
const SECOND_CHANGE: Duration = Duration::from_millis(500);
const END: Duration = Duration::from_millis(8_000);

fn version(number: u64, routes: [&str; 2]) -> Json {
    let accounts = vec![account("tenant", "key", 0.0, 0.0)];
    configuration(number, routes.into_iter().map(route).collect(), accounts)
}

pub fn run(run: &Run) -> Outcome {
    let store = Store::start();
    store.put("op", "config", &version(10, ["kept", "dropped"]));
    let work = Duration::from_millis(20);
    let engines: Vec<_> =
        ZONES.iter().map(|zone| Engine::start(&store, zone, "v1", 6, work)).collect();
    let Some(gateways) = start_gateways(run, store.address) else { return Outcome::NotRun };
    // Longer than `contactMs`, so that all instances are in touch.
    thread::sleep(Duration::from_secs(5));

    let first = Instant::now();
    store.put("op", "config", &version(14, ["kept", "dropped"]));
    run.note("the store acknowledges configuration 14, with the same routes");
    let (mut next, mut calls) = (first, Vec::new());
    let (mut silenced, mut acknowledged) = (None, None);
    while Instant::now() < first + END {
        if silenced.is_none() && Instant::now() >= first + SILENCE {
            silenced = Some(Instant::now());
            if run.trouble {
                gateways.iter().for_each(|gateway| gateway.store.silence());
                run.note("the open connections to the store go silent for good; new ones work");
            }
        }
        if acknowledged.is_none() && Instant::now() >= first + SECOND_CHANGE {
            store.put("op", "config", &version(21, ["kept", "added"]));
            acknowledged = Some(Instant::now());
            run.note("the store acknowledges configuration 21, without `dropped` and with `added`");
        }
        for (at, gateway) in gateways.iter().enumerate() {
            for route in ROUTES {
                let (front, id) = (gateway.front, format!("{route}-{at}-{}", calls.len()));
                calls.push(thread::spawn(move || {
                    let headers = [
                        ("Request-Id", id.as_str()),
                        ("Authorization", "Token key"),
                        ("Deadline-Ms", "4000"),
                    ];
                    let answer = http::get(front, &format!("/{route}/x"), &headers);
                    (at, route, id, answer)
                }));
            }
        }
        next += INTERVAL;
        wait_until(next);
    }
    let (Some(silenced), Some(acknowledged)) = (silenced, acknowledged) else {
        return Outcome::NotRun;
    };
    let (mut stale, mut unserved, mut due) = (0, 0, 0);
    for call in calls {
        let Ok((at, route, id, answer)) = call.join() else { return Outcome::NotRun };
        let ran = engines.iter().any(|engine| engine.runs(&id) > 0);
        let in_touch = !run.trouble || answer.sent > silenced + CONTACT;
        let is_due = in_touch && answer.sent > acknowledged + CONFIG_APPLY;
        let mark = match (route, answer.status) {
            ("dropped", _) if is_due && ran => "  <- CONFIG: run with a dropped route",
            ("added", Some(404)) if is_due => "  <- CONFIG: refused though the route is there",
            _ => "",
        };
        due += u32::from(route != "kept" && is_due);
        stale += u32::from(!mark.is_empty());
        unserved += u32::from(route == "kept" && answer.status != Some(200));
        let name = &gateways[at].name;
        let line = format!("{name} request {id}: answer {}, ran {ran}{mark}", answer.text());
        run.note_at(answer.sent, &line);
    }
    run.note(&format!(
        "{stale} of {due} requests were handled as only the older configuration allows, though \
         they were sent later than configApplyMs after the acknowledgement, at instances in touch; \
         {unserved} on the kept route were not served"
    ));
    if unserved > 0 || due == 0 {
        Outcome::NotRun
    } else if stale > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}
