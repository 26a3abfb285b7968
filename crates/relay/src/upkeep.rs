//! Work at regular intervals: removal of what has expired, and log lines on the load and on quarantined causes.

use std::rc::Rc;
use std::time::Duration;

use balance::AdaptiveLimit;
use balance::Cause;
use balance::CreditCount;
use base::Name;
use budget::Figures;
use indexmap::IndexSet;
use tokio::time;

use crate::Line;
use crate::Router;

/// Interval between two runs.
const INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of workspaces of a service whose waiting requests are logged at one time.
const MAX_CONTENTION_LINES: usize = 4;

/// Removes expired connections, runners and figures and logs the load, until the process ends.
pub async fn keep_up(router: Rc<Router>) {
    let mut quarantined = IndexSet::new();
    let mut memory = router.budget.figures();
    let mut credits = CreditCount::default();
    loop {
        time::sleep(INTERVAL).await;
        let now = router.now();
        router.pool.borrow_mut().remove_expired();
        remove_expired(&router, now);
        end_pauses(&router, now);
        log_quarantine(&router, now, &mut quarantined);
        log_loads(&router);
        log_contention(&router, now);
        log_memory(&router, &mut memory);
        log_credits(&router, now, &mut credits);
    }
}

/// Logs the credits for requests to runners with a limit since the last call.
fn log_credits(router: &Router, now: Duration, last: &mut CreditCount) {
    let core = router.core.borrow();
    let count = core.credit_count;
    let has_limits = core.has_rate_limits(now);
    drop(core);
    if has_limits {
        let received = count.received - last.received;
        let late = count.late - last.late;
        let used = count.used - last.used;
        let issued = count.issued - last.issued;
        router.log(Line::new("credits").outcome(format!(
            "{received} received, {late} more too late, {used} used, {issued} handed out"
        )));
    }
    *last = count;
}

/// Logs what was refused and closed for lack of memory or descriptors since the last call.
fn log_memory(router: &Router, last: &mut Figures) {
    let figures = router.budget.figures();
    let evicted = figures.evicted - last.evicted;
    let refused = figures.refused - last.refused;
    let closed = figures.closed - last.closed;
    *last = figures;
    if evicted + refused + closed == 0 {
        return;
    }
    let Figures { held, total, .. } = figures;
    router.log(Line::new("memory_short").outcome(format!(
        "{evicted} gave way, {refused} waited in vain, {closed} idle connections closed, {held} of {total} bytes held"
    )));
}

fn remove_expired(router: &Router, now: Duration) {
    let mut core = router.core.borrow_mut();
    core.remove_expired(now);
}

/// Ends the pauses of runners that are over.
fn end_pauses(router: &Router, now: Duration) {
    let resumed = router.core.borrow_mut().registry.end_pauses(now);
    for id in resumed {
        router.log(Line::new("runner_resumed").subject(id.as_str()));
    }
}

/// Logs which causes of crashes have been quarantined and released since the last call.
fn log_quarantine(router: &Router, now: Duration, known: &mut IndexSet<Cause>) {
    let mut core = router.core.borrow_mut();
    let current = core.crash_history.quarantined(now);
    for cause in current.difference(known) {
        let crashes = core.crash_history.evidence(now, *cause).crashes.len();
        let line = Line::new("cause_quarantined").subject(&cause.to_string());
        router.log(line.outcome(format!("{crashes} crashes since its last answer")));
    }
    for cause in known.difference(&current) {
        router.log(Line::new("cause_released").subject(&cause.to_string()));
    }
    *known = current;
}

/// Logs the load limits of each service's engines.
fn log_loads(router: &Router) {
    let core = router.core.borrow();
    for (service, adaptive_limit, waiting) in core.service_loads() {
        let outcome = describe_load(adaptive_limit, waiting);
        router.log(Line::new("load").subject(service.as_str()).outcome(outcome));
    }
}

fn describe_load(adaptive_limit: &AdaptiveLimit, waiting: usize) -> String {
    let limits = adaptive_limit.limits();
    let (backlog, running) = (limits.backlog, limits.running);
    format!("waiting {waiting}, backlog limit {backlog} tokens, running limit {running}")
}

/// Logs what keeps waiting requests from each service's engines.
fn log_contention(router: &Router, now: Duration) {
    let mut core = router.core.borrow_mut();
    let services: Vec<Name> = core.service_loads().map(|(service, ..)| service.clone()).collect();
    for service in services {
        for contention in core.contention(now, &service).iter().take(MAX_CONTENTION_LINES) {
            let line = Line::new("contention").subject(service.as_str());
            let line = line.workspace(contention.workspace.as_str());
            router.log(line.outcome(contention.to_string()));
        }
    }
}
