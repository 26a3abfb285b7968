//! Messages by which routers ask each other for places at engines and lend them.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::Duration;

use balance::Identity;
use balance::Loan;
use balance::LoanRequest;
use balance::Table;
use base::Name;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use crate::Line;
use crate::Router;
use crate::gossip::Digest;
use crate::message;
use crate::message::Content;
use crate::message::Received;
use crate::message::Sender;

/// The time after which no answer to a request is expected.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// A request, as [`LoanRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub(crate) struct Request {
    service: Digest,
    lacking: u32,
    first: Digest,
    urgent: u32,
    granted_share: f64,
}

/// An answer, as [`Loan`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Answer {
    urgent: u32,
    other: u32,
}

/// A request that may still be answered.
#[derive(Debug, Clone)]
struct Pending {
    number: u64,
    at: Duration,
    lender: Name,
    request: LoanRequest,
}

/// The requests of this router, and those that it has received.
#[derive(Debug, Default)]
pub(crate) struct Lending {
    wanted: RefCell<Vec<LoanRequest>>,
    is_wanted: Notify,
    last_number: RefCell<u64>,
    pending: RefCell<VecDeque<Pending>>,
    received: RefCell<Received>,
}

impl Lending {
    /// Schedules requests to be sent.
    pub(crate) fn want(&self, requests: Vec<LoanRequest>) {
        if !requests.is_empty() {
            self.wanted.borrow_mut().extend(requests);
            self.is_wanted.notify_one();
        }
    }

    /// Records a request that is sent to a router and returns its number.
    fn add_pending(&self, now: Duration, lender: &Name, request: &LoanRequest) -> u64 {
        let mut last_number = self.last_number.borrow_mut();
        *last_number += 1;
        let mut pending = self.pending.borrow_mut();
        while pending.front().is_some_and(|oldest| oldest.at + ANSWER_TIMEOUT <= now) {
            pending.pop_front();
        }
        let (lender, request) = (lender.clone(), request.clone());
        pending.push_back(Pending { number: *last_number, at: now, lender, request });
        *last_number
    }

    /// Removes and returns the request that a router answers.
    fn take_pending(&self, now: Duration, lender: &str, number: u64) -> Option<Pending> {
        let mut pending = self.pending.borrow_mut();
        let is_answered =
            |request: &Pending| request.number == number && request.lender.as_str() == lender;
        let position = pending.iter().position(is_answered)?;
        pending.remove(position).filter(|pending| now < pending.at + ANSWER_TIMEOUT)
    }
}

/// Sends the requests of this router until the process ends.
pub(crate) async fn send_requests(router: &Router, identity: &Identity, socket: &UdpSocket) {
    loop {
        router.lending.is_wanted.notified().await;
        let wanted = std::mem::take(&mut *router.lending.wanted.borrow_mut());
        for request in wanted {
            let sent = send_request(router, identity, socket, &request);
            router.log(
                Line::new("places_wanted")
                    .subject(request.service.as_str())
                    .workspace(request.first.as_str())
                    .outcome(format!(
                        "lacks {} places, {} for the first workspace, asked {sent} routers",
                        request.lacking, request.urgent
                    )),
            );
        }
    }
}

/// Sends a request to some routers and returns their number.
fn send_request(
    router: &Router,
    identity: &Identity,
    socket: &UdpSocket,
    request: &LoanRequest,
) -> usize {
    let now = router.now();
    let members = router.members.borrow();
    let lenders = members.sample(now, rand::random(), request.lenders());
    for (part, lender) in request.split(lenders.len()).zip(&lenders) {
        let number = router.lending.add_pending(now, &lender.identity.name, &part);
        let content = Content::Request(Request {
            service: Digest::of(part.service.as_str()),
            lacking: part.lacking,
            first: Digest::of(part.first.as_str()),
            urgent: part.urgent,
            granted_share: part.granted_share,
        });
        message::send(identity, socket, number, content, lender.identity.peers);
    }
    lenders.len()
}

/// Returns the answer to a request of another router; `None` if nothing is lent.
pub(crate) fn answer(router: &Router, sender: Sender<'_>, request: Request) -> Option<Answer> {
    let Sender { identity, number } = sender;
    let mut received = router.lending.received.borrow_mut();
    if !received.record(identity.name.as_str(), identity.incarnation, number) {
        return None;
    }
    let Loan { urgent, other } = lend(router, request);
    (urgent + other > 0).then_some(Answer { urgent, other })
}

fn lend(router: &Router, request: Request) -> Loan {
    let mut core = router.core.borrow_mut();
    let request = core.table.as_ref().and_then(|table| decode(request, table));
    request.map_or_else(Loan::default, |request| core.lend(router.now(), &request))
}

/// Returns a request with the names of a configuration; `None` if it names others.
fn decode(request: Request, table: &Table) -> Option<LoanRequest> {
    let keyless = Name::new(balance::KEYLESS);
    let of = |name: &Name| Digest::of(name.as_str());
    let service = table.services().find(|service| of(&service.name) == request.service)?;
    let mut workspaces = table.workspaces().chain([&keyless]);
    let first = workspaces.find(|name| of(name) == request.first)?.clone();
    let Request { lacking, urgent, granted_share, .. } = request;
    Some(LoanRequest { service: service.name.clone(), lacking, first, urgent, granted_share })
}

/// Records the places that another router lends.
pub(crate) fn borrow(router: &Router, sender: Sender<'_>, answer: Answer) {
    let now = router.now();
    let lender = sender.identity.name.as_str();
    let pending = router.lending.take_pending(now, lender, sender.number);
    let Some(pending) = pending else { return };
    let Answer { urgent, other } = answer;
    let loan = Loan { urgent, other };
    router.core.borrow_mut().borrow(now, pending.at, &pending.request, loan);
    let line = Line::new("places_borrowed").subject(lender);
    let line = line.workspace(pending.request.first.as_str());
    router.log(line.outcome(format!("{urgent} for the workspace, {other} for any request")));
    router.wake_queue();
}
