//! Places that routers lend each other: how many, to whom, and for how long.

mod common;

use std::time::Duration;

use balance::Core;
use balance::Decision;
use balance::Loan;
use balance::LoanRequest;
use balance::Origin;
use balance::Outcome;
use balance::Work;
use base::Name;
use indexmap::IndexMap;

use crate::common::SERVICE;
use crate::common::TARGET;
use crate::common::core;
use crate::common::ms;
use crate::common::request;

const NOW: Duration = Duration::from_secs(100);
/// The engines, each of which may run 64 requests.
const ENGINES: usize = 4;
/// The routers.
const ROUTERS: usize = 4;
/// The places of each router while nobody asks for any.
const PART: u32 = 64;

/// Reports of the other routers with the work of some workspaces arrive, and they confirm this router's.
fn exchange(core: &mut Core, now: Duration, works: &IndexMap<Name, Work>) {
    for other in 1..ROUTERS {
        let origin = Origin::Router(Name::new(&format!("other-{other}")));
        core.usage.put(&origin, now, 1, works.clone());
    }
    core.confirm_report(now);
}

/// Creates a router that shares the engines with three others, which need nothing.
fn router() -> Core {
    let mut core = core("router-1", ENGINES);
    core.set_peers(NOW, (1..ROUTERS).map(|other| Name::new(&format!("other-{other}"))).collect());
    exchange(&mut core, NOW, &IndexMap::new());
    core
}

fn wanted(lacking: u32, urgent: u32) -> LoanRequest {
    LoanRequest {
        service: Name::new(SERVICE),
        lacking,
        first: Name::new("wall"),
        urgent,
        granted_share: 0.0,
    }
}

/// Returns how many of 200 requests of a workspace are granted within a tenth of a second, whose first tokens come at once.
fn granted_of(core: &mut Core, now: Duration, workspace: &str) -> u32 {
    let mut granted = 0;
    for step in 0..200 {
        let now = now + ms(step / 2);
        let outcome = core.submit(now, request(now, workspace, step, 10));
        let waited = core.process_queue(now).into_iter().map(|(_, decision)| decision);
        let decided = match outcome {
            Outcome::Decided(decision) => Some(decision),
            Outcome::Queued(_) => None,
        };
        for decision in waited.chain(decided) {
            if let Decision::Granted(mut grant) = decision {
                core.record_first_token(now, &mut grant, &Name::new(SERVICE), ms(1), TARGET);
                granted += 1;
            }
        }
    }
    granted
}

/// Guards against a router that lends what it is about to use, or the same places twice.
#[test]
fn an_idle_router_lends_half_of_what_it_has_left_each_time() {
    let mut lender = router();
    let first = lender.lend(NOW, &wanted(200, 0)).other;
    let second = lender.lend(NOW, &wanted(200, 0)).other;
    assert!((PART / 2 - 2..=PART / 2 + 1).contains(&first), "{first}");
    assert!((first / 2 - 1..=first / 2 + 1).contains(&second), "{first}, {second}");
    let own = granted_of(&mut lender, NOW, "wall");
    assert!(own + first + second <= PART + 1, "{own} used, {first} and {second} lent");
}

/// Guards against places that are used by the borrower and, again, by the lender.
#[test]
fn borrowed_places_end_before_the_lender_has_them_back() {
    let (asked_at, answered_at) = (NOW + ms(100), NOW + ms(500));
    let mut lender = router();
    let loan = lender.lend(NOW + ms(300), &wanted(20, 0));
    assert_eq!(loan, Loan { urgent: 0, other: 20 });
    let mut borrower = router();
    borrower.borrow(answered_at, asked_at, &wanted(20, 0), loan);
    let ends_at = asked_at + ms(2_000);
    exchange(&mut borrower, ends_at, &IndexMap::new());
    exchange(&mut lender, ends_at, &IndexMap::new());
    let at_borrower = granted_of(&mut borrower, ends_at, "wall");
    let at_lender = granted_of(&mut lender, ends_at, "wall");
    assert!(at_borrower <= PART + 1, "{at_borrower} at the borrower");
    assert!(at_lender <= PART + 1 - 20, "{at_lender} at the lender");
}

/// Guards against places whose loan answers nobody, which would be lost for good.
#[test]
fn places_whose_answer_was_lost_are_used_again_when_the_loan_ends() {
    let mut lender = router();
    let lent = lender.lend(NOW, &wanted(20, 0)).other;
    let later = NOW + ms(2_000);
    exchange(&mut lender, later, &IndexMap::new());
    let own = granted_of(&mut lender, later, "wall");
    assert!(lent == 20 && own > PART - lent, "{lent} lent, {own} used later");
}

/// Guards against a router that gives its places in use to a workspace which has had its share elsewhere, as one that has
/// just started may not know.
#[test]
fn a_busy_router_yields_to_a_workspace_that_has_had_little_by_its_own_figures_too() {
    let used = |used| Work { used, contended: used, unmet: used };
    for (wall, yields) in [(used(0), true), (used(4_000_000), false)] {
        let mut lender = router();
        let works = IndexMap::from([(Name::new("wall"), wall), (Name::new("hall"), used(500_000))]);
        exchange(&mut lender, NOW, &works);
        granted_of(&mut lender, NOW, "hall");
        let loan = lender.lend(NOW, &wanted(8, 4));
        assert_eq!(loan.urgent, if yields { 4 } else { 0 }, "{wall:?}");
        assert_eq!(loan.other, 0, "{wall:?}");
    }
}
