//! Tests of the fault-injecting proxy.

mod common;

use std::net::SocketAddr;

use common::Connection;
use common::Fake;
use common::HANG_TIMEOUT;
use serde_json::Value;
use serde_json::json;
use tokio::net::UdpSocket;

async fn link(proxy: &Fake, name: &str, kind: &str, target: SocketAddr) -> SocketAddr {
    let request = json!({ "name": name, "kind": kind, "target": target.to_string() });
    let answer = proxy.post("/control/links", &request.to_string()).await.expect("an answer");
    answer.json()["listen"].as_str().and_then(|text| text.parse().ok()).expect("an address")
}

async fn traffic(proxy: &Fake, name: &str) -> Value {
    let links = proxy.get("/control/links").await.json();
    let mut found = links["links"].as_array().expect("links").iter();
    found.find(|link| link["name"] == name).cloned().expect("the link")
}

#[tokio::test]
async fn a_stalled_tcp_connection_stays_stalled_while_new_ones_work() {
    let service = Fake::start(&["service"]);
    let proxy = Fake::start(&["proxy"]);
    let address = link(&proxy, "run:r1:s", "tcp", service.address).await;
    let mut old = Connection::open(address).await.expect("a connection");
    assert_eq!(old.request("GET", "/a", "").await.expect("an answer").status, 200);
    proxy.put("/control/links/run:r1:s", &json!({ "silent": true })).await;
    let new = async {
        let mut connection = Connection::open(address).await.expect("a connection");
        connection.request("GET", "/b", "").await.expect("an answer").status
    };
    tokio::select! {
        biased;
        answered = old.request("GET", "/c", "") =>
            panic!("the old connection answered {answered:?}"),
        status = new => assert_eq!(status, 200),
    }
    let journal = service.get("/control/journal").await.json();
    let paths: Vec<_> =
        journal["requests"].as_array().expect("requests").iter().map(|e| &e["path"]).collect();
    assert_eq!(paths, [&json!("/a"), &json!("/b")]);
}

#[tokio::test]
async fn a_cut_tcp_link_resets_new_connections_and_resumes_old_ones_once_restored() {
    let service = Fake::start(&["service"]);
    let proxy = Fake::start(&["proxy"]);
    let address = link(&proxy, "plat:r1", "tcp", service.address).await;
    let mut old = Connection::open(address).await.expect("a connection");
    old.request("GET", "/a", "").await.expect("an answer");
    proxy.put("/control/links?prefix=plat:", &json!({ "cut": true })).await;
    let restore = async {
        let new = match Connection::open(address).await {
            Some(mut connection) => connection.request("GET", "/b", "").await,
            None => None,
        };
        assert_eq!(new, None);
        proxy.put("/control/links/plat:r1", &json!({ "cut": false })).await;
    };
    let (answered, ()) = tokio::join!(old.request("GET", "/c", ""), restore);
    assert_eq!(answered.expect("an answer").json(), json!({ "path": "/c" }));
}

/// A UDP socket that sends packets back, and the address of a link to it.
struct EchoTarget {
    target: UdpSocket,
    address: SocketAddr,
}

impl EchoTarget {
    async fn open(proxy: &Fake, name: &str) -> Self {
        let target = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
        let address = link(proxy, name, "udp", target.local_addr().expect("bound")).await;
        Self { target, address }
    }

    async fn client(&self) -> UdpSocket {
        let client = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
        client.connect(self.address).await.expect("connected");
        client
    }

    /// Receives one packet at the target and sends it back.
    async fn answer(&self) -> Vec<u8> {
        let mut buffer = vec![0; 2048];
        let received = tokio::time::timeout(HANG_TIMEOUT, self.target.recv_from(&mut buffer)).await;
        let (count, from) = received.expect("answered in time").expect("a packet");
        self.target.send_to(&buffer[..count], from).await.expect("sent");
        buffer[..count].to_vec()
    }
}

/// Waits until the only link has dropped one packet in a direction, given by its counter.
async fn until_dropped(proxy: &Fake, direction: &str) {
    common::wait_until(proxy, "/control/links", |links| links["links"][0][direction] == 1).await;
}

async fn receive(client: &UdpSocket) -> Vec<u8> {
    let mut buffer = vec![0; 2048];
    let received = tokio::time::timeout(HANG_TIMEOUT, client.recv(&mut buffer)).await;
    buffer[..received.expect("answered in time").expect("a packet")].to_vec()
}

#[tokio::test]
async fn a_stalled_udp_client_stays_stalled_while_new_ones_work() {
    let proxy = Fake::start(&["proxy"]);
    let echo = EchoTarget::open(&proxy, "peer:r1:r2").await;
    let old = echo.client().await;
    old.send(b"before").await.expect("sent");
    assert_eq!(
        (echo.answer().await, receive(&old).await),
        (b"before".to_vec(), b"before".to_vec())
    );
    proxy.put("/control/links/peer:r1:r2", &json!({ "silent": true })).await;
    old.send(b"lost").await.expect("sent");
    let new = echo.client().await;
    new.send(b"after").await.expect("sent");
    assert_eq!((echo.answer().await, receive(&new).await), (b"after".to_vec(), b"after".to_vec()));
    assert_eq!(traffic(&proxy, "peer:r1:r2").await["packets_to"], 2);
}

#[tokio::test]
async fn a_udp_link_can_be_cut_in_one_direction_and_delayed() {
    let proxy = Fake::start(&["proxy"]);
    let echo = EchoTarget::open(&proxy, "peer:r1:r2").await;
    let client = echo.client().await;
    proxy.put("/control/links/peer:r1:r2", &json!({ "cut_back": true })).await;
    client.send(b"one").await.expect("sent");
    assert_eq!(echo.answer().await, b"one");
    until_dropped(&proxy, "dropped_back").await;
    let faults = json!({ "cut_to": true, "cut_back": false, "delay_ms": 50 });
    proxy.put("/control/links/peer:r1:r2", &faults).await;
    client.send(b"two").await.expect("sent");
    until_dropped(&proxy, "dropped_to").await;
    proxy.put("/control/links/peer:r1:r2", &json!({ "cut_to": false })).await;
    let started = tokio::time::Instant::now();
    client.send(b"three").await.expect("sent");
    let answered = echo.answer().await;
    let received = receive(&client).await;
    assert!(started.elapsed().as_millis() >= 100, "a delay in each direction");
    assert_eq!((answered, received), (b"three".to_vec(), b"three".to_vec()));
}
