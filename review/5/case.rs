//! Routers are stopped and started in turn while the store carries out two of their writes late; a cold runner is overrun.

#[path = "../kit/mod.rs"]
mod kit;

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use kit::*;

const KEY: &str = "k7b2ex5wa5xwyhks8nbk";
/// What a cold runner bears in one second: cold_per_s x cold_overage + cold_slack.
const MOST: usize = 16 * 3 / 2 + 5;

fn configuration() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-look","host":"{HOST}","path_prefix":"/look/","kind":"safe","timeout_ms":1500,"target_latency_ms":300,"priority":2,"service":"ledger","max_attempts":2,"public":false}}],"services":[{{"name":"ledger","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":16.0}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"hule930","api_keys":["{KEY}"],"priority":1}}]}}"#
    )
}

fn main() {
    let record = Record::create(&std::env::args().nth(1).unwrap_or_else(|| "record.txt".into()));
    let store = Store::start(&record);
    store.put("keyed.op", "config", configuration().as_bytes());
    let names = ["front-derby-1", "front-derby-2", "front-derby-3"];
    let mut routers: Vec<Router> = names.iter().map(|name| Router::start(&store, name)).collect();
    routers.iter().for_each(Router::wait_ready);
    thread::sleep(ms(2_500));

    for number in 0..2 {
        if trouble() {
            // One write of this router, the last before its end, is done 3 s later and not answered.
            let left = AtomicUsize::new(1);
            store.lose_appends(move |_, _| {
                let is_lost = left.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| left.checked_sub(1)).is_ok();
                is_lost.then_some(ms(3_000))
            });
        }
        record.write(format!("SIGTERM of {}", names[number]));
        routers[number].signal("TERM");
        if !routers[number].wait(ms(8_500)) {
            abort("a router doesn't end within grace_s");
        }
        store.serve_all_appends();
        record.write(format!("{} has ended", names[number]));
        thread::sleep(ms(500));
        routers[number].restart();
        routers[number].wait_ready();
        record.write(format!("{} is started again, and ready", names[number]));
    }
    // The late writes are done by now, and the store has been stable for contact_ms.
    thread::sleep(ms(7_000));
    for name in names {
        let has_identity = store.newest("keyed.routers", name).is_some();
        record.write(format!("the store holds the identity of {name}: {has_identity}"));
    }

    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..45u64)
        .map(|number| {
            let callers = routers[number as usize % 3].callers;
            let (is_over, record) = (Arc::clone(&is_over), record.clone());
            thread::spawn(move || {
                thread::sleep(ms(number * 4));
                while !is_over.load(Ordering::SeqCst) {
                    let id = new_id();
                    let head = format!("GET /look/2f HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 1500\r\nApi-Key: {KEY}\r\n\r\n");
                    let at = record.at();
                    let status = call(callers, &head, b"", ms(1_500)).map(|reply| reply.head.status());
                    record.write(format!("client: {id} sent at {at:.3} to {}, answered {status:?}", names[number as usize % 3]));
                    thread::sleep(ms(180));
                }
            })
        })
        .collect();
    let arrivals: Arc<Mutex<Vec<f64>>> = Arc::default();
    let (at_runner, runs) = (record.clone(), Arc::clone(&arrivals));
    let service = move |arrival: &mut Arrival| {
        let at = at_runner.at();
        runs.lock().unwrap().push(at);
        at_runner.write(format!("runner: {} arrives at {at:.3}", arrival.id));
        thread::sleep(ms(20));
        arrival.answer(200, b"found");
    };
    let cold = Runner::start_cold(&store, "i-app0", "ledger", 24, 3_000, service);
    record.write("a runner has started, cold for 3,000 ms");
    thread::sleep(ms(3_000));
    let warm = record.at();
    thread::sleep(ms(300));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    drop(cold);
    let arrivals = arrivals.lock().unwrap();
    let cold_ones: Vec<f64> = arrivals.iter().copied().filter(|at| *at < warm).collect();
    let in_second = |from: f64| cold_ones.iter().filter(|at| **at >= from && **at < from + 1.0).count();
    let most = cold_ones.iter().map(|at| in_second(*at)).max().unwrap_or(0);
    record.write(format!("at most {most} requests in one second while the runner was cold; it bears {MOST}"));
    let text = format!("a cold runner got {most} requests in one second; the rule allows {MOST}");
    finish(&record, (most > MOST).then_some(text), routers)
}
