//! Settings of the daemon, read from TOML and checked once.
//!
//! [`Settings::parse`] reports every fault at once, each with its key, and refuses keys that it does
//! not know. Secrets come from a file or from the environment and never stand in the settings
//! themselves. `docs/sesamewindd.example.toml` explains each key.

mod build;
mod fault;
mod model;
mod relay;
mod secret;
mod section;

use std::path::Path;

pub use fault::{Fault, Faults};
pub use model::{
    Control, Instance, Listen, Log, Platform, Records, Settings, Stop, Tokens, Traffic,
};
pub use relay::{PEER_TOKEN, RelayBounds, RelayListen, RelaySettings};
pub use secret::Secret;

impl Settings {
    /// Reads settings from `text`; `env` looks up variables that hold secrets.
    ///
    /// Files that hold secrets are read here as well.
    ///
    /// # Errors
    ///
    /// Returns every fault of the settings.
    pub fn parse(text: &str, env: &dyn Fn(&str) -> Option<String>) -> Result<Settings, Faults> {
        build::settings(text, env)
    }

    /// Reads settings from the file at `path`, with secrets from files and the environment.
    ///
    /// # Errors
    ///
    /// Returns every fault of the settings, or the one that the file could not be read.
    pub fn load(path: &Path) -> Result<Settings, Faults> {
        Self::parse(&build::text(path)?, &|name| std::env::var(name).ok())
    }
}
