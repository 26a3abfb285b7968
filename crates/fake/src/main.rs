//! Runs one of the fakes as a process.

mod cli;

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::ArgMatches;
use fake::engine;
use fake::platform;
use fake::proxy;
use fake::server;
use fake::service;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::task::JoinSet;

/// The number of threads that serve requests.
const WORKER_THREADS: usize = 2;
/// How long shutdown waits for the task that reads standard input.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(100);

fn main() -> ExitCode {
    let matches = cli::command().get_matches();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build();
    let result = runtime.and_then(|runtime| {
        let result = runtime.block_on(run(&matches));
        runtime.shutdown_timeout(SHUTDOWN_TIMEOUT);
        result
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("fake: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(matches: &ArgMatches) -> io::Result<()> {
    let (name, matches) = matches.subcommand().expect("clap requires a subcommand");
    let address = cli::value::<SocketAddr>(matches, "listen");
    let listener = server::bind(address)?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut ready = io::stdout();
    writeln!(ready, "{}", serde_json::json!({ "ready": listener.local_addr()?.to_string() }))?;
    ready.flush()?;
    let mut input = JoinSet::new();
    if matches.get_flag("exit-with-stdin") {
        input.spawn_blocking(|| io::stdin().read_to_end(&mut Vec::new()));
    }
    tokio::select! {
        served = serve(name, matches, listener) => served,
        _ = terminate.recv() => Ok(()),
        _ = interrupt.recv() => Ok(()),
        Some(_) = input.join_next() => Ok(()),
    }
}

async fn serve(
    name: &str,
    matches: &ArgMatches,
    listener: tokio::net::TcpListener,
) -> io::Result<()> {
    match name {
        "platform" => platform::run(platform_settings(matches), listener).await,
        "engine" => engine::run(engine_settings(matches), listener).await,
        "service" => service::run(service_settings(matches), listener).await,
        _ => proxy::run(listener).await,
    }
}

fn platform_settings(matches: &ArgMatches) -> platform::Settings {
    platform::Settings {
        retention: cli::millis(matches, "retention-ms"),
        appends_per_second: cli::value(matches, "appends-per-second"),
        list_lag: cli::millis(matches, "list-lag-ms"),
    }
}

fn engine_settings(matches: &ArgMatches) -> engine::Settings {
    engine::Settings {
        slots: cli::value(matches, "slots"),
        token_interval: cli::millis(matches, "token-interval-ms"),
        first_token_delay: cli::millis(matches, "first-token-ms"),
        is_cold: matches.get_flag("cold"),
        cold_slots: cli::value(matches, "cold-slots"),
        warm_after: cli::value(matches, "warm-after"),
        crash_downtime: cli::millis(matches, "fall-ms"),
        report_interval: cli::millis(matches, "report-lag-ms"),
        event_bytes: cli::value(matches, "event-bytes"),
        checks_fencing: matches.get_flag("check-fencing"),
    }
}

fn service_settings(matches: &ArgMatches) -> service::Settings {
    service::Settings {
        service_time: cli::millis(matches, "service-ms"),
        slots: cli::value(matches, "slots"),
        report_interval: cli::millis(matches, "report-lag-ms"),
    }
}
