//! The gateway: an entry instance that forwards requests by route on the users' platform.

use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};

use sesamewind_adapter::{PlatformFormat, Store, names};
use sesamewind_relay::Instance;
use sesamewind_runtime::limit::LineLimit;
use sesamewind_runtime::logging;
use sesamewind_runtime::sink::Sink;
use sesamewind_settings::RelaySettings;

/// Exit code for missing or invalid settings.
const EXIT_SETTINGS: u8 = 2;

/// Time limit for writing the last log lines before the process exits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

mod flags {
    #![allow(missing_docs, reason = "generated from the help texts")]

    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs one entry instance that forwards requests by route.
        cmd sesamewind-gateway {
            /// Settings file in TOML; by default the file that the platform names.
            optional settings: PathBuf
            /// Checks the settings, reports all faults and exits.
            optional --check
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::SesamewindGateway::from_env_or_exit();
    let path = flags.settings.or_else(|| std::env::var_os(names::SETTINGS_PATH).map(PathBuf::from));
    let Some(path) = path else {
        eprintln!("no settings file given, and {} is not set", names::SETTINGS_PATH);
        return ExitCode::from(EXIT_SETTINGS);
    };
    let settings = match RelaySettings::load(&path) {
        Ok(settings) => settings,
        Err(faults) => {
            eprintln!("{faults}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if flags.check {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    let (sink, dropped, flusher) = match Sink::start(io::stdout()) {
        Ok(started) => started,
        Err(err) => {
            eprintln!("log could not be started: {err}");
            return ExitCode::FAILURE;
        }
    };
    let output = fern::Output::writer(Box::new(sink), "\n");
    let limit = LineLimit::new(dropped.clone());
    let start = Instant::now();
    let logger = logging::dispatch(&settings.log, &settings.name, output)
        .filter(move |line| limit.try_acquire(line.level(), start.elapsed()));
    if let Err(err) = logger.apply() {
        eprintln!("{err}");
        return ExitCode::FAILURE;
    }
    let instance = Instance {
        wire_format: Rc::new(PlatformFormat),
        source: Rc::new(Store::new(settings.store)),
        settings,
        path: &path,
        dropped,
    };
    let result = instance.run();
    if !flusher.flush(FLUSH_TIMEOUT) {
        eprintln!("the last log lines could not be written");
    }
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}
