//! What routers tell each other about runners that leave.

use std::time::Duration;

use balance::Record;
use balance::Removal;

use crate::Line;
use crate::Router;
use crate::Topic;
use crate::exchange::age_ms;
use crate::gossip::DepartureReport;
use crate::gossip::Extension;
use crate::gossip::RemovedRunner;

/// Returns the departures of which other routers are told, beside the runners that leave.
pub(crate) fn of_router(router: &Router) -> DepartureReport {
    let now = router.now();
    let changes = router.with_read_schedule(Topic::Runners, |schedule| schedule.changes());
    let core = router.core.borrow();
    let removals = core.registry.removals(now).map(|removal| RemovedRunner {
        start: removal.start,
        position: removal.position,
        age_ms: age_ms(now, removal.at),
    });
    DepartureReport { last_untold: changes.last_untold, removals: removals.collect() }
}

/// Records the departures of which another router tells.
pub(crate) fn apply(router: &Router, sender: &str, extension: &Extension) {
    let now = router.now();
    for start in &extension.leaving {
        let leaving = router.core.borrow_mut().registry.record_leaving(now, *start);
        if let Some(id) = leaving {
            let line = Line::new("runner_leaving").subject(id.as_str());
            router.log(line.outcome(format!("told by {sender}")));
        }
    }
    let removals = extension.departures.iter().flat_map(|departures| &departures.removals);
    for removed in removals {
        let removal = decode(now, removed);
        let removed = router.core.borrow_mut().registry.record_removal(now, removal);
        if let Some(id) = removed {
            record_in_view(router, id.as_str(), removal.position);
            let line = Line::new("runner").subject(id.as_str());
            router.log(line.outcome(format!("entry removed, told by {sender}")));
        }
    }
}

/// Records a removal as if its record had been read, so that the runner stays removed in a later era of the store.
fn record_in_view(router: &Router, id: &str, position: u64) {
    let record = Record { offset: position, key: id.to_owned(), value: None };
    router.view(Topic::Runners).borrow_mut().apply(record);
}

fn decode(now: Duration, removed: &RemovedRunner) -> Removal {
    let age = Duration::from_millis(u64::from(removed.age_ms));
    let RemovedRunner { start, position, .. } = *removed;
    Removal { start, position, at: now.saturating_sub(age) }
}
