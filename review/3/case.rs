//! A service that has only unsafe requests is refused for good after each of its runners has dropped one idle channel.

#[path = "../kit/mod.rs"]
mod kit;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::thread;

use kit::*;

const KEY: &str = "k7b2ex5wa5xwyhks8nbk";

fn configuration(version: u64, is_grown: bool) -> String {
    let added = format!(
        r#",{{"name":"r-order","host":"{HOST}","path_prefix":"/order/","kind":"unsafe","timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"orders","max_attempts":1,"public":false}}"#
    );
    let added = if is_grown { added } else { String::new() };
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-status","host":"{HOST}","path_prefix":"/status/","kind":"safe","timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"status","max_attempts":2,"public":false}}{added}],"services":[{{"name":"status","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}},{{"name":"orders","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"hule930","api_keys":["{KEY}"],"priority":1}}]}}"#
    )
}

/// Sends a request on a route, and records its status.
fn send(router: &Router, record: &Record, method: &str, path: &str) -> u16 {
    let id = new_id();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 4000\r\nApi-Key: {KEY}\r\nContent-Length: 0\r\n\r\n"
    );
    let status = call(router.callers, &head, b"", ms(4_000)).map_or(0, |reply| reply.head.status());
    record.write(format!("client: {method} {path} {id} answered {status}"));
    status
}

fn main() {
    let record = Record::create(&std::env::args().nth(1).unwrap_or_else(|| "record.txt".into()));
    let store = Store::start(&record);
    store.put("keyed.op", "config", configuration(1, false).as_bytes());
    // The runners of orders that drop an idle channel next: what is sent on it is reset.
    let dropping: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    let runs: Arc<Mutex<Vec<String>>> = Arc::default();
    for (service, count) in [("status", 1), ("orders", 3)] {
        for number in 0..count {
            let (runs, dropping, record) = (Arc::clone(&runs), Arc::clone(&dropping), record.clone());
            let id = format!("i-{service}{number}");
            let own = id.clone();
            let handle = move |arrival: &mut Arrival| {
                if arrival.number > 1 && dropping.lock().unwrap().remove(&own) {
                    record.write(format!("runner {own}: has dropped the idle channel on which {} comes, a reset", arrival.id));
                    arrival.reset();
                    return;
                }
                runs.lock().unwrap().push(arrival.id.clone());
                record.write(format!("runner {own}: runs {}", arrival.id));
                thread::sleep(ms(10));
                arrival.answer(200, b"done");
            };
            Runner::start(&store, &id, service, 6, handle);
        }
    }
    let routers = vec![Router::start(&store, "front-derby-1")];
    routers[0].wait_ready();
    thread::sleep(ms(1_500));
    store.put("keyed.op", "config", configuration(2, true).as_bytes());
    record.write("a configuration adds the route /order/");
    thread::sleep(ms(2_500));
    for _ in 0..6 {
        let (order, status) = (send(&routers[0], &record, "POST", "/order/2f"), send(&routers[0], &record, "GET", "/status/2f"));
        if order != 200 || status != 200 {
            abort("the quiet fleet doesn't serve");
        }
    }
    record.write("all is served; now each runner of orders drops one idle channel");
    if trouble() {
        dropping.lock().unwrap().extend((0..3).map(|number| format!("i-orders{number}")));
    }
    for _ in 0..30 {
        send(&routers[0], &record, "POST", "/order/2f");
        thread::sleep(ms(200));
    }
    record.write(format!("runners that have not dropped a channel: {:?}; from now on none does", dropping.lock().unwrap()));
    dropping.lock().unwrap().clear();
    // Longer than contact_ms, 3,000 ms.
    thread::sleep(ms(4_000));
    record.write("now the requests are counted");
    let mut served: BTreeMap<&str, u32> = BTreeMap::new();
    const ASKED: u32 = 60;
    for _ in 0..ASKED {
        *served.entry("/order/").or_default() += u32::from(send(&routers[0], &record, "POST", "/order/2f") == 200);
        *served.entry("/status/").or_default() += u32::from(send(&routers[0], &record, "GET", "/status/2f") == 200);
        thread::sleep(ms(700));
    }
    record.write(format!("of {ASKED} requests on each route were served: {served:?}"));
    let (added, first) = (served["/order/"], served["/status/"]);
    let text = format!("of {ASKED} requests on the route that was added later {added} were served, of those on the first route {first}, over 42 s");
    finish(&record, (4 * added < first).then_some(text), routers)
}
