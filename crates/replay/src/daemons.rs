//! The daemons of a replay. They run inside its process and are reached over loopback sockets.

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
/// Time within which all daemons must become ready after their start.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time for instances to discover each other and learn the targets.
const WARM_UP_TIME: Duration = Duration::from_secs(2);
/// Time for which a stopping instance continues to accept requests.
const BALANCER_LAG: Duration = Duration::from_secs(2);
/// Time after that for requests in flight to end.
const DRAIN_LIMIT: Duration = Duration::from_secs(45);

/// Error when daemons are started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An instance failed to start.
    #[error("instance {name} failed to start: {reason}")]
    Start {
        /// Name of the instance.
        name: String,
        /// Description of the error.
        reason: String,
    },
    /// An instance did not become ready in time.
    #[error("instance {0} did not become ready in time")]
    NotReady(String),
}

/// One daemon, embedded in this process.
#[derive(Debug)]
struct Daemon {
    name: String,
    callers: SocketAddr,
    inner: SocketAddr,
    /// Proxy that peers connect through, which adds the delay between zones.
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
    /// Starts the instances of `scenario` and adds them to the platform's list.
    ///
    /// # Errors
    ///
    /// Returns an error for the first instance that fails to start.
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

    /// Waits until every instance is ready and has had time to discover the others.
    ///
    /// # Errors
    ///
    /// Returns an error for the first instance that does not become ready in time.
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

    /// Whether instance `index` reports that it takes requests.
    pub async fn is_ready(&self, index: usize) -> bool {
        let url = format!("http://{}/readyz", self.daemons[index].inner);
        let answer = self.http.get(url).send().await;
        answer.is_ok_and(|answer| answer.status().is_success())
    }

    /// Returns the HTTP request that sends `entry` to instance `index`.
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

    /// Starts a planned stop of instance `index` in the background.
    pub fn stop(&self, index: usize) {
        let Some(instance) = self.daemons[index].instance().take() else { return };
        let mut stops = self.stops.lock().unwrap_or_else(PoisonError::into_inner);
        stops.spawn(async move {
            instance.stop().await;
            kill(instance).await;
        });
    }

    /// Waits for the planned stops that are in progress, then ends the other instances at once.
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

/// Ends an instance at once. This joins threads, so it runs on a blocking thread.
async fn kill(instance: Instance) {
    let _ = tokio::task::spawn_blocking(move || instance.kill()).await;
}

/// Returns the settings of the instance described by `plan`, which listens on free ports and uses
/// the platform at `platform`. Peers connect to `advertise` if it is given.
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
