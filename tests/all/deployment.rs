//! Test setup: daemons with stand-ins of the platform, the engines and the plain services.

use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use sesamewind_standins::platform::PlatformOptions;
use sesamewind_standins::{
    Engine, EngineOptions, FaultProxy, Flow, InstanceEntry, Platform, Service, ServiceOptions,
    Side, TargetEntry,
};

use crate::daemon::{Daemon, DaemonOptions, next_address};

/// Bearer key of the account `desk`, which may use every tier.
pub const DESK_KEY: &str = "desk-key";
/// Bearer key of the account `night`, which may use the lowest tier only.
pub const NIGHT_KEY: &str = "night-key";

/// Time limit of each wait.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Columns of the sheet.
const HEADER: &str = "kind,name,service,version,zone,address,tier,rank,route,idempotent,\
key_sha256,requests_per_s,tokens_per_s,first_token_ms,total_ms,from,to,deadline,share,class\n";

/// Parts and settings of a deployment.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Availability zone of each daemon.
    pub zones: Vec<&'static str>,
    /// The engines, placed in the zones of the daemons in turn.
    pub engines: Vec<EngineOptions>,
    /// The plain services.
    pub services: Vec<ServiceOptions>,
    /// Additional rows of the sheet.
    pub rows: String,
    /// Additional lines of each daemon's settings.
    pub settings: String,
    /// Delay until a change shows in the platform's list.
    pub list_lag: Duration,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            zones: vec!["a"],
            engines: vec![EngineOptions { name: "e1".to_owned(), ..EngineOptions::default() }],
            services: vec![ServiceOptions { name: "s1".to_owned(), ..ServiceOptions::default() }],
            rows: String::new(),
            settings: String::new(),
            list_lag: Duration::ZERO,
        }
    }
}

/// A running deployment.
#[derive(Debug)]
pub struct Deployment {
    /// The platform.
    pub platform: Platform,
    /// The engines.
    pub engines: Vec<Engine>,
    /// The plain services.
    pub services: Vec<Service>,
    /// The daemons.
    pub daemons: Vec<Daemon>,
    /// Options of each daemon.
    pub options: Vec<DaemonOptions>,
    /// The proxy in front of each daemon's inner listener.
    pub proxies: Vec<FaultProxy>,
    /// The proxy between each daemon and the platform.
    pub links: Vec<FaultProxy>,
    /// The sheet in force at the start.
    pub sheet: String,
}

impl Deployment {
    /// Starts all parts and waits until each daemon is ready.
    pub async fn start(plan: Plan) -> Self {
        let mut this = Self::prepare(plan).await;
        for index in 0..this.options.len() {
            this.start_daemon(index);
        }
        for daemon in &this.daemons {
            wait_ready(daemon.inner).await;
        }
        this
    }

    /// Starts the stand-ins and accepts the sheet, without any daemon.
    pub async fn prepare(plan: Plan) -> Self {
        let platform_options = PlatformOptions { list_lag: plan.list_lag, ..Default::default() };
        let platform = Platform::start(platform_options).await;
        let mut engines = Vec::new();
        for options in &plan.engines {
            engines.push(Engine::start(options.clone()).await);
        }
        let mut services = Vec::new();
        for options in &plan.services {
            services.push(Service::start(options.clone()).await);
        }
        let sheet = sheet(&plan, &engines, &services);
        accept(&platform, &sheet, 1);
        let mut options = Vec::new();
        let mut proxies = Vec::new();
        let mut links = Vec::new();
        for (index, zone) in plan.zones.iter().enumerate() {
            let address = next_address();
            let link = FaultProxy::start(platform.addr()).await;
            let mut option = DaemonOptions {
                name: format!("i{}", index + 1),
                zone: (*zone).to_owned(),
                address,
                advertise: SocketAddr::new(address, 0),
                platform: link.addr(),
                extra: plan.settings.clone(),
            };
            let proxy = FaultProxy::start(option.inner()).await;
            option.advertise = proxy.addr();
            options.push(option);
            proxies.push(proxy);
            links.push(link);
        }
        let daemons = Vec::new();
        let this = Self { platform, engines, services, daemons, options, proxies, links, sheet };
        this.set_states("live");
        this
    }

    /// Starts the daemon `index`, or restarts it on the same address.
    pub fn start_daemon(&mut self, index: usize) {
        let daemon = self.options[index].start();
        if index < self.daemons.len() {
            self.daemons[index] = daemon;
        } else {
            self.daemons.push(daemon);
        }
    }

    /// Cuts the daemons of `zone` off from all others and from the platform.
    pub fn cut_zone(&self, zone: &str) {
        for (index, option) in self.options.iter().enumerate() {
            if option.zone == zone {
                self.links[index].set(Side::Both, Flow::Freeze);
            }
            for other in self.options.iter().filter(|other| other.zone != option.zone) {
                if option.zone == zone || other.zone == zone {
                    self.proxies[index].block(other.address);
                }
            }
        }
    }

    /// Restores all connections between daemons, and between daemons and the platform.
    pub fn heal(&self) {
        for (proxy, link) in self.proxies.iter().zip(&self.links) {
            link.set(Side::Both, Flow::Pass);
            for option in &self.options {
                proxy.unblock(option.address);
            }
        }
    }

    /// Sets the state with which the platform lists all daemons and targets.
    pub fn set_states(&self, state: &str) {
        let instances = self.options.iter().map(|option| InstanceEntry {
            name: option.name.clone(),
            zone: option.zone.clone(),
            region: "r".to_owned(),
            address: option.advertise.to_string(),
            state: state.to_owned(),
        });
        self.platform.set_instances(instances.collect());
        let engines = self.engines.iter().map(|engine| engine.name().to_owned());
        let services = self.services.iter().map(|service| service.name().to_owned());
        let targets = engines.chain(services).map(|name| TargetEntry { name, state: state.into() });
        self.platform.set_targets(targets.collect());
    }

    /// Returns how often the stand-ins received the request `id`.
    pub fn times_seen(&self, id: &str) -> usize {
        let engines: usize =
            self.engines.iter().map(|engine| engine.log().dispatch_count(id)).sum();
        let services: usize = self.services.iter().map(|service| service.log().run_count(id)).sum();
        engines + services
    }
}

/// Writes `sheet` to the platform's store as an accepted `revision`.
pub fn accept(platform: &Platform, sheet: &str, revision: u64) {
    let hash = sesamewind_sheet::hash(sheet.as_bytes());
    platform.put_object(&hash, sheet.to_owned());
    let row = serde_json::json!({
        "revision": revision, "hash": hash, "submission": format!("s{revision}"), "author": "test",
    });
    platform.put_row("config", row);
}

/// Waits until the instance with this inner listener is ready.
pub async fn wait_ready(inner: SocketAddr) {
    let client = reqwest::Client::new();
    let url = format!("http://{inner}/readyz");
    wait_for("the instance is ready", async || {
        let response = client.get(&url).send().await;
        response.is_ok_and(|response| response.status().is_success())
    })
    .await;
}

/// Waits until `condition` returns true.
pub async fn wait_for(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let start = std::time::Instant::now();
    while !condition().await {
        assert!(start.elapsed() < WAIT_TIMEOUT, "not within {WAIT_TIMEOUT:?}: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

fn sheet(plan: &Plan, engines: &[Engine], services: &[Service]) -> String {
    let mut text = HEADER.to_owned();
    let mut row = |cells: &[(&str, &str)]| {
        let line: Vec<&str> = HEADER
            .trim_end()
            .split(',')
            .map(|column| {
                cells.iter().find(|(name, _)| *name == column).map_or("", |(_, cell)| *cell)
            })
            .collect();
        let _ = writeln!(text, "{}", line.join(","));
    };
    for (name, rank, first, total) in [
        ("urgent", "0", "15000", "30000"),
        ("normal", "1", "8000", "60000"),
        ("batch", "2", "60000", "120000"),
    ] {
        row(&[
            ("kind", "tier"),
            ("name", name),
            ("rank", rank),
            ("first_token_ms", first),
            ("total_ms", total),
        ]);
    }
    for (name, key, tier) in [("desk", DESK_KEY, "urgent"), ("night", NIGHT_KEY, "batch")] {
        let hash = sesamewind_sheet::hash(key.as_bytes());
        row(&[("kind", "account"), ("name", name), ("key_sha256", &hash), ("tier", tier)]);
    }
    for (route, tier) in
        [("chat", "urgent"), ("completions", "urgent"), ("quote", "normal"), ("tag", "batch")]
    {
        row(&[
            ("kind", "service"),
            ("name", "assistant"),
            ("class", "model"),
            ("route", route),
            ("tier", tier),
            ("idempotent", "no"),
            ("version", "v1"),
        ]);
    }
    for (route, idempotent) in
        [("GET /roster", "yes"), ("POST /deposits", "no"), ("POST /echo", "no")]
    {
        row(&[
            ("kind", "service"),
            ("name", "booking"),
            ("class", "plain"),
            ("route", route),
            ("tier", "urgent"),
            ("idempotent", idempotent),
            ("version", "v1"),
        ]);
    }
    let zone = |index: usize| plan.zones[index % plan.zones.len()];
    for (index, engine) in engines.iter().enumerate() {
        row(&[
            ("kind", "target"),
            ("name", engine.name()),
            ("service", "assistant"),
            ("version", "v1"),
            ("zone", zone(index)),
            ("address", &engine.addr().to_string()),
        ]);
    }
    for (index, service) in services.iter().enumerate() {
        row(&[
            ("kind", "target"),
            ("name", service.name()),
            ("service", "booking"),
            ("version", "v1"),
            ("zone", zone(index)),
            ("address", &service.addr().to_string()),
        ]);
    }
    text + &plan.rows
}
