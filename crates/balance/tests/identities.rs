//! Routers whose records in the store are written late.

use std::net::SocketAddr;
use std::time::Duration;

use balance::Identity;
use balance::MemberStatus;
use balance::Members;
use base::Name;
use proptest::prelude::*;

const NOW: Duration = Duration::from_secs(100);
const ROUTER: &str = "router-1";

fn identity(incarnation: u64) -> Identity {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    Identity {
        name: Name::new(ROUTER),
        incarnation,
        peers: address,
        callers: address,
        share_milli: 250,
        key: String::new(),
        zone: Some(Name::new("north")),
        records: None,
    }
}

fn key(incarnation: u64) -> String {
    Identity::key(ROUTER, incarnation)
}

fn put(members: &mut Members, now: Duration, incarnation: u64) {
    members.put(now, &key(incarnation), identity(incarnation));
}

fn hear(members: &mut Members, now: Duration, incarnation: u64) -> bool {
    members.record_heartbeat(now, ROUTER, incarnation, 1, MemberStatus::default())
}

fn current(members: &Members) -> Option<u64> {
    members.get(ROUTER).map(|member| member.identity.incarnation)
}

#[test]
fn a_process_is_known_by_its_heartbeat_while_the_one_before_it_still_counts_as_alive() {
    let mut members = Members::default();
    put(&mut members, NOW, 1);
    assert!(hear(&mut members, NOW, 1));
    put(&mut members, NOW + Duration::from_millis(500), 2);
    assert!(hear(&mut members, NOW + Duration::from_millis(600), 2));
    assert_eq!(current(&members), Some(2));
    assert!(members.is_alive(NOW + Duration::from_millis(2_000), ROUTER));
}

#[test]
fn a_process_that_has_not_published_an_identity_is_not_heard() {
    let mut members = Members::default();
    put(&mut members, NOW, 1);
    hear(&mut members, NOW, 2);
    assert_eq!(current(&members), Some(1));
    assert!(members.identity(ROUTER, 2).is_none());
}

#[test]
fn a_record_of_an_earlier_version_is_replaced_by_that_of_the_next_process() {
    let mut members = Members::default();
    members.put(NOW, ROUTER, identity(1));
    hear(&mut members, NOW, 1);
    members.put(NOW, ROUTER, identity(2));
    assert_eq!(current(&members), Some(2));
    members.remove(ROUTER);
    assert_eq!(current(&members), None);
}

proptest! {
    /// Guards against late writes of ended processes removing or replacing a running one.
    #[test]
    fn a_running_process_stays_known_whatever_is_written_late_for_the_ones_before_it(
        writes in prop::collection::vec((1..4_u64, any::<bool>(), 0..4_000_u64), 0..20),
    ) {
        let mut members = Members::default();
        let mut now = NOW;
        put(&mut members, now, 9);
        for (ended, is_put, pause) in writes {
            prop_assert!(members.identity(ROUTER, 9).is_some());
            members.record_heartbeat(now, ROUTER, 9, now.as_millis() as u64, MemberStatus::default());
            prop_assert_eq!(current(&members), Some(9));
            if is_put {
                put(&mut members, now, ended);
            } else {
                members.remove(&key(ended));
            }
            prop_assert_eq!(current(&members), Some(9));
            now += Duration::from_millis(pause);
        }
    }
}
