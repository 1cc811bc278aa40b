//! Typed settings of the daemon, with the defaults of each section.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use log::LevelFilter;
use sesamewind_protocol::{InstanceId, ZoneId};

use crate::Secret;

/// Settings of a daemon process.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the deployment. Instances of other deployments are rejected.
    pub deployment: String,
    /// Identity of the instance.
    pub instance: Instance,
    /// Listening addresses.
    pub listen: Listen,
    /// Address and timeout of the platform's service.
    pub platform: Platform,
    /// Tokens of operators and peers.
    pub tokens: Tokens,
    /// Handling of callers' requests.
    pub traffic: Traffic,
    /// Intervals and timeouts of the control state.
    pub control: Control,
    /// Retention of request records.
    pub records: Records,
    /// Planned shutdown.
    pub stop: Stop,
    /// Logging.
    pub log: Log,
}

/// Identity of an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Instance {
    /// Name, unique in the deployment.
    pub name: InstanceId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Region that the availability zone belongs to.
    pub region: String,
}

/// Listening addresses of an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listen {
    /// Address of the listener for callers.
    pub callers: SocketAddr,
    /// Address of the inner listener, for peers, operators and monitoring.
    pub inner: SocketAddr,
    /// Address at which peers reach the inner listener, if it differs from `inner`.
    pub advertise: Option<SocketAddr>,
}

impl Listen {
    /// Returns the source IP address for outgoing connections, which identifies this instance to
    /// the network, or `None` if the inner listener is bound to an unspecified address.
    pub fn source_ip(&self) -> Option<IpAddr> {
        Some(self.inner.ip()).filter(|address| !address.is_unspecified())
    }
}

/// Address and timeout of the platform's service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Platform {
    /// Base URL.
    pub url: String,
    /// Timeout of a call.
    pub call_timeout: Duration,
}

/// Bearer tokens that the inner listener accepts.
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
    /// Number of socket threads, in addition to the thread for the control state.
    pub threads: usize,
    /// Maximum size of a request body, in bytes.
    pub body_limit: u64,
    /// Maximum total size of the request headers, in bytes.
    pub header_limit: u64,
    /// Maximum number of queued requests.
    pub queue_limit: usize,
    /// Timeout for connecting to a target.
    pub connect_timeout: Duration,
    /// Time without data from a target, during a request, after which the connection is probed.
    pub progress_timeout: Duration,
    /// Timeout for receiving a caller's request.
    pub send_timeout: Duration,
    /// Timeout for cancelling a stream at a target.
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

/// Intervals and timeouts of the control state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Control {
    /// Interval between exchanges with a peer.
    pub heartbeat: Duration,
    /// Time since the last message of a peer after which it is suspect.
    pub suspect_after: Duration,
    /// Time since the last message of a peer after which it is removed.
    pub remove_after: Duration,
    /// Interval at which the platform's list of instances and targets is read.
    pub list_poll: Duration,
    /// Interval at which the load of a target is polled.
    pub load_poll: Duration,
    /// Interval at which the stored configuration is read.
    pub config_poll: Duration,
    /// Interval at which rollout records are read.
    pub record_poll: Duration,
    /// Validity of a lease after it is acquired or renewed.
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

/// Retention of request records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Records {
    /// Retention of a record after its request ended.
    pub keep: Duration,
    /// Maximum size of an answer that is kept for resending, in bytes.
    pub answer_limit: u64,
    /// Timeout of a lookup request to a peer.
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

/// Planned shutdown.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stop {
    /// Time for which the instance still accepts requests after it reports that it is not ready, so
    /// that load balancers can react.
    pub balancer_lag: Duration,
    /// Timeout for requests in flight to end after `balancer_lag` has passed.
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
    /// Level of modules that `modules` does not list.
    pub level: LevelFilter,
    /// Levels by module path.
    pub modules: BTreeMap<String, LevelFilter>,
}

impl Default for Log {
    fn default() -> Self {
        Self { level: LevelFilter::Info, modules: BTreeMap::new() }
    }
}
