//! The choice of runners while versions are rolled out.

mod common;

use std::time::Duration;

use balance::Core;
use balance::Kind;
use balance::Outcome;
use balance::Registration;
use balance::rollout::Order;
use base::Name;

use crate::common::PLAIN;
use crate::common::granted;
use crate::common::ms;
use crate::common::plain;
use crate::common::registration;

/// The requests of each test.
const REQUESTS: u64 = 400;

fn runner(id: &str, version: &str) -> Registration {
    let version = Some(Name::new(version));
    Registration { service: Name::new(PLAIN), version, slots: 16, ..registration(id) }
}

/// A router that knows two old runners.
fn router() -> Core {
    let mut core = common::core("router-1", 0);
    core.registry.put(ms(0), &runner("old-1", "v1"));
    core.registry.put(ms(0), &runner("old-2", "v1"));
    core.record_versions(ms(0), Some(ms(0)));
    core
}

fn add_new(core: &mut Core, now: Duration, cold_left: Duration) {
    for id in ["new-3", "new-4"] {
        core.registry.put(now, &Registration { cold_left, ..runner(id, "v2") });
    }
    core.record_versions(now, Some(ms(0)));
}

fn order(core: &mut Core, now: Duration, seconds: f64) {
    let (service, to) = (Name::new(PLAIN), Name::new("v2"));
    let order = Order { position: 1, service, to, duration: Order::duration_of(seconds) };
    core.rollouts.put_order(now, order, true);
}

/// Sends requests one after the other from a time on, and returns how many went to new runners.
fn send(core: &mut Core, from: Duration, operator_as_of: Option<Duration>) -> u64 {
    let mut new = 0;
    for number in 0..REQUESTS {
        let now = from + ms(number);
        core.registry.confirm(now);
        core.update_rollouts(now, operator_as_of, &[], None);
        core.count_request(now, &Name::new(PLAIN));
        let grant = granted(core.submit(now, plain(now, Kind::Safe)));
        new += u64::from(grant.id.as_str().starts_with("new"));
        let route = Name::new("safe");
        core.record_response(&grant, &Name::new(PLAIN), &route, Some(ms(10)), false);
        core.release(now, &grant, true);
    }
    new
}

/// Guards against a new version that gets requests before an order for it can be known.
#[test]
fn a_version_is_held_until_the_operators_topic_is_known_as_of_later() {
    let mut core = router();
    add_new(&mut core, ms(1_000), Duration::ZERO);
    assert_eq!(send(&mut core, ms(1_000), Some(ms(900))), 0);
    assert!(send(&mut core, ms(2_000), Some(ms(1_100))) > 0);
}

/// Guards against candidates that are held for ever when the store is away from the order on.
#[test]
fn candidates_of_a_known_order_get_their_share_of_requests() {
    let mut core = router();
    order(&mut core, ms(900), 12.0);
    add_new(&mut core, ms(1_000), Duration::ZERO);
    let new = send(&mut core, ms(1_000), Some(ms(800)));
    assert!((5..=REQUESTS / 10).contains(&new), "{new}");
}

/// Guards against cold candidates that get more than their limit, and requests that find no runner, when requests move.
#[test]
fn cold_candidates_get_no_more_than_their_limit_when_requests_move() {
    let mut core = router();
    order(&mut core, ms(900), 12.0);
    add_new(&mut core, ms(1_000), ms(60_000));
    let new = send(&mut core, ms(10_000), None);
    // The limit of the plain service is 5 requests a second at each runner.
    assert!((1..=10).contains(&new), "{new}");
}

/// Guards against a runner of a replaced version that still gets a request which it was granted before.
#[test]
fn a_grant_at_a_replaced_version_is_withdrawn() {
    let mut core = router();
    order(&mut core, ms(900), 12.0);
    add_new(&mut core, ms(1_000), Duration::ZERO);
    let mut grants = Vec::new();
    for number in 0..200 {
        let now = ms(1_000 + number);
        core.registry.confirm(now);
        core.update_rollouts(now, None, &[], None);
        core.count_request(now, &Name::new(PLAIN));
        if let Outcome::Decided(balance::Decision::Granted(grant)) =
            core.submit(now, plain(now, Kind::Safe))
        {
            let is_new = grant.id.as_str().starts_with("new");
            let route = Name::new("safe");
            core.record_response(&grant, &Name::new(PLAIN), &route, Some(ms(10)), is_new);
            if !is_new {
                core.release(now, &grant, true);
            } else {
                grants.push(grant);
            }
        }
    }
    order_another(&mut core);
    let now = ms(1_300);
    core.registry.confirm(now);
    core.update_rollouts(now, None, &[], None);
    assert!(!grants.is_empty());
    assert!(grants.iter().all(|grant| !core.may_send(now, grant)));
}

/// Replaces the order by one for another version.
fn order_another(core: &mut Core) {
    let (service, to) = (Name::new(PLAIN), Name::new("v3"));
    let order = Order { position: 2, service, to, duration: None };
    core.rollouts.put_order(ms(1_250), order, true);
}
