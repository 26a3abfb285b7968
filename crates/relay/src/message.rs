//! Messages that routers send to one another besides heartbeats.
//!
//! A message is one datagram on the socket of the heartbeats. It begins with an empty name, as no heartbeat does, so that
//! routers of earlier versions drop it.

use std::net::SocketAddr;

use balance::Identity;
use base::Name;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::UdpSocket;

use crate::Router;
use crate::crediting;
use crate::crediting::GrantedCredit;
use crate::crediting::WantedCredit;
use crate::gossip;
use crate::lending;
use crate::lending::Answer;
use crate::lending::Request;

/// The first byte of a message, which stands for an empty name.
const TAG: u8 = 0;

/// A message with its sender.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Message {
    tag: u8,
    sender: String,
    /// The incarnation of the sender's process.
    incarnation: u64,
    /// The number of the request, which increases with each request of the asking router.
    number: u64,
    content: Content,
}

/// What a message is about; earlier versions know the first two only.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum Content {
    /// A request for places at engines.
    Request(Request),
    /// The places that are lent.
    Answer(Answer),
    /// A request for credits.
    CreditRequest(Vec<WantedCredit>),
    /// Credits that are handed out.
    Credits(Vec<GrantedCredit>),
}

/// The newest message of each other router, with its incarnation.
#[derive(Debug, Default)]
pub(crate) struct Received(IndexMap<Name, (u64, u64)>);

impl Received {
    /// Returns whether a message is newer than all that were received from its sender.
    pub(crate) fn record(&mut self, sender: &str, incarnation: u64, number: u64) -> bool {
        let newest = self.0.entry(Name::new(sender)).or_default();
        let is_new = newest.0 != incarnation || newest.1 < number;
        if is_new {
            *newest = (incarnation, number);
        }
        is_new
    }
}

/// The sender of a message.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Sender<'a> {
    pub(crate) identity: &'a Identity,
    /// The number of the message.
    pub(crate) number: u64,
}

/// Sends a message.
pub(crate) fn send(
    identity: &Identity,
    socket: &UdpSocket,
    number: u64,
    content: Content,
    receiver: SocketAddr,
) {
    let message = Message {
        tag: TAG,
        sender: identity.name.to_string(),
        incarnation: identity.incarnation,
        number,
        content,
    };
    let Some(datagram) = gossip::seal_message(&message, &identity.key) else {
        log::warn!("a message can't be encoded");
        return;
    };
    if let Err(error) = socket.try_send_to(&datagram, receiver) {
        log::debug!("failed to send a message to {receiver}: {error}");
    }
}

/// Returns whether a datagram is a message.
pub(crate) fn is_message(bytes: &[u8]) -> bool {
    bytes.first() == Some(&TAG)
}

/// Handles a message of another router; one that can't be authenticated is dropped.
pub(crate) fn receive(router: &Router, identity: &Identity, socket: &UdpSocket, bytes: &[u8]) {
    let mut sender: Option<Identity> = None;
    let message = gossip::open_message(bytes, |message: &Message| {
        let members = router.members.borrow();
        sender = members.identity(&message.sender, message.incarnation).cloned();
        sender.as_ref().map(|sender| sender.key.clone())
    });
    let (Some(message), Some(sender)) = (message, sender) else { return };
    let sender = Sender { identity: &sender, number: message.number };
    match message.content {
        Content::Request(request) => {
            if let Some(answer) = lending::answer(router, sender, request) {
                let content = Content::Answer(answer);
                send(identity, socket, message.number, content, sender.identity.peers);
            }
        }
        Content::Answer(answer) => lending::borrow(router, sender, answer),
        Content::CreditRequest(wanted) => crediting::record_requests(router, sender, &wanted),
        Content::Credits(granted) => crediting::receive(router, sender, &granted),
    }
}
