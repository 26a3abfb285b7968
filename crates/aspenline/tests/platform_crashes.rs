//! Requests that crash each runner that begins to answer them, against fakes of the store and the runners.

#[path = "common/router.rs"]
mod router;

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use fake::endpoint::Endpoint;
use fake::endpoint::FIRST_START_MS;
use http::Request;
use http::StatusCode;
use http_body_util::Full;
use tokio::task::JoinSet;
use tokio::time;

use crate::router::Answer;
use crate::router::Platform;
use crate::router::Router;
use crate::router::configuration;
use crate::router::request;
use crate::router::wait_for;

/// The prompt part that crashes runners.
const CRASHING_PART: &str = "dd";
/// The crashes after which the part is to become known.
const KNOWN_AFTER: u32 = 5;
/// The time from these crashes until all routers are to know the part.
const CONTACT: Duration = Duration::from_secs(3);
/// The maximum number of requests with the part that may reach runners later.
const MAX_LATER: usize = 3;
/// The interval between two requests of one sender.
const INTERVAL: Duration = Duration::from_millis(60);

/// Returns a request whose prompt has these shared parts and one of its own.
fn prompt_request(path: &str, number: usize, shared: &str) -> Request<Full<Bytes>> {
    let own = format!("{:x}:100", 0x10_0000 + number);
    request("POST", path, &format!("{}-{number}", shared.len()))
        .header("api-key", router::API_KEY)
        .header("model", "m")
        .header("token-count", "1000,40")
        .header("prompt-prefix", format!("{shared},{own}"))
        .body(Full::new(Bytes::from(format!("body {number}"))))
        .expect("a request")
}

fn crash_count(runners: &[Endpoint]) -> u32 {
    runners.iter().map(Endpoint::crash_count).sum()
}

/// Returns the number of requests with the crashing part that have reached runners.
fn arrivals(runners: &[Endpoint]) -> usize {
    let requests = runners.iter().flat_map(Endpoint::requests);
    let prefixes = requests.filter_map(|request| request.headers.get("prompt-prefix").cloned());
    let marker = format!("{CRASHING_PART}:");
    prefixes.filter(|prefix| prefix.to_str().is_ok_and(|text| text.contains(&marker))).count()
}

/// Lists each runner that has crashed again, as one that has started since.
fn list_restarted(platform: &Platform, runners: &[Endpoint], listed: &mut [u32]) {
    for (runner, listed) in runners.iter().zip(listed) {
        let crashes = runner.crash_count();
        if crashes > *listed {
            *listed = crashes;
            let started_ms = FIRST_START_MS + u64::from(crashes);
            let record = runner.record_of_start("engines", "ready", 1, started_ms);
            platform.store.put("keyed.servers", runner.id(), &record);
        }
    }
}

/// What a test sends: sound requests and those that crash runners, in turn at all routers.
struct Traffic<'a> {
    platform: &'a Platform,
    routers: &'a [Router],
    runners: &'a [Endpoint],
    listed: Vec<u32>,
    path: &'static str,
    sent: usize,
    calls: JoinSet<(bool, Answer)>,
}

impl Traffic<'_> {
    /// Sends one sound request and, if asked to, one with the crashing part; then waits for the interval.
    async fn step(&mut self, is_crashing: bool) {
        let parts = ["aa:512,bb:400", "aa:512,bb:400,dd:300"];
        for shared in parts.into_iter().take(1 + usize::from(is_crashing)) {
            self.sent += 1;
            let request = prompt_request(self.path, self.sent, shared);
            let address = self.routers[self.sent % self.routers.len()].callers;
            let is_sound = shared == parts[0];
            self.calls.spawn(async move { (is_sound, router::call(address, request).await) });
        }
        time::sleep(INTERVAL).await;
        list_restarted(self.platform, self.runners, &mut self.listed);
    }

    async fn run_for(&mut self, length: Duration) {
        let start = Instant::now();
        while start.elapsed() < length {
            self.step(true).await;
        }
    }

    /// Waits for all answers and returns how many sound requests were sent, and served whole.
    async fn finish(&mut self) -> (usize, usize) {
        let (mut sound, mut served) = (0, 0);
        while let Some(call) = self.calls.join_next().await {
            let (is_sound, answer) = call.expect("no call panics");
            sound += usize::from(is_sound);
            let is_whole = answer.status == StatusCode::OK && answer.is_complete;
            served += usize::from(is_sound && is_whole);
        }
        (sound, served)
    }
}

async fn start_routers(platform: &Platform, runners: usize) -> Vec<Router> {
    let mut routers = Vec::new();
    for (name, zone) in [("router-1", "north"), ("router-2", "north"), ("router-3", "south")] {
        let router = platform.router_in(name, zone).await;
        router.wait_for_runners(runners).await;
        routers.push(router);
    }
    for router in &routers {
        wait_for(|| router.first_line("router_alive")).await;
    }
    routers
}

/// Sends requests with the crashing part, no two alike, to all routers until and after it is to be known.
async fn assert_part_becomes_known(test: &str, path: &'static str) {
    let platform = Platform::start(test).await;
    platform.configure(&configuration(1));
    let runners = platform.runners("engines", 8).await;
    for runner in &runners {
        runner.set_crashing_part(CRASHING_PART);
    }
    let routers = start_routers(&platform, runners.len()).await;
    let mut traffic = Traffic {
        platform: &platform,
        routers: &routers,
        runners: &runners,
        listed: vec![0; runners.len()],
        path,
        sent: 0,
        calls: JoinSet::new(),
    };
    for _ in 0..10 {
        traffic.step(false).await;
    }
    let start = Instant::now();
    while crash_count(&runners) < KNOWN_AFTER && start.elapsed() < CONTACT {
        traffic.step(true).await;
    }
    traffic.run_for(CONTACT).await;
    traffic.finish().await;
    let before = arrivals(&runners);
    traffic.run_for(CONTACT).await;
    let (sound, served) = traffic.finish().await;
    let later = arrivals(&runners) - before;
    assert!(later <= MAX_LATER, "{later} requests with the part reached runners");
    assert!(served * 2 >= sound, "{served} of {sound} sound requests were served");
}

#[tokio::test]
async fn a_prompt_part_that_crashes_runners_is_held_back_at_all_routers() {
    assert_part_becomes_known("crashing-part", "/once/stream/x").await;
}

#[tokio::test]
async fn a_prompt_part_that_crashes_runners_is_held_back_where_streams_are_resumed() {
    assert_part_becomes_known("crashing-part-resumed", "/stream/x").await;
}
