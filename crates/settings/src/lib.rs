//! Settings of the daemon, read from TOML and checked once.
