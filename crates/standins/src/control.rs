//! Orders to running stand-ins as JSON, for stand-ins in processes of their own and for scenarios.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::engine::Engine;
use crate::platform::{InstanceEntry, Platform, TargetEntry};
use crate::proxy::{FaultProxy, Flow, Side};
use crate::service::Service;
use crate::version_fault::VersionFault;

/// An order to a stand-in.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "kebab-case")]
pub enum Control {
    /// Closes its connections and refuses new ones; an engine loses its streams and cache.
    Kill,
    /// Serves again after [`Control::Kill`].
    Revive,
    /// Swallows bytes on open and new connections, or ends that for new ones.
    Silence {
        /// The directions.
        side: Side,
        /// Whether it begins.
        on: bool,
    },
    /// Swallows bytes on connections that are open now.
    SilenceOpen {
        /// The directions.
        side: Side,
    },
    /// Closes the open connections.
    CloseOpen,
    /// Delays every byte in each direction.
    Link {
        /// The delay in milliseconds.
        ms: u64,
    },
    /// Makes an engine slower.
    Slow {
        /// The factor; 1 restores the speed.
        factor: f64,
    },
    /// Sets the time that a run of a service takes, or that the platform takes to answer.
    Delay {
        /// The time in milliseconds.
        ms: u64,
    },
    /// Refuses requests before running them, or ends that.
    Refuse {
        /// Whether it begins.
        on: bool,
    },
    /// Fails every run of a service, or ends that.
    Fail {
        /// Whether it begins.
        on: bool,
    },
    /// Asks for no new work, or ends that.
    Leave {
        /// Whether it begins.
        on: bool,
    },
    /// Sets how a version misbehaves.
    Misbehave {
        /// The version.
        version: String,
        /// How it misbehaves; none cures it.
        bad: Option<VersionFault>,
    },
    /// Loses the answers of the next runs of a service or writes to the platform.
    LoseAnswers {
        /// How many.
        count: u32,
    },
    /// Takes the platform down, or brings it back.
    Down {
        /// Whether it begins.
        on: bool,
    },
    /// Sets the age of the platform's list.
    ListLag {
        /// The age in milliseconds.
        ms: u64,
    },
    /// Sets the platform's rate limit.
    RateLimit {
        /// Calls a second; none for no limit.
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
    /// Writes a row of the platform's table without conditions.
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

/// The stand-in has no such control.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unsupported;

impl fmt::Display for Unsupported {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("this stand-in has no such control")
    }
}

impl std::error::Error for Unsupported {}

/// Carries out the orders that concern the connections; gives others back.
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
    /// Carries out `control`.
    ///
    /// # Errors
    ///
    /// Returns [`Unsupported`] for an order that concerns other stand-ins only.
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
    /// Carries out `control`.
    ///
    /// # Errors
    ///
    /// Returns [`Unsupported`] for an order that concerns other stand-ins only.
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
    /// Carries out `control`.
    ///
    /// # Errors
    ///
    /// Returns [`Unsupported`] for an order that concerns other stand-ins only.
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
