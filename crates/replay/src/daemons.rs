//! The daemons of a replay, embedded in its process and reached over loopback sockets.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use reqwest::{Client, RequestBuilder};
use sesamewind_daemon::Instance;
use sesamewind_protocol::{InstanceId, ZoneId};
use sesamewind_settings::{
    Control, Listen, Log, Platform, Records, Secret, Settings, Stop, Tokens, Traffic,
};
use sesamewind_standins::{FaultProxy, InstanceEntry};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::client;
use crate::replay::{http_client, with_prompt_headers};
use crate::scenario::{InstancePlan, Scenario};
use crate::testbed::{Testbed, bearer};
use crate::trace::Entry;

const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
/// Longest time from the start of the daemons until they take requests.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time that instances have to meet one another and learn of the targets.
const WARM_UP_TIME: Duration = Duration::from_secs(2);
/// Time for which a stopping instance goes on accepting requests.
const BALANCER_LAG: Duration = Duration::from_secs(2);
/// Most time for requests in flight to end after that.
const DRAIN_LIMIT: Duration = Duration::from_secs(45);

/// Why the daemons could not be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An instance did not start.
    #[error("instance {name} did not start: {reason}")]
    Start {
        /// The instance.
        name: String,
        /// Why.
        reason: String,
    },
    /// An instance does not take requests.
    #[error("instance {0} was not ready in time")]
    NotReady(String),
}

/// One embedded daemon.
#[derive(Debug)]
struct Daemon {
    name: String,
    callers: SocketAddr,
    inner: SocketAddr,
    /// The link that peers reach it by.
    _link: FaultProxy,
    instance: Mutex<Option<Instance>>,
}

impl Daemon {
    fn instance(&self) -> MutexGuard<'_, Option<Instance>> {
        self.instance.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The daemons of a replay.
#[derive(Debug)]
pub struct Daemons {
    http: Client,
    daemons: Vec<Daemon>,
    stops: Mutex<JoinSet<()>>,
}

impl Daemons {
    /// Starts the instances of `scenario` and lists them at the platform.
    ///
    /// # Errors
    ///
    /// Returns the first instance that did not start.
    pub async fn start(scenario: &Scenario, testbed: &Testbed) -> Result<Self, StartError> {
        let mut daemons = Vec::new();
        let mut entries = Vec::new();
        for plan in &scenario.instances {
            let link = FaultProxy::start(LOOPBACK).await;
            link.delay(scenario.zone_delay());
            let settings = settings(scenario, plan, testbed.platform.addr(), Some(link.addr()));
            let instance = Instance::start(settings).map_err(|report| StartError::Start {
                name: plan.name.clone(),
                reason: format!("{report:?}"),
            })?;
            link.set_upstream(instance.inner());
            entries.push(InstanceEntry {
                name: plan.name.clone(),
                zone: plan.zone.clone(),
                region: scenario.region.clone(),
                address: link.addr().to_string(),
                state: "live".to_owned(),
            });
            daemons.push(Daemon {
                name: plan.name.clone(),
                callers: instance.callers(),
                inner: instance.inner(),
                _link: link,
                instance: Mutex::new(Some(instance)),
            });
        }
        testbed.platform.set_instances(entries);
        Ok(Self { http: http_client(), daemons, stops: Mutex::new(JoinSet::new()) })
    }

    /// Waits until every instance takes requests and has had time to meet the others.
    ///
    /// # Errors
    ///
    /// Returns the first instance that is not ready in time.
    pub async fn wait_until_ready(&self) -> Result<(), StartError> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for (index, daemon) in self.daemons.iter().enumerate() {
            while !self.is_ready(index).await {
                if Instant::now() > deadline {
                    return Err(StartError::NotReady(daemon.name.clone()));
                }
                sleep(READY_POLL_INTERVAL).await;
            }
        }
        sleep(WARM_UP_TIME).await;
        Ok(())
    }

    /// Whether instance `index` says that it takes requests.
    pub async fn is_ready(&self, index: usize) -> bool {
        let url = format!("http://{}/readyz", self.daemons[index].inner);
        let answer = self.http.get(url).send().await;
        answer.is_ok_and(|answer| answer.status().is_success())
    }

    /// The request that brings `entry` to instance `index`.
    pub fn request(&self, index: usize, entry: &Entry) -> RequestBuilder {
        let addr = self.daemons[index].callers;
        let request = match client::plain_route(entry) {
            Some((method, path)) => {
                let method = method.parse().unwrap_or(reqwest::Method::POST);
                let url = format!("http://{addr}/s/{}{path}", entry.service);
                self.http.request(method, url).body("{}")
            }
            None => {
                let url = format!("http://{addr}/v1/chat/completions");
                with_prompt_headers(self.http.post(url), entry)
                    .header("x-route", &entry.route)
                    .body(client::model_body(entry))
            }
        };
        request
            .bearer_auth(bearer(&entry.account))
            .header("idempotency-key", &entry.key)
            .header("x-attempt", entry.attempt)
            .header("x-tier", &entry.tier)
            .header("x-timeout-ms", entry.timeout_ms)
    }

    /// Begins the planned stop of instance `index`.
    pub fn stop(&self, index: usize) {
        let Some(instance) = self.daemons[index].instance().take() else { return };
        let mut stops = self.stops.lock().unwrap_or_else(PoisonError::into_inner);
        stops.spawn(async move {
            instance.stop().await;
            kill(instance).await;
        });
    }

    /// Ends every instance; stops that have begun are waited for.
    pub async fn stop_all(&self) {
        let mut stops = {
            let mut stops = self.stops.lock().unwrap_or_else(PoisonError::into_inner);
            std::mem::take(&mut *stops)
        };
        while stops.join_next().await.is_some() {}
        for daemon in &self.daemons {
            let instance = daemon.instance().take();
            if let Some(instance) = instance {
                kill(instance).await;
            }
        }
    }
}

/// Ends an instance at once; it joins threads, so this happens beside the runtime.
async fn kill(instance: Instance) {
    let _ = tokio::task::spawn_blocking(move || instance.kill()).await;
}

/// Settings of the instance of `plan` with free ports, before the platform at `platform`; peers
/// reach it at `advertise` if that is given.
pub fn settings(
    scenario: &Scenario,
    plan: &InstancePlan,
    platform: SocketAddr,
    advertise: Option<SocketAddr>,
) -> Settings {
    Settings {
        deployment: scenario.region.clone(),
        instance: sesamewind_settings::Instance {
            name: InstanceId::new(&plan.name),
            zone: ZoneId::new(&plan.zone),
            region: scenario.region.clone(),
        },
        listen: Listen { callers: LOOPBACK, inner: LOOPBACK, advertise },
        platform: Platform {
            url: format!("http://{platform}"),
            call_timeout: Duration::from_secs(1),
        },
        tokens: Tokens {
            operator: Secret::new("operator-of-the-replay"),
            peer: Secret::new("peer-of-the-replay"),
        },
        traffic: Traffic::default(),
        control: Control::default(),
        records: Records::default(),
        stop: Stop { balancer_lag: BALANCER_LAG, drain_limit: DRAIN_LIMIT },
        log: Log::default(),
    }
}
