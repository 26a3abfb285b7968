//! Records of the store's topics, fetched from other routers.
//!
//! The store may reject some routers while it serves others. A router that is told of a change and can't read it
//! therefore fetches the changed records from a router that has read them. Requests and answers are authenticated with
//! the keys of the routers, like heartbeats.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use balance::Identity;
use balance::Record;
use base::Name;
use bytes::Bytes;
use conn::Connection;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::HOST;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;
use strum::IntoEnumIterator;
use tokio::time;
use tokio_util::sync::CancellationToken;

use crate::Listener;
use crate::Router;
use crate::Topic;
use crate::gossip;
use crate::server::Handler;

/// Time within which another router must answer.
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for opening a connection to another router.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// How long an idle connection of another router stays open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// The number of connections of other routers that may wait to be accepted.
const MAX_WAITING: u32 = 128;
/// Maximum size of a request, in bytes.
const MAX_REQUEST_BYTES: usize = 4 << 10;
/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// A request for the records of a topic from an offset on.
#[derive(Debug, Serialize, Deserialize)]
struct Query {
    sender: String,
    incarnation: u64,
    /// The index of the topic, in the order of [`Topic`].
    topic: u8,
    from: u64,
    /// A random number that the answer repeats.
    nonce: u64,
}

/// The newest records of all keys that have changed since an offset.
#[derive(Debug, Serialize, Deserialize)]
struct Page {
    nonce: u64,
    /// The position after all records that the sender has read.
    position: u64,
    /// The offset, key and value of each record.
    records: Vec<(u64, String, Option<Vec<u8>>)>,
}

/// Records that were fetched from another router.
#[derive(Debug)]
pub struct Fetched {
    /// The name of the other router.
    pub router: Name,
    /// The newest records of all keys that have changed.
    pub records: Vec<Record>,
    /// The position after all records of the topic that the other router has read.
    pub position: u64,
    /// Whether the store serves the other router.
    pub reaches_store: bool,
}

/// A router from which records are fetched.
struct Source {
    name: Name,
    address: SocketAddr,
    key: String,
    reaches_store: bool,
}

/// Binds an address at which other routers fetch records.
///
/// # Errors
/// Returns the error of the system if the address can't be bound.
pub fn bind_records(address: SocketAddr) -> io::Result<Listener> {
    Listener::bind(address, MAX_WAITING, IDLE_TIMEOUT)
}

/// Serves records to other routers until `stop` is cancelled.
pub async fn serve_records(
    router: Rc<Router>,
    identity: Rc<Identity>,
    listener: Listener,
    stop: CancellationToken,
) {
    let handler: Handler<Full<Bytes>> = Rc::new(move |request| {
        let (router, identity) = (Rc::clone(&router), Rc::clone(&identity));
        Box::pin(async move { answer(&router, &identity, request).await })
    });
    listener.serve(handler, stop).await;
}

/// Fetches the records of a topic from `from` on from a router that has reported to have read more, if there is one.
pub async fn fetch_records(
    router: &Router,
    identity: &Identity,
    topic: Topic,
    from: u64,
) -> Option<Fetched> {
    let Source { name, address, key, reaches_store } = source(router, topic, from)?;
    let nonce = rand::random();
    let query = Query {
        sender: identity.name.to_string(),
        incarnation: identity.incarnation,
        topic: topic as u8,
        from,
        nonce,
    };
    let body = gossip::seal_message(&query, &identity.key)?;
    let answer = time::timeout(FETCH_TIMEOUT, exchange(address, body)).await.ok().flatten()?;
    let page: Page = gossip::open_message(&answer, |_| Some(key))?;
    (page.nonce == nonce).then(|| Fetched {
        router: name,
        records: page.records.into_iter().map(record).collect(),
        position: page.position,
        reaches_store,
    })
}

/// Returns a router that has read the topic beyond `from`.
fn source(router: &Router, topic: Topic, from: u64) -> Option<Source> {
    let members = router.members.borrow();
    let (now, zone) = (router.now(), &router.settings.zone);
    let reported = router.with_read_schedule(topic, |schedule| schedule.reported());
    let salt = rand::random_range(..usize::MAX);
    let member = balance::source(&members, now, zone, topic as usize, from, reported, salt)?;
    Some(Source {
        name: member.identity.name.clone(),
        address: member.identity.records?,
        key: member.identity.key.clone(),
        reaches_store: member.status.reaches_store,
    })
}

async fn exchange(address: SocketAddr, body: Vec<u8>) -> Option<Bytes> {
    let mut connection = Connection::open(address, CONNECT_TIMEOUT).await.ok()?;
    let request = Request::post("/records").header(HOST, address.to_string());
    let request = request.body(Full::new(Bytes::from(body))).ok()?;
    let response = connection.send(request).await.ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    connection.collect(response.into_body(), MAX_ANSWER_BYTES).await.ok()
}

async fn answer(
    router: &Router,
    identity: &Identity,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let page = match Limited::new(request.into_body(), MAX_REQUEST_BYTES).collect().await {
        Ok(body) => page(router, identity, &body.to_bytes()),
        Err(_) => None,
    };
    let mut response = Response::new(Full::default());
    match page {
        Some(page) => *response.body_mut() = Full::new(Bytes::from(page)),
        None => *response.status_mut() = StatusCode::FORBIDDEN,
    }
    response
}

/// Returns the sealed answer to a query, or `None` if the query is not one of a known router.
fn page(router: &Router, identity: &Identity, body: &[u8]) -> Option<Vec<u8>> {
    let query: Query = gossip::open_message(body, |query: &Query| {
        let members = router.members.borrow();
        let identity = members.identity(&query.sender, query.incarnation)?;
        Some(identity.key.clone())
    })?;
    let topic = Topic::iter().nth(usize::from(query.topic))?;
    let position = router.with_read_schedule(topic, |schedule| schedule.position());
    let view = router.view(topic);
    let view = view.borrow();
    let records = view.records_from(query.from);
    let records = records.map(|record| (record.offset, record.key, record.value));
    let page = Page { nonce: query.nonce, position, records: records.collect() };
    gossip::seal_message(&page, &identity.key)
}

fn record((offset, key, value): (u64, String, Option<Vec<u8>>)) -> Record {
    Record { offset, key, value }
}
