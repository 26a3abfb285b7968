//! The choice of the routers that exchange the state of their zone with other zones.

use std::net::SocketAddr;
use std::time::Duration;

use balance::Aggregation;
use balance::Identity;
use balance::Load;
use balance::Member;
use balance::MemberStatus;
use balance::Members;
use balance::Origin;
use balance::PeerLoads;
use balance::Usage;
use balance::Work;
use balance::ranks_first;
use balance::targets;
use base::Name;

const NOW: Duration = Duration::from_secs(100);
const PERIOD: Duration = Duration::from_millis(100);

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Publishes the identity of a router.
fn put(members: &mut Members, identity: Identity) {
    let key = Identity::key(identity.name.as_str(), identity.incarnation);
    members.put(NOW, &key, identity);
}

fn identity(name: &str, zone: Option<&str>) -> Identity {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    Identity {
        name: Name::new(name),
        incarnation: 7,
        peers: address,
        callers: address,
        share_milli: 250,
        key: String::new(),
        zone: zone.map(Name::new),
        records: None,
    }
}

fn status(heard: u32) -> MemberStatus {
    MemberStatus { is_ready: true, heard, ..MemberStatus::default() }
}

/// Returns the names of `count` routers of a zone.
fn names(zone: &str, count: usize) -> Vec<String> {
    (0..count).map(|number| format!("{zone}-{number}")).collect()
}

/// Returns the view that a router has of the others of its zone, all of which it has just heard.
fn view(own: &str, zone: &str, names: &[String]) -> Members {
    let mut members = Members::default();
    for name in names.iter().filter(|name| *name != own) {
        put(&mut members, identity(name, Some(zone)));
        members.record_heartbeat(NOW, name, 7, 1, status(names.len() as u32 - 1));
    }
    members
}

/// Returns the routers of a zone that rank first in their own view.
fn first(zone: &str, names: &[String], now: Duration, views: &[Members]) -> Vec<String> {
    let zone = Name::new(zone);
    let ranked = names.iter().zip(views).filter(|(name, view)| {
        ranks_first(now, PERIOD, &zone, &Name::new(name), view.direct(&zone))
    });
    ranked.map(|(name, _)| name.clone()).collect()
}

#[test]
fn all_routers_of_a_zone_agree_on_one_aggregator() {
    for count in [1, 2, 9, 60] {
        let names = names("north", count);
        let views: Vec<Members> = names.iter().map(|name| view(name, "north", &names)).collect();
        assert_eq!(first("north", &names, NOW, &views).len(), 1, "{count} routers");
    }
}

#[test]
fn a_silent_aggregator_is_replaced_within_300_ms() {
    let names = names("north", 9);
    let mut views: Vec<Members> = names.iter().map(|name| view(name, "north", &names)).collect();
    let silent = first("north", &names, NOW, &views).remove(0);
    let later = NOW + ms(301);
    for (own, view) in names.iter().zip(&mut views) {
        for name in names.iter().filter(|name| **name != silent && *name != own) {
            view.record_heartbeat(later - ms(50), name, 7, 2, status(7));
        }
    }
    let (others, other_views): (Vec<String>, Vec<Members>) =
        names.into_iter().zip(views).filter(|(name, _)| *name != silent).unzip();
    let next = first("north", &others, later, &other_views);
    assert_eq!(next.len(), 1);
    assert_ne!(next[0], silent);
}

#[test]
fn a_router_that_hears_no_other_is_no_aggregator_although_the_others_hear_it() {
    let names = names("north", 9);
    let mut views: Vec<Members> = names.iter().map(|name| view(name, "north", &names)).collect();
    let deaf = first("north", &names, NOW, &views).remove(0);
    for (own, view) in names.iter().zip(&mut views) {
        if *own != deaf {
            view.record_heartbeat(NOW, &deaf, 7, 2, status(0));
        }
    }
    let (others, other_views): (Vec<String>, Vec<Members>) =
        names.into_iter().zip(views).filter(|(name, _)| *name != deaf).unzip();
    assert_eq!(first("north", &others, NOW, &other_views).len(), 1);
}

#[test]
fn a_router_acts_only_after_it_has_ranked_first_for_a_while() {
    let mut aggregation = Aggregation::default();
    assert!(!aggregation.update(NOW, true));
    assert!(!aggregation.update(NOW + ms(200), true));
    assert!(aggregation.update(NOW + ms(250), true));
    assert!(!aggregation.update(NOW + ms(260), false));
    assert!(!aggregation.update(NOW + ms(270), true));
}

fn members_of<'a>(members: &'a Members, own: &Name) -> Vec<&'a Member> {
    members.by_other_zone(own).into_values().flatten().collect()
}

#[test]
fn sums_are_sent_to_the_sender_of_the_other_zones_sums() {
    let (own, zone) = (Name::new("north"), Name::new("south"));
    let mut members = Members::default();
    for name in names("south", 20) {
        put(&mut members, identity(&name, Some("south")));
    }
    members.record_sums(NOW, "south-13");
    let known = members_of(&members, &own);
    let targets_now = targets(NOW + ms(100), &zone, &known);
    let target_names: Vec<&str> =
        targets_now.iter().map(|target| target.identity.name.as_str()).collect();
    assert_eq!(target_names, ["south-13"]);
}

#[test]
fn the_routers_of_a_zone_without_a_known_aggregator_are_tried_in_turn() {
    let (own, zone) = (Name::new("north"), Name::new("south"));
    let mut members = Members::default();
    for name in names("south", 20) {
        put(&mut members, identity(&name, Some("south")));
    }
    let known = members_of(&members, &own);
    let mut tried: Vec<Name> = (0..40)
        .map(|step| targets(NOW + ms(250 * step), &zone, &known))
        .map(|targets| {
            assert_eq!(targets.len(), 1);
            targets[0].identity.name.clone()
        })
        .collect();
    tried.sort();
    tried.dedup();
    assert_eq!(tried.len(), 20);
}

#[test]
fn a_router_of_an_earlier_version_exchanges_heartbeats_with_all_zones() {
    let mut members = Members::default();
    put(&mut members, identity("old", None));
    put(&mut members, identity("south-0", Some("south")));
    let north = Name::new("north");
    let direct: Vec<&str> =
        members.direct(&north).map(|member| member.identity.name.as_str()).collect();
    assert_eq!(direct, ["old"]);
}

#[test]
fn a_reported_router_is_alive_until_no_heartbeat_is_reported_any_more() {
    let mut members = Members::default();
    put(&mut members, identity("south-0", Some("south")));
    members.record_report(NOW, "south-0", 8, status(0));
    assert!(!members.get("south-0").is_some_and(|member| member.is_alive(NOW)), "earlier process");
    members.record_report(NOW, "south-0", 7, status(0));
    let member = members.get("south-0").expect("known");
    assert!(member.is_alive(NOW + ms(2_400)) && !member.is_alive(NOW + ms(2_500)));
    assert!(!member.was_heard_within(NOW, ms(1_000)));
}

/// Guards against a hand-over between two aggregators that both act for a moment.
#[test]
fn sums_of_two_routers_that_act_for_the_same_zone_count_once() {
    let zone = Origin::Zone(Name::new("south"));
    let wall = Name::new("wall");
    let load = Load { running: 4, backlog: 900, memory: 5_000 };
    let work = Work { used: 700, ..Work::default() };
    let mut loads = PeerLoads::default();
    let mut usage = Usage::default();
    for step in 0..20 {
        for sender in [0, 20] {
            let at = NOW + ms(50 * step + sender);
            loads.put(&zone, at, load);
            usage.put(&zone, at, 2, [(wall.clone(), work)].into());
        }
    }
    assert_eq!(loads.sum(), load);
    let used = usage.of(NOW + ms(970), &wall).used;
    assert!(used <= work.used, "{used}");
}
