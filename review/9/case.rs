//! All routers are killed and started again while a runner is cold: how many requests does it get in one second?

#[path = "../kit-2/mod.rs"]
mod kit;

use std::io;
use std::process::exit;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use kit::Arrival;
use kit::Channel;
use kit::Folder;
use kit::Message;
use kit::Reaction;
use kit::Record;
use kit::Router;
use kit::Runner;
use kit::Settings;
use kit::Store;

/// `cold_per_s` x `cold_overage` + `cold_slack` of the sheet: 16 x 1.5 + 5.
const ALLOWED: usize = 29;
/// The window of the rule, in seconds.
const WINDOW_S: f64 = 1.0;
/// `cold_start_s` of the sheet, in milliseconds.
const COLD_MS: u64 = 3_000;
/// The end of the cold time that is not judged, in seconds.
const COLD_MARGIN_S: f64 = 0.2;
/// The zones, with one router each.
const ZONES: [&str; 3] = ["derby", "nottingham", "leicester"];
/// `down_s` of a day's closing `kill_all`.
const DOWN: Duration = Duration::from_millis(560);
/// The time from the start of the runner to the first request, in which all routers read its entry.
const KNOWN_AFTER: Duration = Duration::from_millis(1_000);
/// The time from the runner's first request to the kill.
const KILL_AFTER: Duration = Duration::from_millis(100);
/// Clients that press, on new channels.
const CLIENTS: usize = 48;
/// The pause of a client between two tries.
const PAUSE: Duration = Duration::from_millis(30);
/// How long a client waits for an answer.
const DEADLINE: Duration = Duration::from_millis(1_500);
/// The time that a request takes at the runner.
const WORK: Duration = Duration::from_millis(60);
/// The time from the start of the runner to the end of the case.
const LENGTH: Duration = Duration::from_millis(4_000);

const CONFIGURATION: &str = "{\"version\":7,\"routes\":[{\"name\":\"look\",\
    \"host\":\"walls.example\",\"path_prefix\":\"/look/\",\"kind\":\"safe\",\"timeout_ms\":1500,\
    \"target_latency_ms\":1000,\"priority\":1,\"service\":\"belay\",\"max_attempts\":2,\
    \"public\":false,\"sticky\":false,\"stream_resume\":false}],\"services\":[{\"name\":\"belay\",\
    \"health_path\":\"/healthz\",\"max_conns\":630,\"protocol\":\"h1\",\"tls\":false,\
    \"cold_start_s\":3.0,\"cold_per_s\":16.0}],\"limits\":{\"max_header_bytes\":16384,\
    \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\
    \"tenants\":[{\"name\":\"wall\",\"api_keys\":[\"key-1\"],\"priority\":1}]}";

fn request(id: &str) -> Vec<u8> {
    format!(
        "GET /look/up HTTP/1.1\r\nHost: walls.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\n\
         Api-Key: key-1\r\n\r\n",
        DEADLINE.as_millis()
    )
    .into_bytes()
}

/// Tries again and again until the case ends; each try is a request of its own.
fn press(number: usize, address: std::net::SocketAddr, stop: &AtomicBool) {
    let mut turn = 0;
    while !stop.load(Ordering::Relaxed) {
        turn += 1;
        if let Ok(mut channel) = Channel::connect(address, Duration::from_secs(1)) {
            let _ = kit::exchange(&mut channel, &request(&format!("c{number}-{turn}")), DEADLINE);
        }
        thread::sleep(PAUSE);
    }
}

/// Returns the most arrivals in any span of the rule's window, and its begin.
fn most(times: &[f64]) -> (usize, f64) {
    let spans = times.iter().enumerate().map(|(first, begin)| {
        (times[first..].iter().take_while(|time| **time <= begin + WINDOW_S).count(), *begin)
    });
    spans.max_by_key(|(count, _)| *count).unwrap_or((0, 0.0))
}

fn run(record: &Record) -> io::Result<(i32, String)> {
    let folder = Folder::create("review-9")?;
    let store = Store::start()?;
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    store.configure(CONFIGURATION);
    let mut routers = Vec::new();
    for zone in ZONES {
        let settings = Settings {
            name: format!("front-{zone}-1"),
            zone: zone.to_owned(),
            memory_mb: 260,
            max_descriptors: 4_100,
        };
        routers.push(Router::start(&folder.0, &store, &settings)?);
    }
    if !routers.iter().all(|router| router.wait_until_ready(Duration::from_secs(10))) {
        return Ok((kit::NOT_RUN, "a router is not ready".to_owned()));
    }
    // All routers know each other.
    thread::sleep(Duration::from_secs(4));
    let stop = AtomicBool::new(false);
    let addresses: Vec<_> = routers.iter().map(|router| router.callers).collect();
    let mut runner = None;
    let mut cold_until = 0.0;
    thread::scope(|scope| -> io::Result<()> {
        let react = |_: &Message| Reaction::Answer { work: WORK, body: b"ok".to_vec() };
        let started = Instant::now();
        let (id, service, zone) = ("belay-0", "belay", "derby");
        let new =
            Runner::start_cold(id, service, zone, 128, &store, record, &arrivals, COLD_MS, react)?;
        cold_until = record.now_s() + COLD_MS as f64 / 1_000.0;
        record.line("the only runner of the service starts, cold for 3 s");
        runner = Some(new);
        thread::sleep(KNOWN_AFTER);
        for number in 0..CLIENTS {
            let (address, stop) = (addresses[number % addresses.len()], &stop);
            scope.spawn(move || press(number, address, stop));
        }
        record.line(format!("{CLIENTS} clients begin to press"));
        while arrivals.lock().unwrap().is_empty() && started.elapsed() < LENGTH {
            thread::sleep(Duration::from_millis(2));
        }
        if kit::has_trouble() {
            thread::sleep(KILL_AFTER);
            record.line(format!("all {} routers are killed", routers.len()));
            for router in &mut routers {
                router.kill();
            }
            thread::sleep(DOWN);
            for router in &mut routers {
                router.restart()?;
            }
            record.line("all routers are started again");
        }
        thread::sleep(LENGTH.saturating_sub(started.elapsed()));
        stop.store(true, Ordering::Relaxed);
        Ok(())
    })?;
    let arrivals = arrivals.lock().unwrap();
    let times: Vec<f64> =
        arrivals.iter().map(|arrival| arrival.at_s).filter(|at_s| *at_s < cold_until - COLD_MARGIN_S).collect();
    for time in &times {
        record.line(format!("a request reached the cold runner at {time:.3} s"));
    }
    let (count, begin) = most(&times);
    let text = format!(
        "{count} requests reached the cold runner in the second from {begin:.3} s (allowed: {ALLOWED}), {} in all while it was cold",
        times.len()
    );
    if times.is_empty() {
        return Ok((kit::NOT_RUN, text));
    }
    Ok((if count > ALLOWED { kit::BROKEN } else { kit::HELD }, text))
}

fn main() {
    let record = Record::new();
    let (code, text) = run(&record).unwrap_or_else(|error| (kit::NOT_RUN, error.to_string()));
    let verdict = ["FAILBACK held", "FAILBACK broken", "the case could not run"][code as usize];
    record.write("review/9", &format!("{verdict}: {text}"));
    exit(code);
}
