//! A router is killed and started again while a runner is cold; what it had sent before counts no more.

#[path = "../kit/mod.rs"]
mod kit;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use kit::*;

const KEY: &str = "k7b2ex5wa5xwyhks8nbk";
/// What a cold runner bears in one second: cold_per_s x cold_overage + cold_slack.
const MOST: usize = 16 * 3 / 2 + 5;

/// The rate at which this runner crashes while it is cold, twice cold_per_s.
const CRASHES_ABOVE: usize = 32;

fn configuration() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-look","host":"{HOST}","path_prefix":"/look/","kind":"safe","timeout_ms":1500,"target_latency_ms":300,"priority":2,"service":"ledger","max_attempts":2,"public":false}}],"services":[{{"name":"ledger","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":16.0}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"hule930","api_keys":["{KEY}"],"priority":1}}]}}"#
    )
}

fn main() {
    let record = Record::create(&std::env::args().nth(1).unwrap_or_else(|| "record.txt".into()));
    let store = Store::start(&record);
    store.put("keyed.op", "config", configuration().as_bytes());
    let mut routers = vec![Router::start(&store, "front-derby-1")];
    routers[0].wait_ready();
    thread::sleep(ms(1_500));

    // Clients ask 200 times a second, as before the runner came back.
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..40)
        .map(|number| {
            let (is_over, callers, record) = (Arc::clone(&is_over), routers[0].callers, record.clone());
            thread::spawn(move || {
                thread::sleep(ms(number * 5));
                while !is_over.load(Ordering::SeqCst) {
                    let id = new_id();
                    let head = format!("GET /look/2f HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 1500\r\nApi-Key: {KEY}\r\n\r\n");
                    let at = record.at();
                    let status = call(callers, &head, b"", ms(1_500)).map(|reply| reply.head.status());
                    record.write(format!("client: {id} sent at {at:.3}, answered {status:?}"));
                    thread::sleep(ms(200));
                }
            })
        })
        .collect();

    let arrivals: Arc<Mutex<Vec<f64>>> = Arc::default();
    let has_crashed = Arc::new(AtomicBool::new(false));
    let (at_runner, runs, crashed) = (record.clone(), Arc::clone(&arrivals), Arc::clone(&has_crashed));
    let service = move |arrival: &mut Arrival| {
        let at = at_runner.at();
        if !crashed.load(Ordering::SeqCst) {
            let mut runs = runs.lock().unwrap();
            runs.push(at);
            let rate = runs.iter().filter(|earlier| **earlier > at - 1.0).count();
            at_runner.write(format!("runner: {} arrives at {at:.3}, {rate} in the last second", arrival.id));
            if rate > CRASHES_ABOVE && !crashed.swap(true, Ordering::SeqCst) {
                at_runner.write("runner: crashes, with all that it runs");
            }
        }
        thread::sleep(ms(60));
        if crashed.load(Ordering::SeqCst) {
            arrival.reset();
        } else {
            arrival.answer(200, b"found");
        }
    };
    let cold = Runner::start_cold(&store, "i-app0", "ledger", 6, 3_000, service);
    record.write("a runner has started, cold for 3,000 ms");
    let until = record.at() + 6.0;
    while arrivals.lock().unwrap().len() < 16 && record.at() < until {
        thread::sleep(ms(5));
    }
    if trouble() {
        routers[0].signal("KILL");
        routers[0].wait(ms(2_000));
        record.write("SIGKILL of front-derby-1");
        thread::sleep(ms(500));
        routers[0].restart();
        record.write("front-derby-1 is started again");
    }
    thread::sleep(ms(2_500));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    drop(cold);
    let arrivals = arrivals.lock().unwrap();
    let in_second = |from: f64| arrivals.iter().filter(|at| **at >= from && **at < from + 1.0).count();
    let first = arrivals.first().copied().unwrap_or_default();
    let most = arrivals.iter().filter(|at| **at < first + 1.9).map(|at| in_second(*at)).max().unwrap_or(0);
    record.write(format!("at most {most} requests in one second while the runner was cold; it bears {MOST}"));
    let end = if has_crashed.load(Ordering::SeqCst) { ", and crashed" } else { "" };
    let text = format!("a cold runner got {most} requests in one second; the rule allows {MOST}{end}");
    finish(&record, (most > MOST).then_some(text), routers)
}
