//! Settings of the programs, read from TOML and validated at startup.
//!
//! [`Settings`] holds the settings of the daemon and [`RelaySettings`] those of an instance that
//! forwards requests by route. Parsing reports all faults at once, each with its key, and rejects
//! unknown keys. Secrets come from files or environment variables and are never part of the TOML
//! file. `docs/sesamewindd.example.toml` explains each key of the daemon.

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
pub use relay::{PEER_TOKEN_VAR, RelayBounds, RelayListen, RelaySettings};
pub use secret::Secret;

impl Settings {
    /// Parses settings from `text`, with `env` to look up environment variables that hold secrets.
    ///
    /// Also reads the files that hold secrets.
    ///
    /// # Errors
    ///
    /// Returns all faults of the settings.
    pub fn parse(text: &str, env: &dyn Fn(&str) -> Option<String>) -> Result<Settings, Faults> {
        build::settings(text, env)
    }

    /// Loads settings from the file at `path`, with secrets from files and the environment.
    ///
    /// # Errors
    ///
    /// Returns all faults of the settings, or a single fault if the file could not be read.
    pub fn load(path: &Path) -> Result<Settings, Faults> {
        Self::parse(&build::read_file(path)?, &|name| std::env::var(name).ok())
    }
}
