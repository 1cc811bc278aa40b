//! The daemon: reads its settings, starts an instance and runs it until a stop signal.

use std::process::ExitCode;

use sesamewind_daemon::{Instance, Stopped, logging};
use sesamewind_settings::Settings;
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for invalid settings.
const EXIT_SETTINGS: u8 = 2;
/// Exit code for a planned stop that reached its time limit.
const EXIT_LIMIT: u8 = 3;
/// Exit code for a stop that was ended by a second signal.
const EXIT_SECOND_SIGNAL: u8 = 4;

mod flags {
    #![allow(missing_docs, reason = "generated from the help texts")]

    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs one entry instance of sesamewind.
        cmd sesamewindd {
            /// Settings file in TOML.
            required settings: PathBuf
            /// Checks the settings, reports all faults and exits.
            optional --check
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::Sesamewindd::from_env_or_exit();
    let settings = match Settings::load(&flags.settings) {
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
    if let Err(error) = logging::init(&settings.log, &settings.instance.name) {
        eprintln!("{error}");
        return ExitCode::FAILURE;
    }
    let instance = match Instance::start(settings) {
        Ok(instance) => instance,
        Err(report) => {
            eprintln!("{report:?}");
            return ExitCode::FAILURE;
        }
    };
    println!("callers {} inner {}", instance.callers(), instance.inner());
    let code = instance.block_on(run(&instance));
    instance.kill();
    code
}

/// Waits for a stop signal, then runs a planned stop; a second signal stops at once.
async fn run(instance: &Instance) -> ExitCode {
    let (Ok(mut terminate), Ok(mut interrupt)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        eprintln!("signals can't be watched");
        return ExitCode::FAILURE;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    tokio::select! {
        stopped = instance.stop() => match stopped {
            Stopped::Clean => ExitCode::SUCCESS,
            Stopped::LimitReached(cut) => {
                eprintln!("stop limit reached; {cut} requests were cut");
                ExitCode::from(EXIT_LIMIT)
            }
        },
        _ = terminate.recv() => {
            eprintln!("second stop signal; stopping at once, requests in flight are cut");
            ExitCode::from(EXIT_SECOND_SIGNAL)
        }
    }
}
