//! Measures claims with and without group commit against a log that accepts 400 appends per second.
//!
//! Several routers receive claims at a constant rate. Without group commit, each claim and each outcome is a separate
//! record. Prints one line for each method and rate.

#[path = "../../plat/tests/support/mod.rs"]
mod support;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use base::Name;
use base::RequestId;
use claim::Answer;
use claim::Claims;
use claim::Decision;
use claim::Request;
use claim::Settings;
use plat::Log;
use support::Server;
use tokio::task::JoinSet;
use uuid::Uuid;

const ROUTERS: usize = 9;
const APPENDS_PER_SECOND: u32 = 400;
const CLAIMS_PER_SECOND: [u32; 2] = [100, 300];
const PERIOD: Duration = Duration::from_secs(10);
const DEADLINE: Duration = Duration::from_millis(1500);

/// The result of one claim.
enum Sample {
    Acquired(Duration),
    Failed,
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    println!("method rate/s claims acquired failed appends/s throttled p50_ms p99_ms max_ms");
    for rate in CLAIMS_PER_SECOND {
        grouped(rate).await;
        single(rate).await;
    }
}

async fn server() -> Server {
    let server = Server::start().await;
    server.faults(|faults| faults.appends_per_second = Some(APPENDS_PER_SECOND));
    server
}

async fn grouped(rate: u32) {
    let server = server().await;
    let mut routers = Vec::new();
    for number in 0..ROUTERS {
        let settings = Settings {
            router: Name::new(&format!("r{number}")),
            stream: "claims".to_owned(),
            retention: Duration::from_secs(3600),
            deadline: DEADLINE,
        };
        routers.push(Arc::new(Claims::start(settings, Log::new(server.address))));
    }
    while !routers.iter().all(|router| router.is_healthy()) {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let samples = load(rate, |number| {
        let router = routers[number % ROUTERS].clone();
        async move { claim(&router).await }
    });
    report("grouped", rate, &server, samples.await);
}

async fn claim(router: &Claims) -> Sample {
    let request = Request {
        workspace: Name::new("acme"),
        service: Name::new("orders"),
        key: Uuid::now_v7(),
        digest: [1; 32],
        request: RequestId::generate(),
    };
    let start = Instant::now();
    let Decision::Acquired(ticket) = router.claim(request).await else { return Sample::Failed };
    let elapsed = start.elapsed();
    let answer = Answer { status: 201, content_type: None, body: vec![b'a'; 200] };
    router.record(&ticket, answer).await.ok();
    Sample::Acquired(elapsed)
}

/// Appends each claim and each outcome as a separate record, without reading claims back.
async fn single(rate: u32) {
    let server = server().await;
    let logs: Vec<_> = (0..ROUTERS).map(|_| Log::new(server.address)).collect();
    let samples = load(rate, |number| {
        let log = logs[number % ROUTERS].clone();
        async move {
            let start = Instant::now();
            let claimed = log.append("claims", &"c".repeat(300)).await;
            let elapsed = start.elapsed();
            let recorded = log.append("claims", &"o".repeat(350)).await;
            match (claimed, recorded) {
                (Ok(_), Ok(_)) => Sample::Acquired(elapsed),
                _ => Sample::Failed,
            }
        }
    });
    report("single", rate, &server, samples.await);
}

async fn load<F>(rate: u32, call: impl Fn(usize) -> F) -> Vec<Sample>
where
    F: Future<Output = Sample> + Send + 'static,
{
    let mut calls = JoinSet::new();
    let mut ticks = tokio::time::interval(Duration::from_secs(1) / rate);
    let total = usize::try_from(rate).expect("a small rate") * PERIOD.as_secs() as usize;
    for number in 0..total {
        ticks.tick().await;
        calls.spawn(call(number));
    }
    calls.join_all().await
}

fn report(method: &str, rate: u32, server: &Server, samples: Vec<Sample>) {
    let total = samples.len();
    let mut times: Vec<_> = samples
        .into_iter()
        .filter_map(|sample| match sample {
            Sample::Acquired(elapsed) => Some(elapsed.as_secs_f64() * 1_000.0),
            Sample::Failed => None,
        })
        .collect();
    times.sort_by(f64::total_cmp);
    let at = |fraction: f64| {
        let index = (times.len() as f64 * fraction) as usize;
        times.get(index.min(times.len().saturating_sub(1))).copied().unwrap_or(f64::NAN)
    };
    println!(
        "{method} {rate} {total} {} {} {:.0} {} {:.1} {:.1} {:.1}",
        times.len(),
        total - times.len(),
        server.appends() as f64 / PERIOD.as_secs_f64(),
        server.throttled(),
        at(0.5),
        at(0.99),
        at(1.0)
    );
}
