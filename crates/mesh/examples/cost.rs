//! Runs fleets of n meshes in one process on loopback, and prints the traffic and processor time per router.
//!
//! `cargo run --release -p aspenline-mesh --example cost -- 3 9 27`

use std::env;
use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use base::Clock;
use base::Name;
use mesh::Candidate;
use mesh::Counters;
use mesh::Event;
use mesh::Mesh;
use mesh::Settings;
use mesh::State;
use mesh::issue;
use mesh::issue::Authority;
use tokio::sync::mpsc;
use tokio::sync::mpsc::Receiver;
use tokio::time::sleep;

/// Time for a fleet to converge.
const CONVERGENCE_TIME: Duration = Duration::from_secs(12);
/// Time over which traffic is counted.
const COUNT_TIME: Duration = Duration::from_secs(10);
/// Time for a fleet to detect a dead router.
const DETECTION_TIMEOUT: Duration = Duration::from_secs(15);
/// Clock ticks per second in the process statistics of the kernel.
const TICKS_PER_SECOND: f64 = 100.0;

struct Router {
    name: Name,
    mesh: Mesh,
    events: Receiver<Event>,
}

#[tokio::main]
async fn main() {
    let sizes: Vec<usize> = env::args().skip(1).filter_map(|size| size.parse().ok()).collect();
    println!(
        "n, sent B/s per router, received B/s per router, CPU of one router in %, connects, detected by all in ms, false deaths"
    );
    for size in if sizes.is_empty() { vec![3, 9, 27] } else { sizes } {
        measure(size).await;
    }
}

async fn measure(size: usize) {
    let authority = issue::authority("fleet").expect("issues an authority");
    let mut routers = Vec::new();
    for index in 0..size {
        routers.push(start(&authority, index).await);
    }
    let list: Vec<Candidate> = routers.iter().map(candidate).collect();
    routers.iter().for_each(|router| router.mesh.set_candidates(list.clone()));
    sleep(CONVERGENCE_TIME).await;
    let (before, cpu_before) = (total(&routers), cpu_seconds());
    sleep(COUNT_TIME).await;
    let (after, cpu_after) = (total(&routers), cpu_seconds());
    let per_router = COUNT_TIME.as_secs_f64() * size as f64;
    let sent = (after.bytes_sent - before.bytes_sent) as f64 / per_router;
    let received = (after.bytes_received - before.bytes_received) as f64 / per_router;
    let cpu = 100.0 * (cpu_after - cpu_before) / per_router;
    let connects = after.connects - before.connects;
    let detected = detect(&mut routers).await;
    let false_deaths = count_false_deaths(&mut routers);
    println!("{size}, {sent:.0}, {received:.0}, {cpu:.2}, {connects}, {detected}, {false_deaths}");
    for router in routers {
        router.mesh.shutdown().await;
    }
}

async fn start(authority: &Authority, index: usize) -> Router {
    let name = Name::new(&format!("router-{index}"));
    let identity = issue::member(authority, &name).expect("issues an identity");
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let zone = Name::new(&format!("zone-{}", index % 3));
    let settings = Settings::new(name.clone(), zone, "north".into(), listen, identity);
    let (sender, events) = mpsc::channel(16_384);
    let mesh =
        Mesh::start(settings, Arc::new(Clock::default()), sender).await.expect("the mesh starts");
    Router { name, mesh, events }
}

fn candidate(router: &Router) -> Candidate {
    Candidate {
        name: router.name.clone(),
        address: router.mesh.local_address(),
        zone: "zone-0".into(),
        region: "north".into(),
        leaving: false,
    }
}

fn total(routers: &[Router]) -> Counters {
    routers.iter().map(|router| router.mesh.counters()).fold(Counters::default(), |sum, one| {
        Counters {
            bytes_sent: sum.bytes_sent + one.bytes_sent,
            bytes_received: sum.bytes_received + one.bytes_received,
            connects: sum.connects + one.connects,
            ..sum
        }
    })
}

/// Returns the processor time of this process in seconds, or zero where the kernel does not report it.
fn cpu_seconds() -> f64 {
    let text = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<&str> = text.rsplit(')').next().unwrap_or_default().split(' ').collect();
    let ticks = |index: usize| fields.get(index).and_then(|field| field.parse::<f64>().ok());
    (ticks(12).unwrap_or_default() + ticks(13).unwrap_or_default()) / TICKS_PER_SECOND
}

/// Ends the last router without a leave message, and returns the time until all others consider it dead.
async fn detect(routers: &mut Vec<Router>) -> String {
    let Some(dead) = routers.pop() else { return "none".to_owned() };
    let name = dead.name.clone();
    drop(dead);
    let begin = Instant::now();
    while begin.elapsed() < DETECTION_TIMEOUT {
        if routers.iter().all(|router| considers_dead(router, &name)) {
            return begin.elapsed().as_millis().to_string();
        }
        sleep(Duration::from_millis(10)).await;
    }
    "not in time".to_owned()
}

fn considers_dead(router: &Router, name: &Name) -> bool {
    let members = router.mesh.members();
    members.iter().any(|member| member.name == *name && member.state == State::Dead)
}

/// Counts the views in which a running router is dead.
fn count_false_deaths(routers: &mut [Router]) -> usize {
    let names: Vec<Name> = routers.iter().map(|router| router.name.clone()).collect();
    let mut count = 0;
    for router in routers {
        while let Ok(event) = router.events.try_recv() {
            let Event::Members(members) = event else { continue };
            let dead = members.iter().filter(|member| member.state == State::Dead);
            count += dead.filter(|member| names.contains(&member.name)).count();
        }
    }
    count
}
