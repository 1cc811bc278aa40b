//! The settings as typed structs, with the defaults of each section.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use log::LevelFilter;
use sesamewind_protocol::{InstanceId, ZoneId};

use crate::Secret;

/// Everything that one daemon process is told at its start.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the deployment; instances of other deployments are refused.
    pub deployment: String,
    /// Who the instance is.
    pub instance: Instance,
    /// Where it listens.
    pub listen: Listen,
    /// The platform's service.
    pub platform: Platform,
    /// Tokens of operators and peers.
    pub tokens: Tokens,
    /// Handling of callers' requests.
    pub traffic: Traffic,
    /// Intervals and timeouts of control state.
    pub control: Control,
    /// Records of requests.
    pub records: Records,
    /// Planned stop.
    pub stop: Stop,
    /// Logging.
    pub log: Log,
}

/// Who an instance is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Instance {
    /// Name, unique in the deployment.
    pub name: InstanceId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Region of the availability zone.
    pub region: String,
}

/// Addresses of an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listen {
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for peers, operators and monitoring.
    pub inner: SocketAddr,
    /// Address of the inner listener as peers reach it, if it differs from `inner`.
    pub advertise: Option<SocketAddr>,
}

impl Listen {
    /// The address that the instance's own connections come from, if the inner listener has one of
    /// its own; by it the network tells who calls.
    pub fn source_ip(&self) -> Option<IpAddr> {
        Some(self.inner.ip()).filter(|address| !address.is_unspecified())
    }
}

/// The platform's service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Platform {
    /// Base URL.
    pub url: String,
    /// Timeout of one call.
    pub call_timeout: Duration,
}

/// Tokens that the inner listener asks for.
#[derive(Debug, Clone)]
pub struct Tokens {
    /// Token of operators.
    pub operator: Secret,
    /// Token of peers.
    pub peer: Secret,
}

/// Handling of callers' requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Traffic {
    /// Threads for sockets, beside the one for control state.
    pub threads: usize,
    /// Largest request body, in bytes.
    pub body_limit: u64,
    /// Largest total of request headers, in bytes.
    pub header_limit: u64,
    /// Most requests in the queue.
    pub queue_limit: usize,
    /// Timeout for a new connection to a target.
    pub connect_timeout: Duration,
    /// Longest silence of a target within an exchange before the connection is probed.
    pub progress_timeout: Duration,
    /// Longest time that a caller may take to send its request.
    pub send_timeout: Duration,
    /// Timeout for the cancellation of a stream at a target.
    pub cancel_timeout: Duration,
}

impl Default for Traffic {
    fn default() -> Self {
        Self {
            threads: 2,
            body_limit: 4 << 20,
            header_limit: 32 << 10,
            queue_limit: 10_000,
            connect_timeout: Duration::from_secs(1),
            progress_timeout: Duration::from_secs(3),
            send_timeout: Duration::from_secs(10),
            cancel_timeout: Duration::from_secs(1),
        }
    }
}

/// Intervals and timeouts of control state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Control {
    /// Interval of exchanges with peers.
    pub heartbeat: Duration,
    /// Silence after which a peer is suspect.
    pub suspect_after: Duration,
    /// Silence after which a peer is removed.
    pub remove_after: Duration,
    /// Interval of reading the platform's list.
    pub list_poll: Duration,
    /// Interval of polling a target's load.
    pub load_poll: Duration,
    /// Interval of reading the configuration's row.
    pub config_poll: Duration,
    /// Interval of reading rollout records.
    pub record_poll: Duration,
    /// Time that a lease lasts from its acquisition or renewal.
    pub lease_length: Duration,
}

impl Default for Control {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(500),
            suspect_after: Duration::from_secs(2),
            remove_after: Duration::from_secs(30),
            list_poll: Duration::from_secs(1),
            load_poll: Duration::from_millis(250),
            config_poll: Duration::from_secs(1),
            record_poll: Duration::from_secs(1),
            lease_length: Duration::from_secs(5),
        }
    }
}

/// Records of requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Records {
    /// Time that a record is kept after its request ended.
    pub keep: Duration,
    /// Largest answer that is kept for a resend, in bytes.
    pub answer_limit: u64,
    /// Timeout of a lookup at a peer.
    pub lookup_timeout: Duration,
}

impl Default for Records {
    fn default() -> Self {
        Self {
            keep: Duration::from_secs(600),
            answer_limit: 1 << 20,
            lookup_timeout: Duration::from_millis(500),
        }
    }
}

/// Planned stop.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stop {
    /// Time for which the instance accepts requests after it has turned unready.
    pub balancer_lag: Duration,
    /// Longest time for requests in flight to end after that.
    pub drain_limit: Duration,
}

impl Default for Stop {
    fn default() -> Self {
        Self { balancer_lag: Duration::from_secs(5), drain_limit: Duration::from_secs(120) }
    }
}

/// Logging.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Log {
    /// Level of modules that `modules` does not name.
    pub level: LevelFilter,
    /// Level by module path.
    pub modules: BTreeMap<String, LevelFilter>,
}

impl Default for Log {
    fn default() -> Self {
        Self { level: LevelFilter::Info, modules: BTreeMap::new() }
    }
}
