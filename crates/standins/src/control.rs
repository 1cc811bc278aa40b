//! Control messages to running stand-ins as JSON, for stand-ins in separate processes and for
//! scenarios.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::engine::Engine;
use crate::platform::{InstanceEntry, Platform, TargetEntry};
use crate::proxy::{FaultProxy, Flow, Side};
use crate::service::Service;
use crate::version_fault::VersionFault;

/// A control message to a stand-in.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "kebab-case")]
pub enum Control {
    /// Closes all connections and refuses new ones; an engine loses its streams and cache.
    Kill,
    /// Restores service after [`Control::Kill`].
    Revive,
    /// Discards bytes on open and new connections, or stops doing so on new ones.
    Silence {
        /// The directions.
        side: Side,
        /// `true` to start, `false` to stop.
        on: bool,
    },
    /// Discards bytes on the connections that are open now.
    SilenceOpen {
        /// The directions.
        side: Side,
    },
    /// Closes the open connections; new ones are accepted.
    CloseOpen,
    /// Delays every byte in each direction.
    Link {
        /// The delay in milliseconds.
        ms: u64,
    },
    /// Slows an engine down.
    Slow {
        /// The factor; 1 restores the speed.
        factor: f64,
    },
    /// Sets how long a service takes for each run, or the platform for each answer.
    Delay {
        /// The time in milliseconds.
        ms: u64,
    },
    /// Starts or stops refusing requests before running them.
    Refuse {
        /// `true` to start, `false` to stop.
        on: bool,
    },
    /// Starts or stops failing every run of a service.
    Fail {
        /// `true` to start, `false` to stop.
        on: bool,
    },
    /// Starts or stops asking for no new work in load reports.
    Leave {
        /// `true` to start, `false` to stop.
        on: bool,
    },
    /// Sets the fault of a version.
    Misbehave {
        /// The version.
        version: String,
        /// The fault; none removes it.
        bad: Option<VersionFault>,
    },
    /// Drops the answers to the next runs of a service or writes to the platform.
    LoseAnswers {
        /// Number of answers.
        count: u32,
    },
    /// Starts or stops failing every call to the platform.
    Down {
        /// `true` to start, `false` to stop.
        on: bool,
    },
    /// Sets how far the platform's list lags behind changes.
    ListLag {
        /// The lag in milliseconds.
        ms: u64,
    },
    /// Sets the platform's rate limit.
    RateLimit {
        /// Calls per second; none for no limit.
        limit: Option<u32>,
    },
    /// Replaces the listed instances.
    SetInstances {
        /// The instances.
        instances: Vec<InstanceEntry>,
    },
    /// Replaces the listed targets.
    SetTargets {
        /// The targets.
        targets: Vec<TargetEntry>,
    },
    /// Writes a row of the platform's table unconditionally.
    PutRow {
        /// The key.
        key: String,
        /// The content.
        value: Value,
    },
    /// Stores an object as text.
    PutObject {
        /// The object's hash.
        hash: String,
        /// The content.
        text: String,
    },
}

/// Error for a control message that the stand-in does not support.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unsupported;

impl fmt::Display for Unsupported {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("this stand-in has no such control")
    }
}

impl std::error::Error for Unsupported {}

/// Applies a control message that concerns connections to `proxy`; returns any other message.
fn apply_to_proxy(proxy: &FaultProxy, control: Control) -> Option<Control> {
    match control {
        Control::Silence { side, on: true } => proxy.set(side, Flow::Drop),
        Control::Silence { side, on: false } => proxy.set_new(side, Flow::Pass),
        Control::SilenceOpen { side } => proxy.set_open(side, Flow::Drop),
        Control::Link { ms } => proxy.delay(Duration::from_millis(ms)),
        other => return Some(other),
    }
    None
}

impl Engine {
    /// Applies `control`.
    ///
    /// # Errors
    ///
    /// Returns [`Unsupported`] for a message that only other stand-ins support.
    pub async fn control(&self, control: Control) -> Result<(), Unsupported> {
        let Some(control) = apply_to_proxy(self.proxy(), control) else { return Ok(()) };
        match control {
            Control::Kill => self.kill().await,
            Control::Revive => self.revive().await,
            Control::CloseOpen => self.proxy().close_open().await,
            Control::Slow { factor } => self.slow(factor),
            Control::Refuse { on } => self.refuse(on),
            Control::Leave { on } => self.leave(on),
            Control::Misbehave { version, bad } => self.misbehave(&version, bad),
            _ => return Err(Unsupported),
        }
        Ok(())
    }
}

impl Service {
    /// Applies `control`.
    ///
    /// # Errors
    ///
    /// Returns [`Unsupported`] for a message that only other stand-ins support.
    pub async fn control(&self, control: Control) -> Result<(), Unsupported> {
        let Some(control) = apply_to_proxy(self.proxy(), control) else { return Ok(()) };
        match control {
            Control::Kill => self.kill().await,
            Control::Revive => self.revive().await,
            Control::CloseOpen => self.proxy().close_open().await,
            Control::Delay { ms } => self.delay(Duration::from_millis(ms)),
            Control::Refuse { on } => self.refuse(on),
            Control::Fail { on } => self.fail(on),
            Control::Leave { on } => self.leave(on),
            Control::Misbehave { version, bad } => self.misbehave(&version, bad),
            Control::LoseAnswers { count } => self.lose_answers(count),
            _ => return Err(Unsupported),
        }
        Ok(())
    }
}

impl Platform {
    /// Applies `control`.
    ///
    /// # Errors
    ///
    /// Returns [`Unsupported`] for a message that only other stand-ins support.
    pub async fn control(&self, control: Control) -> Result<(), Unsupported> {
        let Some(control) = apply_to_proxy(self.proxy(), control) else { return Ok(()) };
        match control {
            Control::Kill => self.proxy().cut().await,
            Control::Revive => self.proxy().restore().await,
            Control::CloseOpen => self.proxy().close_open().await,
            Control::Delay { ms } => self.slow(Duration::from_millis(ms)),
            Control::LoseAnswers { count } => self.lose_answers(count),
            Control::Down { on } => self.down(on),
            Control::ListLag { ms } => self.list_lag(Duration::from_millis(ms)),
            Control::RateLimit { limit } => self.rate_limit(limit),
            Control::SetInstances { instances } => self.set_instances(instances),
            Control::SetTargets { targets } => self.set_targets(targets),
            Control::PutRow { key, value } => {
                self.put_row(&key, value);
            }
            Control::PutObject { hash, text } => self.put_object(&hash, text),
            _ => return Err(Unsupported),
        }
        Ok(())
    }
}
