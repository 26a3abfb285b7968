//! The last workspace loses its keys with a new version of the configuration: are its requests still run?

#[path = "../kit-2/mod.rs"]
mod kit;

use std::io;
use std::process::exit;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

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

/// `revoke_ms` of the sheet: a key that was taken away is not served for longer.
const REVOKE: Duration = Duration::from_millis(5_000);
/// The time after that at which the first request is sent.
const MARGIN: Duration = Duration::from_millis(1_000);
/// The requests that are sent with each key.
const REQUESTS: usize = 5;
/// The only key that the first version holds.
const KEY: &str = "asnmgkcuyj8pjbvk9m68";
/// A key that no version ever held.
const FOREIGN_KEY: &str = "q1w2e3r4t5y6u7i8o9p0";

/// Returns a version whose `tenants` are these.
fn configuration(version: u64, tenants: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"tick\",\"host\":\"walls.example\",\
         \"path_prefix\":\"/tick/\",\"kind\":\"unsafe\",\"timeout_ms\":4000,\
         \"target_latency_ms\":1000,\"priority\":1,\"service\":\"ledger\",\"max_attempts\":1,\
         \"public\":false,\"sticky\":false,\"stream_resume\":false}}],\"services\":[{{\
         \"name\":\"ledger\",\"health_path\":\"/healthz\",\"max_conns\":110,\"protocol\":\"h1\",\
         \"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}}],\"limits\":{{\
         \"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\"tenants\":{tenants}}}"
    )
}

fn request(id: &str, key: &str) -> Vec<u8> {
    let body = "ascent";
    format!(
        "POST /tick/log HTTP/1.1\r\nHost: walls.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 4000\r\n\
         Api-Key: {key}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Sends requests with a key on new channels.
fn send(router: &Router, record: &Record, what: &str, key: &str) -> io::Result<()> {
    for number in 0..REQUESTS {
        let id = format!("{what}-{number}");
        let mut channel = Channel::connect(router.callers, Duration::from_secs(1))?;
        let answer = kit::exchange(&mut channel, &request(&id, key), Duration::from_secs(5));
        match answer {
            Ok(answer) => record.line(format!("{id} with key {key}: answer {}", answer.status())),
            Err(error) => record.line(format!("{id} with key {key}: {error:?}")),
        }
        thread::sleep(Duration::from_millis(200));
    }
    Ok(())
}

fn run(record: &Record) -> io::Result<(i32, String)> {
    let folder = Folder::create("review-10")?;
    let store = Store::start()?;
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    let work = Duration::from_millis(20);
    let react = move |_: &Message| Reaction::Answer { work, body: b"ok".to_vec() };
    let _runner =
        Runner::start("ledger-0", "ledger", "derby", 6, &store, record, &arrivals, react)?;
    let holder = format!("[{{\"name\":\"wall\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]");
    store.configure(&configuration(7, &holder));
    let settings = Settings {
        name: "front-derby-1".to_owned(),
        zone: "derby".to_owned(),
        memory_mb: 260,
        max_descriptors: 4_100,
    };
    let router = Router::start(&folder.0, &store, &settings)?;
    if !router.wait_until_ready(Duration::from_secs(10)) {
        return Ok((kit::NOT_RUN, "the router is not ready".to_owned()));
    }
    thread::sleep(Duration::from_secs(1));
    send(&router, record, "before", KEY)?;
    // Without the disruption, the workspace stays and loses its only key.
    let next = if kit::has_trouble() {
        "[]"
    } else {
        "[{\"name\":\"wall\",\"api_keys\":[],\"priority\":1}]"
    };
    store.configure(&configuration(9, next));
    record.line(format!("version 9 is confirmed, with \"tenants\":{next}"));
    thread::sleep(REVOKE + MARGIN);
    send(&router, record, "revoked", KEY)?;
    send(&router, record, "foreign", FOREIGN_KEY)?;
    let arrivals = arrivals.lock().unwrap();
    for arrival in arrivals.iter() {
        record.line(format!(
            "run at {:.3} s by {}: {}, Tenant: {:?}",
            arrival.at_s,
            arrival.runner,
            arrival.id(),
            arrival.request.header("tenant"),
        ));
    }
    let count = |what: &str| arrivals.iter().filter(|arrival| arrival.id().starts_with(what)).count();
    let (before, revoked, foreign) = (count("before"), count("revoked"), count("foreign"));
    let text = format!(
        "of {REQUESTS} requests each, {before} ran before the key was taken away, {revoked} with the key that had been taken away over {REVOKE:?} before, {foreign} with a key that no version ever held"
    );
    if before == 0 {
        return Ok((kit::NOT_RUN, text));
    }
    Ok((if revoked + foreign > 0 { kit::BROKEN } else { kit::HELD }, text))
}

fn main() {
    let record = Record::new();
    let (code, text) = run(&record).unwrap_or_else(|error| (kit::NOT_RUN, error.to_string()));
    let verdict = ["ROUTE and CONFIG held", "ROUTE and CONFIG broken", "the case could not run"];
    record.write("review/10", &format!("{}: {text}", verdict[code as usize]));
    exit(code);
}
