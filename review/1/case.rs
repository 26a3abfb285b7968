//! A router reaches the store again after it was cut off from it, while configurations came in quick succession; the last of
//! them took a key away.

#[path = "../kit/mod.rs"]
mod kit;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

use kit::*;

/// Twice the 400 routes that a day adds at once.
const ROUTES: usize = 800;
const CHANGES: u64 = 5;
/// The longest cut of one machine from the store.
const CUT_MS: u64 = 5_500;
const KEPT: &str = "k7b2ex5wa5xwyhks8nbk";
const TAKEN: &str = "asnmgkcuyj8pjbvk9m68";

/// The configuration: the routes of a day to which 400 were added twice, and two tenants.
fn configuration(version: u64, has_taken: bool) -> String {
    let route = |n: usize| {
        format!(
            r#"{{"name":"r-{n:07}","host":"{HOST}","path_prefix":"/added{n:04}/","kind":"safe","timeout_ms":1500,"target_latency_ms":300,"priority":2,"service":"ledger","max_attempts":2,"public":false,"sticky":false,"stream_resume":false}}"#
        )
    };
    let routes: Vec<String> = (0..ROUTES).map(route).collect();
    let keys = if has_taken { format!("\"{TAKEN}\"") } else { String::new() };
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-look","host":"{HOST}","path_prefix":"/look/","kind":"safe","timeout_ms":1500,"target_latency_ms":300,"priority":2,"service":"ledger","max_attempts":2,"public":false}},{}],"services":[{{"name":"ledger","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"left","api_keys":[{keys}],"priority":1}},{{"name":"stays","api_keys":["{KEPT}"],"priority":1}}]}}"#,
        routes.join(",")
    )
}

fn request(router: &Router, key: &str, id: &str) -> Option<u16> {
    let head = format!(
        "GET /look/2f HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 1500\r\nApi-Key: {key}\r\n\r\n"
    );
    call(router.callers, &head, b"", ms(1_500)).map(|reply| reply.head.status())
}

fn main() {
    let record = Record::create(&std::env::args().nth(1).unwrap_or_else(|| "record.txt".into()));
    let store = Store::start(&record);
    store.put("keyed.op", "config", configuration(1, true).as_bytes());
    record.write(format!("a configuration has {} bytes", configuration(1, true).len()));
    let runs: Arc<Mutex<Vec<(String, Instant, String)>>> = Arc::default();
    for number in 0..2 {
        let runs = Arc::clone(&runs);
        let service = move |arrival: &mut Arrival| {
            let tenant = arrival.head.get("tenant").unwrap_or("").to_owned();
            runs.lock().unwrap().push((arrival.id.clone(), Instant::now(), tenant));
            arrival.answer(200, b"found");
        };
        Runner::start(&store, &format!("i-app{number}"), "ledger", 32, service);
    }
    let way = Way::to(store.address);
    let routers = vec![Router::start_at(way.address, "front-derby-1")];
    routers.iter().for_each(Router::wait_ready);
    thread::sleep(ms(2_500));
    for router in &routers {
        for key in [TAKEN, KEPT] {
            let status = request(router, key, &new_id());
            record.write(format!("before: {} with key {key}: {status:?}", router.name));
            if status != Some(200) {
                abort("the quiet fleet doesn't serve");
            }
        }
    }

    if trouble() {
        way.cut(true);
        record.write("front-derby-1 is cut off from the store");
    }
    let cut_at = record.at();
    let cut_since = Instant::now();
    for change in 0..CHANGES {
        store.put("keyed.op", "config", configuration(2 + change, true).as_bytes());
        thread::sleep(ms(80));
    }
    store.put("keyed.op", "config", configuration(2 + CHANGES, false).as_bytes());
    let confirmed = Instant::now();
    record.write(format!("the store confirms version {}, which takes the key of tenant left away", 2 + CHANGES));

    thread::sleep(ms(5_002).saturating_sub(confirmed.elapsed()));
    let is_over = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<(String, Instant, Option<u16>)>>> = Arc::default();
    let clients: Vec<_> = (0..10u64)
        .map(|number| {
            let (is_over, sent, callers) = (Arc::clone(&is_over), Arc::clone(&sent), routers[0].callers);
            thread::spawn(move || {
                thread::sleep(ms(number));
                while !is_over.load(Ordering::SeqCst) {
                    let id = new_id();
                    let at = Instant::now();
                    let head = format!(
                        "GET /look/2f HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 1500\r\nApi-Key: {TAKEN}\r\n\r\n"
                    );
                    let status = call(callers, &head, b"", ms(1_500)).map(|reply| reply.head.status());
                    sent.lock().unwrap().push((id, at, status));
                    thread::sleep(ms(4));
                }
            })
        })
        .collect();
    thread::sleep(ms(CUT_MS - 10).saturating_sub(cut_since.elapsed()));
    if trouble() {
        way.cut(false);
        record.write(format!("front-derby-1 reaches the store again after {:.3} s", record.at() - cut_at));
    }
    thread::sleep(ms(2_000));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let kept = request(&routers[0], KEPT, &new_id());
    record.write(format!("after: with the key that stays: {kept:?}"));

    let runs = runs.lock().unwrap();
    let mut broken = 0;
    for (id, at, status) in sent.lock().unwrap().iter() {
        let after = at.duration_since(confirmed).as_millis();
        let run = runs.iter().find(|(run, ..)| run == id);
        let ran = run.map_or("not run".to_owned(), |(_, at, tenant)| {
            format!("RUN {} ms after the confirmation, as tenant {tenant}", at.duration_since(confirmed).as_millis())
        });
        record.write(format!("request {id} sent {after} ms after the confirmation: {status:?}, {ran}"));
        if run.is_some() && after > 5_000 {
            broken += 1;
        }
    }
    let adopted = routers[0].lines("configuration_adopted");
    adopted.iter().for_each(|line| record.write(format!("log of front-derby-1: {line}")));
    let text = format!("{broken} requests with the key ran that were sent later than 5,000 ms after its removal was confirmed");
    finish(&record, (broken > 0).then_some(text), routers)
}
