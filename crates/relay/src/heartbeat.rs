//! Sending and receiving of heartbeats.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use balance::Identity;
use balance::Load;
use balance::LoadLimits;
use balance::MemberStatus;
use balance::Runner;
use base::Name;
use indexmap::IndexMap;
use strum::IntoEnumIterator;
use tokio::net::UdpSocket;
use tokio::time;

use crate::Line;
use crate::Router;
use crate::Topic;
use crate::event;
use crate::gossip;
use crate::gossip::Crashes;
use crate::gossip::Digest;
use crate::gossip::Heartbeat;
use crate::gossip::PlacedPart;
use crate::gossip::Received;
use crate::gossip::RunnerLoad;
use crate::gossip::ServiceLimits;
use crate::gossip::TopicStatus;
use crate::gossip::WorkspaceUse;

/// Interval between two heartbeats in a small fleet.
const PERIOD: Duration = Duration::from_millis(100);
/// Number of peers up to which that interval holds; beyond it, the interval grows with the fleet.
const SMALL_FLEET: usize = 12;
/// Maximum interval between two heartbeats, well below the time after which a router counts as gone.
const MAX_PERIOD: Duration = Duration::from_millis(450);
/// Number of low bits of an incarnation that the first sequence number leaves out.
const SEQUENCE_SHIFT: u32 = 20;
/// Maximum size of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 60 << 10;

/// Exchanges heartbeats with all peers until the process ends.
pub async fn exchange_heartbeats(router: Rc<Router>, identity: Rc<Identity>, socket: UdpSocket) {
    tokio::join!(send_all(&router, &identity, &socket), receive_all(&router, &socket));
}

async fn send_all(router: &Router, identity: &Identity, socket: &UdpSocket) {
    let mut sequence = first_sequence(identity.incarnation);
    loop {
        sequence += 1;
        router.sent_heartbeats.borrow_mut().record_sent(router.now(), sequence);
        let peers: Vec<(SocketAddr, u64)> = router
            .members
            .borrow()
            .iter()
            .map(|member| (member.identity.peers, member.sequence))
            .collect();
        if let Some(encoded) = gossip::encode(&heartbeat(router, identity, sequence)) {
            for (peer, acknowledged) in &peers {
                let datagram = gossip::seal(&encoded, *acknowledged, &identity.key);
                if let Err(error) = socket.try_send_to(&datagram, *peer) {
                    log::debug!("failed to send a heartbeat to {peer}: {error}");
                }
            }
        }
        time::sleep(period(peers.len())).await;
    }
}

/// Returns the first sequence number of a process, so that the numbers of an earlier process on the same machine don't
/// recur.
const fn first_sequence(incarnation: u64) -> u64 {
    incarnation >> SEQUENCE_SHIFT
}

/// Returns the interval between two heartbeats for this number of peers.
pub(crate) fn period(peers: usize) -> Duration {
    let factor = peers.max(SMALL_FLEET) as f64 / SMALL_FLEET as f64;
    PERIOD.mul_f64(factor).min(MAX_PERIOD)
}

fn heartbeat(router: &Router, identity: &Identity, sequence: u64) -> Heartbeat {
    let placed = take_placements(router);
    let core = router.core.borrow();
    let loads = core.registry.iter().filter(|(_, runner)| runner.own_load != Load::default());
    let loads = loads.map(|(_, runner)| RunnerLoad {
        runner: Digest::of(runner.registration.id.as_str()),
        running: runner.own_load.running,
        backlog: runner.own_load.backlog,
        memory: runner.own_load.memory,
    });
    let used = core.usage.own(router.now());
    let used = used
        .map(|(workspace, work)| WorkspaceUse { workspace: Digest::of(workspace.as_str()), work });
    let limits = core.service_loads().map(|(service, adaptive_limit, _)| {
        let load_limits = adaptive_limit.limits();
        let (backlog, running) = (load_limits.backlog, load_limits.running);
        ServiceLimits { service: Digest::of(service.as_str()), backlog, running }
    });
    let crashes = core.crash_history.own_crashes(router.now()).into_iter();
    let crashes = crashes.map(|(digest, count)| Crashes { digest, count });
    Heartbeat {
        sender: identity.name.to_string(),
        incarnation: identity.incarnation,
        sequence,
        is_ready: router.is_ready(),
        loads: loads.collect(),
        placed,
        used: used.collect(),
        limits: limits.collect(),
        crashes: crashes.collect(),
        topics: topic_statuses(router),
        requests: router.recent_requests(),
        is_current: !router.is_revocation_unknown(),
    }
}

fn take_placements(router: &Router) -> Vec<PlacedPart> {
    let mut core = router.core.borrow_mut();
    let placed = core.take_placements();
    let known = placed.into_iter().filter_map(|(part, runner)| {
        let runner = core.registry.get(runner)?;
        Some(PlacedPart { part, runner: Digest::of(runner.registration.id.as_str()) })
    });
    known.collect()
}

fn topic_statuses(router: &Router) -> Vec<TopicStatus> {
    let now = router.now();
    let schedules = router.read_schedules.borrow();
    let statuses = schedules.iter().map(|schedule| TopicStatus {
        last_change: schedule.last_change(),
        age_ms: schedule.age(now).map(event::millis),
    });
    statuses.collect()
}

async fn receive_all(router: &Router, socket: &UdpSocket) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, _)) => receive(router, &buffer[..length]),
            Err(error) => {
                log::debug!("failed to receive a heartbeat: {error}");
                time::sleep(PERIOD).await;
            }
        }
    }
}

fn receive(router: &Router, bytes: &[u8]) {
    let received = gossip::open(bytes, |sender, incarnation| {
        let members = router.members.borrow();
        let member = members.get(sender)?;
        (member.identity.incarnation == incarnation).then(|| member.identity.key.clone())
    });
    let Some(Received { heartbeat, acknowledged }) = received else { return };
    let now = router.now();
    let was_unreachable = {
        let members = router.members.borrow();
        members.get(&heartbeat.sender).is_some_and(|member| !member.is_alive(now))
    };
    let sender = heartbeat.sender.as_str();
    let status = MemberStatus {
        sequence: heartbeat.sequence,
        is_ready: heartbeat.is_ready,
        is_current: heartbeat.is_current,
        requests: heartbeat.requests,
    };
    if !router.members.borrow_mut().record_heartbeat(now, sender, status) {
        return;
    }
    if was_unreachable {
        router.log(Line::new("router_alive").subject(sender));
    }
    apply(router, now, &heartbeat);
    record_topics(router, &heartbeat, acknowledged);
    router.wake_queue();
}

/// Records another router's view of the store's topics.
fn record_topics(router: &Router, heartbeat: &Heartbeat, acknowledged: u64) {
    for (topic, status) in Topic::iter().zip(&heartbeat.topics) {
        let age = status.age_ms.map(Duration::from_millis);
        let as_of =
            age.and_then(|age| router.sent_heartbeats.borrow().known_as_of(acknowledged, age));
        router.record_topic_report(topic, status.last_change, as_of);
    }
}

/// Records the shared parts that another router has sent to a runner.
fn record_placements(runner: &mut Runner, now: Duration, digest: Digest, placed: &[PlacedPart]) {
    for placed in placed.iter().filter(|placed| placed.runner == digest) {
        runner.prefix_cache.record_sent_by_peer(placed.part, now);
    }
}

/// Applies the load, placements, use, crashes and limits that another router reports.
fn apply(router: &Router, now: Duration, heartbeat: &Heartbeat) {
    let sender = Name::new(&heartbeat.sender);
    let loads: IndexMap<Digest, &RunnerLoad> =
        heartbeat.loads.iter().map(|load| (load.runner, load)).collect();
    let mut core = router.core.borrow_mut();
    let keys: Vec<_> = core.registry.iter().map(|(key, _)| key).collect();
    for key in keys {
        let Some(runner) = core.registry.get_mut(key) else { continue };
        let digest = Digest::of(runner.registration.id.as_str());
        record_placements(runner, now, digest, &heartbeat.placed);
        let load = loads.get(&digest);
        let load = load.map_or_else(Load::default, |load| Load {
            running: load.running,
            backlog: load.backlog,
            memory: load.memory,
        });
        runner.peer_loads.put(&sender, now, load);
    }
    let names: Vec<Name> =
        core.table.iter().flat_map(balance::Table::workspaces).cloned().collect();
    let used: IndexMap<Digest, u64> =
        heartbeat.used.iter().map(|used| (used.workspace, used.work)).collect();
    let sums = names.into_iter().filter_map(|name| {
        let work = used.get(&Digest::of(name.as_str())).copied()?;
        Some((name, work))
    });
    let sums = sums.collect();
    core.usage.put(&sender, now, sums);
    for crashes in &heartbeat.crashes {
        core.crash_history.record_peer_crashes(&sender, now, crashes.digest, crashes.count);
    }
    let services: Vec<Name> = core.service_loads().map(|(service, ..)| service.clone()).collect();
    for service in services {
        let digest = Digest::of(service.as_str());
        if let Some(limits) = heartbeat.limits.iter().find(|limits| limits.service == digest) {
            let load_limits = LoadLimits { backlog: limits.backlog, running: limits.running };
            core.record_peer_limits(&service, load_limits);
        }
    }
}
