//! Runs one stand-in as a separate process.
//!
//! Prints `listening ADDR control ADDR` once it serves. On the control listener, `GET /log` returns
//! the stand-in's log as JSON, and `POST /control` accepts a `Control` message as JSON. The control
//! listener stays reachable while the stand-in is killed or silent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sesamewind_standins as standins;
use sesamewind_standins::control::{Control, Unsupported};
use standins::{EngineOptions, PlatformOptions, ServiceOptions};
use warp::Filter;
use warp::http::StatusCode;

#[allow(unreachable_pub, reason = "the macro generates public items")]
mod flags {
    use std::net::SocketAddr;

    xflags::xflags! {
        /// Runs a stand-in for an engine, a plain service or the platform.
        cmd sesamewind-standin {
            /// Address to serve on.
            optional --listen addr: SocketAddr
            /// Address of the control listener.
            optional --control addr: SocketAddr

            /// A model engine.
            cmd engine {
                /// The engine's name.
                optional --name name: String
                /// Versions loaded at the start, separated by commas.
                optional --versions list: String
                /// Prompt tokens prefilled per second.
                optional --prefill tokens: f64
                /// Output tokens per second of a stream that runs alone.
                optional --decode tokens: f64
                /// Capacity of the prefix cache in tokens.
                optional --cache tokens: u64
                /// Requests that run at the same time.
                optional --max-batch count: usize
                /// Lag of load reports in milliseconds.
                optional --report-lag-ms ms: u64
                /// Time to load a version in milliseconds.
                optional --load-ms ms: u64
                /// Execute orders with an old fencing number.
                optional --no-fence
            }
            /// A plain service.
            cmd service {
                /// The target's name.
                optional --name name: String
                /// Versions that it serves, separated by commas.
                optional --versions list: String
                /// Duration of a run in milliseconds.
                optional --delay-ms ms: u64
            }
            /// The platform.
            cmd platform {
                /// Lag of the list in milliseconds.
                optional --list-lag-ms ms: u64
                /// Calls per second that are answered.
                optional --rate-limit calls: u32
            }
        }
    }
}

use flags::{SesamewindStandin, SesamewindStandinCmd};

/// A stand-in of any kind.
enum Standin {
    Engine(standins::Engine),
    Service(standins::Service),
    Platform(standins::Platform),
}

impl Standin {
    async fn start(listen: SocketAddr, kind: SesamewindStandinCmd) -> Self {
        match kind {
            SesamewindStandinCmd::Engine(flags) => {
                Self::Engine(standins::Engine::bind(listen, engine_options(flags)).await)
            }
            SesamewindStandinCmd::Service(flags) => {
                Self::Service(standins::Service::bind(listen, service_options(flags)).await)
            }
            SesamewindStandinCmd::Platform(flags) => {
                let options = PlatformOptions {
                    list_lag: Duration::from_millis(flags.list_lag_ms.unwrap_or(0)),
                    rate_limit: flags.rate_limit,
                };
                Self::Platform(standins::Platform::bind(listen, options).await)
            }
        }
    }

    fn addr(&self) -> SocketAddr {
        match self {
            Self::Engine(engine) => engine.addr(),
            Self::Service(service) => service.addr(),
            Self::Platform(platform) => platform.addr(),
        }
    }

    fn log(&self) -> serde_json::Value {
        let log = match self {
            Self::Engine(engine) => serde_json::to_value(engine.log()),
            Self::Service(service) => serde_json::to_value(service.log()),
            Self::Platform(platform) => serde_json::to_value(platform.calls()),
        };
        log.expect("logs can be serialized")
    }

    async fn control(&self, control: Control) -> Result<(), Unsupported> {
        match self {
            Self::Engine(engine) => engine.control(control).await,
            Self::Service(service) => service.control(control).await,
            Self::Platform(platform) => platform.control(control).await,
        }
    }
}

fn split_names(list: &str) -> Vec<String> {
    list.split(',').map(str::to_owned).collect()
}

fn engine_options(flags: flags::Engine) -> EngineOptions {
    let defaults = EngineOptions::default();
    EngineOptions {
        name: flags.name.unwrap_or(defaults.name),
        versions: flags.versions.as_deref().map_or(defaults.versions, split_names),
        prefill_tokens_per_s: flags.prefill.unwrap_or(defaults.prefill_tokens_per_s),
        decode_tokens_per_s: flags.decode.unwrap_or(defaults.decode_tokens_per_s),
        cache_tokens: flags.cache.unwrap_or(defaults.cache_tokens),
        max_batch: flags.max_batch.unwrap_or(defaults.max_batch),
        report_lag: flags.report_lag_ms.map_or(defaults.report_lag, Duration::from_millis),
        load_time: flags.load_ms.map_or(defaults.load_time, Duration::from_millis),
        checks_fence: !flags.no_fence,
        ..EngineOptions::default()
    }
}

fn service_options(flags: flags::Service) -> ServiceOptions {
    let defaults = ServiceOptions::default();
    ServiceOptions {
        name: flags.name.unwrap_or(defaults.name),
        versions: flags.versions.as_deref().map_or(defaults.versions, split_names),
        delay: flags.delay_ms.map_or(defaults.delay, Duration::from_millis),
    }
}

async fn apply(control: Control, standin: Arc<Standin>) -> StatusCode {
    match standin.control(control).await {
        Ok(()) => StatusCode::OK,
        Err(Unsupported) => StatusCode::BAD_REQUEST,
    }
}

#[tokio::main]
async fn main() {
    let flags = SesamewindStandin::from_env_or_exit();
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let listen = flags.listen.unwrap_or(any_port);
    let standin = Arc::new(Standin::start(listen, flags.subcommand).await);
    let listener = tokio::net::TcpListener::bind(flags.control.unwrap_or(any_port)).await;
    let listener = listener.expect("control address can be bound");
    let control = listener.local_addr().expect("bound socket has an address");
    println!("listening {} control {control}", standin.addr());
    let shared = warp::any().map(move || Arc::clone(&standin));
    let log_route = warp::get()
        .and(warp::path!("log"))
        .and(shared.clone())
        .map(|standin: Arc<Standin>| warp::reply::json(&standin.log()));
    let control_route =
        warp::post().and(warp::path!("control")).and(warp::body::json()).and(shared).then(apply);
    warp::serve(log_route.or(control_route)).incoming(listener).run().await;
}
