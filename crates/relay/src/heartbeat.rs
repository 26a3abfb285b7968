//! Sending and receiving of heartbeats.
//!
//! A router sends heartbeats to the routers of its own availability zone. The aggregator of the zone also sends the sums
//! over the zone to the aggregators of the other zones. A router that receives sums of another zone passes them on to its own.

use std::iter;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use balance::Changes;
use balance::Distance;
use balance::Identity;
use balance::Member;
use balance::MemberStatus;
use balance::Report;
use balance::era;
use strum::IntoEnumIterator;
use tokio::net::UdpSocket;
use tokio::time;

use crate::Line;
use crate::Router;
use crate::Topic;
use crate::crash_evidence;
use crate::crediting;
use crate::departure_report;
use crate::event;
use crate::gossip;
use crate::gossip::Extension;
use crate::gossip::Heartbeat;
use crate::gossip::Received;
use crate::gossip::TopicStatus;
use crate::lending;
use crate::message;
use crate::pace_report;
use crate::rate_report;
use crate::report;
use crate::rollout;

/// Interval between two heartbeats in a small zone.
const PERIOD: Duration = Duration::from_millis(50);
/// Number of peers up to which that interval holds; beyond it, the interval grows with the zone.
const SMALL_ZONE: usize = 6;
/// Maximum interval between two heartbeats, well below the time after which a router counts as gone.
const MAX_PERIOD: Duration = Duration::from_millis(300);
/// Heartbeat periods after which most other routers know of a grant.
const REPORT_PERIODS: u32 = 2;
/// Heartbeat periods without a heartbeat after which a router does not count as heard.
const HEARD_PERIODS: u32 = 4;
/// Number of low bits of an incarnation that the first sequence number leaves out.
const SEQUENCE_SHIFT: u32 = 20;
/// Maximum size of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 60 << 10;

/// The receiver of a datagram.
struct Receiver {
    address: SocketAddr,
    /// The newest heartbeat that this router has received from it.
    acknowledged: u64,
}

impl Receiver {
    const fn of(member: &Member) -> Self {
        Self { address: member.identity.peers, acknowledged: member.sequence }
    }
}

/// Exchanges heartbeats with all peers until the process ends.
pub async fn exchange_heartbeats(router: Rc<Router>, identity: Rc<Identity>, socket: UdpSocket) {
    tokio::join!(
        send_all(&router, &identity, &socket),
        lending::send_requests(&router, &identity, &socket),
        crediting::exchange(&router, &identity, &socket),
        receive_all(&router, &identity, &socket),
    );
}

async fn send_all(router: &Router, identity: &Identity, socket: &UdpSocket) {
    let mut sequence = first_sequence(identity.incarnation);
    loop {
        sequence += 1;
        let now = router.now();
        router.sent_heartbeats.borrow_mut().record_sent(now, sequence);
        router.core.borrow_mut().set_report_interval(REPORT_PERIODS * period(router));
        router.core.borrow_mut().registry.record_running(now);
        router.core.borrow_mut().record_state(now);
        rollout::update(router);
        update_issuers(router, now);
        let is_aggregator = update_aggregation(router, now);
        let heartbeat = heartbeat(router, identity, sequence);
        router.exchange.borrow_mut().record_placed(&heartbeat.placed);
        send_to_zone(router, identity, socket, &heartbeat);
        if is_aggregator && router.exchange.borrow_mut().begin_sums(now) {
            send_to_other_zones(router, identity, socket, heartbeat);
        }
        time::sleep(period(router)).await;
    }
}

/// Records which routers may hand out credits.
fn update_issuers(router: &Router, now: Duration) {
    let members = router.members.borrow();
    let own = router.is_ready().then(|| router.settings.name.clone());
    let others = members.ready(now).map(|member| member.identity.name.clone());
    let candidates = own.into_iter().chain(others).collect();
    let visible = members.iter().filter(|member| member.is_alive(now)).count() + 1;
    router.core.borrow_mut().set_issuers(candidates, visible);
}

/// Returns the first sequence number of a process, so that the numbers of an earlier process on the same machine don't
/// recur.
const fn first_sequence(incarnation: u64) -> u64 {
    incarnation >> SEQUENCE_SHIFT
}

/// Returns the interval between two heartbeats of this router.
pub(crate) fn period(router: &Router) -> Duration {
    period_for(router.members.borrow().direct(&router.settings.zone).count())
}

fn period_for(peers: usize) -> Duration {
    let factor = peers.max(SMALL_ZONE) as f64 / SMALL_ZONE as f64;
    PERIOD.mul_f64(factor).min(MAX_PERIOD)
}

/// Returns whether this router acts as the aggregator of its zone.
fn update_aggregation(router: &Router, now: Duration) -> bool {
    let settings = &router.settings;
    let is_first = balance::ranks_first(
        now,
        period(router),
        &settings.zone,
        &settings.name,
        router.members.borrow().direct(&settings.zone),
    );
    let mut exchange = router.exchange.borrow_mut();
    let was_active = exchange.is_aggregator;
    exchange.is_aggregator = exchange.aggregation.update(now, is_first);
    let is_active = exchange.is_aggregator;
    drop(exchange);
    if is_active != was_active {
        let outcome = if is_active { "started" } else { "stopped" };
        router.log(Line::new("aggregator").subject(settings.zone.as_str()).outcome(outcome));
    }
    is_active
}

fn send_to_zone(router: &Router, identity: &Identity, socket: &UdpSocket, heartbeat: &Heartbeat) {
    let mut extension = extension(router);
    extension.shortage = report::own_shortage(&router.core.borrow(), router.now());
    extension.crash_evidence = crash_evidence::of_router(router);
    extension.paces = pace_report::of_router(router);
    extension.rates = rate_report::of_router(router);
    extension.rollouts = router.core.borrow().rollouts.reports(router.now(), false);
    extension.sums = router.exchange.borrow_mut().take_sums(router.now());
    let members = router.members.borrow();
    let receivers = members.direct(&router.settings.zone).map(Receiver::of);
    send(identity, socket, heartbeat, &extension, receivers);
}

/// Sends the sums of this zone; the figures of this router alone are part of them.
fn send_to_other_zones(
    router: &Router,
    identity: &Identity,
    socket: &UdpSocket,
    heartbeat: Heartbeat,
) {
    let heartbeat = Heartbeat {
        loads: Vec::new(),
        placed: Vec::new(),
        used: Vec::new(),
        limits: Vec::new(),
        ..heartbeat
    };
    let mut extension = extension(router);
    extension.sums.push(report::zone_sums(router, identity.incarnation));
    let now = router.now();
    let members = router.members.borrow();
    let zones = members.by_other_zone(&router.settings.zone);
    let receivers =
        zones.into_iter().flat_map(|(zone, members)| balance::targets(now, zone, &members));
    send(identity, socket, &heartbeat, &extension, receivers.map(Receiver::of));
}

fn send(
    identity: &Identity,
    socket: &UdpSocket,
    heartbeat: &Heartbeat,
    extension: &Extension,
    receivers: impl Iterator<Item = Receiver>,
) {
    let Some(encoded) = gossip::encode(heartbeat, extension) else {
        log::warn!("a heartbeat can't be encoded");
        return;
    };
    for receiver in receivers {
        let datagram = gossip::seal(&encoded, receiver.acknowledged, &identity.key);
        if let Err(error) = socket.try_send_to(&datagram, receiver.address) {
            log::debug!("failed to send a heartbeat to {}: {error}", receiver.address);
        }
    }
}

fn heartbeat(router: &Router, identity: &Identity, sequence: u64) -> Heartbeat {
    let now = router.now();
    let mut core = router.core.borrow_mut();
    Heartbeat {
        sender: identity.name.to_string(),
        incarnation: identity.incarnation,
        sequence,
        placed: report::take_placements(&mut core),
        loads: report::own_loads(&core),
        used: report::own_use(&core, now),
        limits: report::limits(&core),
        crash_counts: Vec::new(),
        topics: topic_statuses(router),
        requests: router.recent_requests(),
        is_current: !router.is_revocation_unknown(),
        is_ready: !router.is_leaving() && core.table.is_some(),
    }
}

fn extension(router: &Router) -> Extension {
    let now = router.now();
    let span = HEARD_PERIODS * period(router);
    let members = router.members.borrow();
    let heard =
        members.direct(&router.settings.zone).filter(|peer| peer.was_heard_within(now, span));
    Extension {
        heard: u32::try_from(heard.count()).unwrap_or(u32::MAX),
        reaches_store: router.reaches_store(),
        sums: Vec::new(),
        shortage: Vec::new(),
        leaving: router.core.borrow().registry.leaving().collect(),
        departures: Some(departure_report::of_router(router)),
        eras: last_changes(router).map(era::of).collect(),
        crash_evidence: Vec::new(),
        paces: Vec::new(),
        rollouts: Vec::new(),
        rates: Vec::new(),
    }
}

fn topic_statuses(router: &Router) -> Vec<TopicStatus> {
    let now = router.now();
    let schedules = router.read_schedules.borrow();
    let statuses = schedules.iter().map(|schedule| TopicStatus {
        last_change: era::offset(schedule.changes().last),
        age_ms: schedule.age(now).map(event::millis),
    });
    statuses.collect()
}

/// Returns the positions after the last changes that this router has read, by topic.
fn last_changes(router: &Router) -> impl Iterator<Item = u64> {
    let schedules = router.read_schedules.borrow();
    let positions: Vec<u64> = schedules.iter().map(|schedule| schedule.changes().last).collect();
    positions.into_iter()
}

async fn receive_all(router: &Router, identity: &Identity, socket: &UdpSocket) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, _)) if message::is_message(&buffer[..length]) => {
                message::receive(router, identity, socket, &buffer[..length]);
            }
            Ok((length, _)) => receive(router, &buffer[..length]),
            Err(error) => {
                log::debug!("failed to receive a heartbeat: {error}");
                time::sleep(PERIOD).await;
            }
        }
    }
}

fn receive(router: &Router, bytes: &[u8]) {
    let now = router.now();
    let received = gossip::open(bytes, |sender, incarnation| {
        let members = router.members.borrow();
        let identity = members.identity(sender, incarnation);
        if identity.is_none() {
            router.strangers.record(now);
        }
        identity.map(|identity| identity.key.clone())
    });
    let Some(Received { heartbeat, extension, acknowledged }) = received else { return };
    if !record_sender(router, now, &heartbeat, extension.as_ref()) {
        return;
    }
    if let Some(at) = router.sent_heartbeats.borrow().known_as_of(acknowledged, Duration::ZERO) {
        router.core.borrow_mut().confirm_report(at);
    }
    if is_direct(router, &heartbeat.sender) {
        let shortage = extension.as_ref().map_or(&[][..], |extension| &extension.shortage);
        report::apply_heartbeat(router, now, &heartbeat, shortage);
        let evidence = extension.as_ref().map_or(&[][..], |extension| &extension.crash_evidence);
        crash_evidence::apply(router, now, now, Distance::Zone, evidence);
        let paces = extension.as_ref().map_or(&[][..], |extension| &extension.paces);
        pace_report::apply(router, now, paces);
        let rates = extension.as_ref().map_or(&[][..], |extension| &extension.rates);
        rate_report::apply(router, now, rates);
        let reports = extension.as_ref().map_or(&[][..], |extension| &extension.rollouts);
        rollout::apply_heartbeat(router, now, &heartbeat, reports);
    }
    if let Some(extension) = &extension {
        departure_report::apply(router, &heartbeat.sender, extension);
    }
    for sums in extension.iter().flat_map(|extension| &extension.sums) {
        report::apply_sums(router, now, sums, !is_direct(router, &heartbeat.sender));
    }
    record_topics(router, &heartbeat, extension.as_ref(), acknowledged);
    router.wake_queue();
}

/// Records the state of the sender of a heartbeat; returns `false` if the heartbeat is not newer than the last one.
fn record_sender(
    router: &Router,
    now: Duration,
    heartbeat: &Heartbeat,
    extension: Option<&Extension>,
) -> bool {
    let sender = heartbeat.sender.as_str();
    let status = MemberStatus {
        is_ready: heartbeat.is_ready,
        is_current: heartbeat.is_current,
        requests: heartbeat.requests,
        heard: extension.map_or(0, |extension| extension.heard),
        reaches_store: extension.is_none_or(|extension| extension.reaches_store),
    };
    let mut members = router.members.borrow_mut();
    let was_alive = members.get(sender).is_some_and(|member| member.is_alive(now));
    if !members.record_heartbeat(now, sender, heartbeat.incarnation, heartbeat.sequence, status) {
        return false;
    }
    let zone = members.get(sender).and_then(|member| member.identity.zone.clone());
    let sums = extension.iter().flat_map(|extension| &extension.sums);
    if sums.into_iter().any(|sums| zone.as_ref().is_some_and(|zone| zone.as_str() == sums.zone)) {
        members.record_sums(now, sender);
    }
    drop(members);
    if !was_alive {
        router.log(Line::new("router_alive").subject(sender));
    }
    true
}

/// Returns whether a router exchanges heartbeats with this one directly, so that its figures are no part of any sums
/// that this router receives.
fn is_direct(router: &Router, sender: &str) -> bool {
    let members = router.members.borrow();
    members.get(sender).is_some_and(|member| member.is_direct(&router.settings.zone))
}

/// Records another router's view of the store's topics; one that states no eras has an earlier version, and is taken to
/// be in the era of this router.
fn record_topics(
    router: &Router,
    heartbeat: &Heartbeat,
    extension: Option<&Extension>,
    acknowledged: u64,
) {
    let eras = extension.map_or(&[][..], |extension| &extension.eras);
    let own_eras = last_changes(router).map(era::of);
    let eras = eras.iter().copied().map(Some).chain(iter::repeat(None)).zip(own_eras);
    let statuses = heartbeat.topics.iter().zip(eras);
    let last_changes: Vec<u64> = statuses
        .map(|(status, (era, own))| era::position(era.unwrap_or(own), status.last_change))
        .collect();
    for ((topic, status), last_change) in
        Topic::iter().zip(&heartbeat.topics).zip(last_changes.iter().copied())
    {
        let age = status.age_ms.map(Duration::from_millis);
        let as_of =
            age.and_then(|age| router.sent_heartbeats.borrow().known_as_of(acknowledged, age));
        let departures = extension.and_then(|extension| extension.departures.as_ref());
        let last_untold = departures.filter(|_| topic == Topic::Runners);
        let last_untold = last_untold.map(|departures| departures.last_untold);
        let changes =
            Changes { last: last_change, last_untold: last_untold.unwrap_or(last_change) };
        router.record_topic_report(topic, &Report { changes, as_of, tells: last_untold.is_some() });
    }
    router.members.borrow_mut().record_last_changes(&heartbeat.sender, last_changes);
}
