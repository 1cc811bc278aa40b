//! Settings of a gateway process that runs against stand-ins.

use std::net::SocketAddr;
use std::time::Duration;

/// Time from the stop signal until the process is killed.
pub const GRACE: Duration = Duration::from_secs(8);

/// Time after which a leaving target must get no new requests.
pub const DRAIN: Duration = Duration::from_secs(2);

/// Settings that differ between gateway processes.
#[derive(Debug, Clone, Copy)]
pub struct GatewaySettings<'a> {
    /// Name of the instance.
    pub name: &'a str,
    /// Whether the whole deployment starts for the first time.
    pub first_start: bool,
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for readiness checks.
    pub readiness: SocketAddr,
    /// Listener for peers and metrics.
    pub inner: SocketAddr,
    /// Address at which peers reach the inner listener.
    pub advertise: SocketAddr,
    /// Address of the store.
    pub store: SocketAddr,
    /// Retries allowed per first attempt.
    pub retry_ratio: f64,
}

impl GatewaySettings<'_> {
    /// Returns the settings as TOML.
    pub fn text(&self) -> String {
        let Self { name, first_start, callers, readiness, inner, advertise, store, retry_ratio } =
            self;
        let (grace, drain) = (GRACE.as_secs(), DRAIN.as_secs());
        format!(
            "[instance]\nname = \"{name}\"\nzone = \"z1\"\nfirst_start = \"{first_start}\"\n\
             [listen]\ncallers = \"{callers}\"\nreadiness = \"{readiness}\"\ninner = \"{inner}\"\n\
             advertise = \"{advertise}\"\n[store]\naddress = \"{store}\"\n\
             [bounds]\nretry_ratio = \"{retry_ratio}\"\nretry_extra = \"50\"\nretry_window = \"10s\"\n\
             quota_window = \"8s\"\nquota_overage = \"0.1\"\nquota_slack = \"1000\"\n\
             drain = \"{drain}s\"\ngrace = \"{grace}s\"\n[log]\nlevel = \"debug\"\n"
        )
    }
}
