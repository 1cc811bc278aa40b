//! The daemon: reads its settings, starts an instance and runs it until it is told to stop.

use std::process::ExitCode;

use sesamewind_daemon::Instance;
use sesamewind_settings::Settings;

mod flags {
    #![allow(missing_docs, reason = "generated from the help texts")]

    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs one entry instance of sesamewind.
        cmd sesamewindd {
            /// Settings file in TOML.
            required settings: PathBuf
            /// Only checks the settings and tells every fault.
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
            return ExitCode::from(2);
        }
    };
    if flags.check {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    let instance = match Instance::start(settings) {
        Ok(instance) => instance,
        Err(report) => {
            eprintln!("{report:?}");
            return ExitCode::FAILURE;
        }
    };
    println!("callers {} inner {}", instance.callers(), instance.inner());
    instance.block_on(async {
        let _ = tokio::signal::ctrl_c().await;
    });
    instance.kill();
    ExitCode::SUCCESS
}
