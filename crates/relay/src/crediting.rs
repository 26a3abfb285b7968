//! Messages by which routers ask for credits for requests to runners with a limit, and hand them out.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::future;
use std::time::Duration;

use balance::Credit;
use balance::CreditRequest;
use balance::Identity;
use balance::Key;
use base::Name;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time;

use crate::Router;
use crate::gossip::RunnerRate;
use crate::message;
use crate::message::Content;
use crate::message::Received;
use crate::message::Sender;
use crate::rate_report;

/// The time after which no credits are expected for a request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// The interval at which all known limits are told.
const FULL_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// The shortest interval between two times at which credits are handed out.
const MIN_INTERVAL: Duration = Duration::from_millis(2);
/// The longest such interval while some are wanted.
const MAX_INTERVAL: Duration = Duration::from_millis(100);

/// A request, as [`CreditRequest`], with what its sender knows of the limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct WantedCredit {
    rate: RunnerRate,
    granted_shares: Vec<f32>,
}

/// Credits that are handed out, as [`Credit`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct GrantedCredit {
    /// The digest of the runner's incarnation.
    incarnation: u32,
    count: u32,
    /// The number of the request that is answered.
    number: u64,
}

/// The requests of this router for credits, and what it has received.
#[derive(Debug, Default)]
pub(crate) struct Crediting {
    wanted: RefCell<IndexMap<Name, Vec<CreditRequest>>>,
    is_changed: Notify,
    last_number: RefCell<u64>,
    /// The requests that may still be answered, with their times.
    pending: RefCell<VecDeque<(u64, Duration)>>,
    requests: RefCell<Received>,
    /// The time at which all known limits were last told.
    reported_at: Cell<Duration>,
    credits: RefCell<Received>,
}

impl Crediting {
    /// Schedules requests to be sent.
    fn want(&self, requests: IndexMap<Name, Vec<CreditRequest>>) {
        if requests.is_empty() {
            return;
        }
        let mut wanted = self.wanted.borrow_mut();
        for (issuer, requests) in requests {
            wanted.entry(issuer).or_default().extend(requests);
        }
        self.is_changed.notify_one();
    }

    /// Returns whether all known limits are to be told now, and records that they are.
    pub(crate) fn begin_full_report(&self, now: Duration) -> bool {
        let is_due = now >= self.reported_at.get() + FULL_REPORT_INTERVAL;
        if is_due {
            self.reported_at.set(now);
        }
        is_due
    }

    fn next_number(&self) -> u64 {
        let mut last_number = self.last_number.borrow_mut();
        *last_number += 1;
        *last_number
    }

    /// Returns the number of a new request.
    fn add_pending(&self, now: Duration) -> u64 {
        let number = self.next_number();
        let mut pending = self.pending.borrow_mut();
        while pending.front().is_some_and(|(_, at)| *at + ANSWER_TIMEOUT <= now) {
            pending.pop_front();
        }
        pending.push_back((number, now));
        number
    }

    /// Returns the time of a request that may still be answered.
    fn asked_at(&self, now: Duration, number: u64) -> Option<Duration> {
        let pending = self.pending.borrow();
        let request = pending.iter().find(|(pending, _)| *pending == number);
        request.map(|(_, at)| *at).filter(|at| now < *at + ANSWER_TIMEOUT)
    }
}

/// Asks for the credits that this router wants now.
pub(crate) fn request(router: &Router) {
    let now = router.now();
    let mut core = router.core.borrow_mut();
    if core.has_rate_limits(now) {
        router.crediting.want(core.credit_requests(now));
    }
}

/// Sends the requests of this router, and hands out the credits that others want, until the process ends.
pub(crate) async fn exchange(router: &Router, identity: &Identity, socket: &UdpSocket) {
    loop {
        send_requests(router, identity, socket);
        issue(router, identity, socket);
        let next = router.core.borrow().next_issue(router.now());
        let due = async {
            match next {
                Some(next) => time::sleep(next.clamp(MIN_INTERVAL, MAX_INTERVAL)).await,
                None => future::pending().await,
            }
        };
        tokio::select! {
            () = router.crediting.is_changed.notified() => (),
            () = due => (),
        }
    }
}

fn send_requests(router: &Router, identity: &Identity, socket: &UdpSocket) {
    let now = router.now();
    let wanted = std::mem::take(&mut *router.crediting.wanted.borrow_mut());
    for (issuer, requests) in wanted {
        let number = router.crediting.add_pending(now);
        if issuer == identity.name {
            let mut core = router.core.borrow_mut();
            for request in requests {
                core.request_credits(now, &issuer, request, number);
            }
            continue;
        }
        let members = router.members.borrow();
        let Some(member) = members.get(issuer.as_str()) else { continue };
        let content = Content::CreditRequest(encode(router, now, &requests));
        message::send(identity, socket, number, content, member.identity.peers);
    }
}

fn encode(router: &Router, now: Duration, requests: &[CreditRequest]) -> Vec<WantedCredit> {
    let core = router.core.borrow();
    let known = requests.iter().filter_map(|request| {
        let runner = core.registry.get(request.runner)?;
        let statement = runner.rate_limit.newest(now)?;
        Some(WantedCredit {
            rate: rate_report::report(now, runner, statement),
            granted_shares: request.granted_shares.iter().map(|share| *share as f32).collect(),
        })
    });
    known.collect()
}

/// Hands out the credits that are due.
fn issue(router: &Router, identity: &Identity, socket: &UdpSocket) {
    let now = router.now();
    let issued = router.core.borrow_mut().issue_credits(now);
    let mut by_router: IndexMap<Name, Vec<GrantedCredit>> = IndexMap::new();
    for Credit { router: receiver, runner, count, number } in issued {
        if receiver == identity.name {
            add(router, now, runner, count, number);
            continue;
        }
        let Some(incarnation) = incarnation(router, runner) else { continue };
        let granted = GrantedCredit { incarnation, count, number };
        by_router.entry(receiver).or_default().push(granted);
    }
    let members = router.members.borrow();
    for (receiver, granted) in by_router {
        let Some(member) = members.get(receiver.as_str()) else { continue };
        let number = router.crediting.next_number();
        message::send(identity, socket, number, Content::Credits(granted), member.identity.peers);
    }
}

/// Records what another router wants.
pub(crate) fn record_requests(router: &Router, sender: Sender<'_>, wanted: &[WantedCredit]) {
    let Sender { identity, number } = sender;
    let mut received = router.crediting.requests.borrow_mut();
    if !received.record(identity.name.as_str(), identity.incarnation, number) {
        return;
    }
    let now = router.now();
    let rates: Vec<RunnerRate> = wanted.iter().map(|wanted| wanted.rate).collect();
    rate_report::apply(router, now, &rates);
    let runners = by_incarnation(router);
    let mut core = router.core.borrow_mut();
    for wanted in wanted {
        let Some(runner) = runners.get(&wanted.rate.incarnation).copied() else { continue };
        let granted_shares = wanted.granted_shares.iter().copied().map(f64::from).collect();
        let request = CreditRequest { runner, granted_shares };
        core.request_credits(now, &identity.name, request, number);
    }
    router.crediting.is_changed.notify_one();
}

/// Records credits that another router hands out to this one.
pub(crate) fn receive(router: &Router, sender: Sender<'_>, granted: &[GrantedCredit]) {
    let Sender { identity, number } = sender;
    let mut received = router.crediting.credits.borrow_mut();
    if !received.record(identity.name.as_str(), identity.incarnation, number) {
        return;
    }
    let now = router.now();
    let runners = by_incarnation(router);
    for GrantedCredit { incarnation, count, number } in granted {
        if let Some(runner) = runners.get(incarnation) {
            add(router, now, *runner, *count, *number);
        }
    }
}

fn add(router: &Router, now: Duration, runner: Key, count: u32, number: u64) {
    let Some(asked_at) = router.crediting.asked_at(now, number) else { return };
    if router.core.borrow_mut().add_credits(now, asked_at, runner, count) {
        router.wake_queue();
    }
}

fn incarnation(router: &Router, runner: Key) -> Option<u32> {
    let core = router.core.borrow();
    core.registry.get(runner).map(|runner| runner.registration.incarnation())
}

fn by_incarnation(router: &Router) -> IndexMap<u32, Key> {
    let core = router.core.borrow();
    core.registry.iter().map(|(key, runner)| (runner.registration.incarnation(), key)).collect()
}
