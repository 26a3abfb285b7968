//! The status of this router for operators.

use base::Name;
use front::Counts;
use serde::Serialize;
use serde_json::Value;

use super::Control;
use crate::metric;

/// The status of a router.
#[derive(Debug, Serialize)]
struct Status {
    router: Name,
    zone: Name,
    region: Name,
    version: u64,
    log_up: bool,
    leaving: bool,
    members: Vec<Member>,
    shards: Vec<sched::Status>,
    out: Vec<Name>,
    calls: Counts,
    claims: claim::Status,
    waiting: usize,
    running: usize,
    control: Cost,
}

/// A member in this router's view.
#[derive(Debug, Serialize)]
struct Member {
    name: Name,
    zone: Name,
    state: mesh::State,
    callers: Option<std::net::SocketAddr>,
}

/// The cost of control at this router: traffic between routers, processor time and memory.
#[derive(Debug, Serialize)]
struct Cost {
    sent_bytes: u64,
    received_bytes: u64,
    frames_sent: u64,
    frames_received: u64,
    links: u64,
    control_cpu_us: u64,
    process_cpu_us: u64,
    rss_kb: u64,
    uptime_ms: u64,
}

impl Control {
    /// Returns the status as JSON.
    pub(super) fn status(&self) -> Value {
        let now = self.now();
        let status = Status {
            router: self.me.clone(),
            zone: self.shared.settings.zone.clone(),
            region: self.shared.settings.region.clone(),
            version: self.chain.number(),
            log_up: self.log_up,
            leaving: self.leaving,
            members: self.member_states(),
            shards: self.dispatchers.values().map(|dispatcher| dispatcher.status(now)).collect(),
            out: self.out_of_service().into_iter().collect(),
            calls: self.shared.counters.snapshot(),
            claims: self.shared.claims.status(),
            waiting: self.waiting.len(),
            running: self.usage.len(),
            control: self.cost(),
        };
        serde_json::to_value(status).unwrap_or_default()
    }

    fn member_states(&self) -> Vec<Member> {
        let callers = |name: &Name| {
            self.listing
                .instances
                .iter()
                .find(|instance| instance.name == *name)
                .map(|instance| instance.callers)
        };
        let states = self.members.iter().map(|member| Member {
            name: member.name.clone(),
            zone: member.zone.clone(),
            state: member.state,
            callers: callers(&member.name),
        });
        states.collect()
    }

    fn cost(&self) -> Cost {
        let counters = self.mesh.counters();
        Cost {
            sent_bytes: counters.bytes_sent,
            received_bytes: counters.bytes_received,
            frames_sent: counters.frames_sent,
            frames_received: counters.frames_received,
            links: counters.links,
            control_cpu_us: metric::thread_cpu_micros(),
            process_cpu_us: metric::process_cpu_micros(),
            rss_kb: metric::resident_kib(),
            uptime_ms: u64::try_from(self.now().as_millis()).unwrap_or(u64::MAX),
        }
    }
}
