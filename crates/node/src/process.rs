//! Start and shutdown of a router process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use base::Clock;
use base::Ring;
use claim::Claims;
use claim::Crashes;
use conf::Settings;
use error_stack::Report;
use error_stack::ResultExt;
use front::Context;
use front::Counters;
use front::Server;
use front::Snapshot;
use indexmap::IndexMap;
use mesh::Identity;
use mesh::Mesh;
use plat::Instances;
use plat::Log;
use serde::Serialize;
use tokio::runtime;
use tokio::runtime::Runtime;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::Error;
use crate::control::Control;
use crate::control::Ports;
use crate::control::Shared;
use crate::input::Input;
use crate::load;
use crate::metric;
use crate::tail;

/// Maximum number of events kept for the timeline.
const MAX_TIMELINE_EVENTS: usize = 16_384;
/// Capacity of each bounded channel to the control thread, in messages.
const CHANNEL_CAPACITY: usize = 1_024;
/// Name of the log stream of claims.
const CLAIM_STREAM: &str = "claims";
/// Timeout for reading back a claim from the log.
const CLAIM_DEADLINE: Duration = Duration::from_millis(1_500);

/// The line on standard output that announces the listening addresses.
#[derive(Debug, Serialize)]
struct Ready {
    ready: SocketAddr,
    peers: SocketAddr,
}

/// A handle to the running control thread.
#[derive(Debug)]
struct ControlThread {
    handle: JoinHandle<()>,
    inputs: mpsc::Sender<Input>,
    peers: SocketAddr,
}

/// Runs a router until the process receives SIGTERM or SIGINT.
///
/// # Errors
/// Returns an error when an address, key or thread cannot be used, or when the control thread ends early.
pub fn run(settings: Settings) -> Result<(), Report<Error>> {
    let traffic = runtime::Builder::new_multi_thread()
        .worker_threads(settings.threads)
        .thread_name("traffic")
        .enable_all()
        .build()
        .change_context(Error::Threads)?;
    let result = traffic.block_on(serve(settings));
    traffic.shutdown_timeout(Duration::from_secs(1));
    result
}

async fn serve(settings: Settings) -> Result<(), Report<Error>> {
    let server = Server::bind(settings.listen).await.change_context(Error::Callers)?;
    let (orders, order_receiver) = mpsc::unbounded_channel();
    let (snapshot_sender, snapshot) = watch::channel(Snapshot::default());
    let log = Log::new(settings.platform.log);
    let shared = shared_state(settings.clone(), log.clone());
    let control = start_control(shared.clone(), log, order_receiver, snapshot_sender).await?;
    let context = Arc::new(Context {
        settings,
        orders,
        snapshot,
        claims: Arc::clone(&shared.claims),
        crashes: Arc::clone(&shared.crashes),
        budgets: Mutex::new(IndexMap::new()),
        ring: Arc::clone(&shared.ring),
        clock: Arc::clone(&shared.clock),
        counters: Arc::clone(&shared.counters),
        tasks: TaskTracker::new(),
        started: shared.started,
    });
    print_ready(&Ready { ready: server.address(), peers: control.peers });
    let metrics = start_metrics(&context)?;
    serve_until_signal(server, Arc::clone(&context), &control).await?;
    shut_down(context, shared, control, metrics).await
}

fn shared_state(settings: Settings, log: Log) -> Shared {
    let claims = Claims::start(
        claim::Settings {
            router: settings.name.clone(),
            stream: CLAIM_STREAM.to_owned(),
            retention: Duration::from_millis(settings.platform.retention_ms),
            deadline: CLAIM_DEADLINE,
        },
        log,
    );
    Shared {
        clock: Arc::new(Clock::default()),
        ring: Arc::new(Ring::new(MAX_TIMELINE_EVENTS)),
        crashes: Arc::new(Mutex::new(Crashes::new())),
        counters: Arc::new(Counters::default()),
        claims: Arc::new(claims),
        started: Instant::now(),
        settings,
    }
}

/// Starts the control thread, which owns the links to other routers and all background tasks of control.
async fn start_control(
    shared: Shared,
    log: Log,
    orders: mpsc::UnboundedReceiver<front::Order>,
    snapshot: watch::Sender<Snapshot>,
) -> Result<ControlThread, Report<Error>> {
    let (inputs, input_receiver) = mpsc::channel(CHANNEL_CAPACITY);
    let (started, start) = oneshot::channel();
    let input_sender = inputs.clone();
    let body = move || {
        let runtime = match runtime::Builder::new_current_thread().enable_all().build() {
            Ok(runtime) => runtime,
            Err(error) => {
                drop(started.send(Err(Report::new(error).change_context(Error::Threads))));
                return;
            }
        };
        let parts =
            ControlParts { shared, log, orders, snapshot, input_sender, inputs: input_receiver };
        run_control(&runtime, parts, started);
    };
    let handle = thread::Builder::new()
        .name("control".to_owned())
        .spawn(body)
        .change_context(Error::Threads)?;
    let peers = start.await.change_context(Error::Control)??;
    Ok(ControlThread { handle, inputs, peers })
}

/// The state and channels that move into the control thread.
#[derive(Debug)]
struct ControlParts {
    shared: Shared,
    log: Log,
    orders: mpsc::UnboundedReceiver<front::Order>,
    snapshot: watch::Sender<Snapshot>,
    input_sender: mpsc::Sender<Input>,
    inputs: mpsc::Receiver<Input>,
}

fn run_control(
    runtime: &Runtime,
    parts: ControlParts,
    started: oneshot::Sender<Result<SocketAddr, Report<Error>>>,
) {
    runtime.block_on(async move {
        let (events, event_receiver) = mpsc::channel(CHANNEL_CAPACITY);
        let settings = &parts.shared.settings;
        let mesh =
            match Mesh::start(mesh_settings(settings), Arc::clone(&parts.shared.clock), events)
                .await
            {
                Ok(mesh) => Arc::new(mesh),
                Err(report) => {
                    drop(started.send(Err(report.change_context(Error::Mesh))));
                    return;
                }
            };
        let (targets, target_receiver) = watch::channel(Vec::new());
        let mut background = JoinSet::new();
        let instances =
            Instances::new(settings.platform.instances, &settings.platform.instances_path);
        background.spawn(tail::instances(instances, parts.input_sender.clone()));
        background.spawn(tail::config(parts.log.clone(), parts.input_sender.clone()));
        background.spawn(tail::placement(parts.log.clone(), parts.input_sender.clone()));
        background.spawn(load::poll(target_receiver, parts.input_sender.clone()));
        let ports = Ports {
            orders: parts.orders,
            inputs: parts.inputs,
            input_sender: parts.input_sender,
            events: event_receiver,
            snapshot: parts.snapshot,
            targets,
        };
        drop(started.send(Ok(mesh.local_address())));
        Control::new(parts.shared, Arc::clone(&mesh), parts.log, ports).run().await;
        background.abort_all();
        while background.join_next().await.is_some() {}
        if let Ok(mesh) = Arc::try_unwrap(mesh) {
            mesh.shutdown().await;
        }
    });
}

fn mesh_settings(settings: &Settings) -> mesh::Settings {
    let keys = &settings.peer_keys;
    let identity = Identity {
        certificate_pem: keys.certificate.clone(),
        key_pem: keys.key.clone(),
        trust_pem: keys.trust.clone(),
    };
    mesh::Settings::new(
        settings.name.clone(),
        settings.zone.clone(),
        settings.region.clone(),
        settings.peer_listen,
        identity,
    )
}

fn print_ready(ready: &Ready) {
    let line = serde_json::to_string(ready).expect("addresses serialize to JSON");
    println!("{line}");
    log::info!("node: callers at {}, routers at {}", ready.ready, ready.peers);
}

fn start_metrics(context: &Context) -> Result<JoinSet<()>, Report<Error>> {
    let mut metrics = JoinSet::new();
    if let Some(collector) = context.settings.statsd {
        metrics.spawn(metric::report(metric::client(collector)?, Arc::clone(&context.counters)));
    }
    Ok(metrics)
}

/// Serves until a termination signal, then for the drain time, while callers may still use this router's address.
async fn serve_until_signal(
    server: Server,
    context: Arc<Context>,
    control: &ControlThread,
) -> Result<(), Report<Error>> {
    let mut terminate = signal(SignalKind::terminate()).change_context(Error::Signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).change_context(Error::Signals)?;
    let drain = Duration::from_millis(context.settings.limits.drain_ms);
    let stop = CancellationToken::new();
    let serving = server.run(context, stop.clone());
    tokio::pin!(serving);
    tokio::select! {
        () = &mut serving => return Ok(()),
        _ = terminate.recv() => (),
        _ = interrupt.recv() => (),
    }
    log::info!("node: leaving the fleet; callers are redirected for {} ms", drain.as_millis());
    control.inputs.send(Input::Leave).await.change_context(Error::Control)?;
    tokio::select! {
        () = &mut serving => return Ok(()),
        () = time::sleep(drain) => stop.cancel(),
    }
    serving.await;
    Ok(())
}

/// Shuts down calls, the control thread, metrics and claims, each before the parts that it depends on.
async fn shut_down(
    context: Arc<Context>,
    shared: Shared,
    control: ControlThread,
    mut metrics: JoinSet<()>,
) -> Result<(), Report<Error>> {
    context.tasks.close();
    context.tasks.wait().await;
    drop(context);
    control.inputs.send(Input::Stop).await.change_context(Error::Control)?;
    let ControlThread { handle, inputs, .. } = control;
    drop(inputs);
    tokio::task::spawn_blocking(move || handle.join())
        .await
        .ok()
        .and_then(Result::ok)
        .ok_or(Error::Control)?;
    metrics.shutdown().await;
    let Shared { claims, .. } = shared;
    if let Ok(claims) = Arc::try_unwrap(claims) {
        claims.shutdown().await;
    }
    log::info!("node: stopped");
    Ok(())
}
