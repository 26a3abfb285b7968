//! Routers on loopback for the tests of real links.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::Clock;
use base::Name;
use mesh::Candidate;
use mesh::Event;
use mesh::Identity;
use mesh::Mesh;
use mesh::Settings;
use mesh::State;
use tokio::sync::mpsc;
use tokio::sync::mpsc::Receiver;
use tokio::time::sleep;

/// A running mesh and its events.
pub(crate) struct Router {
    pub(crate) name: Name,
    pub(crate) mesh: Mesh,
    pub(crate) events: Receiver<Event>,
}

/// Returns a loopback address with any free port.
pub(crate) fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub(crate) async fn start_at(name: &str, identity: Identity, listen: SocketAddr) -> Router {
    let name = Name::new(name);
    let settings = Settings::new(name.clone(), "a".into(), "north".into(), listen, identity);
    let (sender, events) = mpsc::channel(1_024);
    let mesh = Mesh::start(settings, Arc::new(Clock::default()), sender).await.expect("a mesh");
    Router { name, mesh, events }
}

pub(crate) async fn start(name: &str, identity: Identity) -> Router {
    start_at(name, identity, loopback()).await
}

pub(crate) fn candidate(router: &Router) -> Candidate {
    Candidate {
        name: router.name.clone(),
        address: router.mesh.local_address(),
        zone: "a".into(),
        region: "north".into(),
        leaving: false,
    }
}

/// Returns the state in which one router sees another.
pub(crate) fn state(viewer: &Router, name: &str) -> Option<State> {
    let members = viewer.mesh.members();
    members.iter().find(|member| member.name.as_str() == name).map(|member| member.state)
}

/// Waits until the condition holds. Panics after a minute, which is longer than load can explain.
pub(crate) async fn until(condition: &str, holds: impl Fn() -> bool) {
    for _ in 0..3_000 {
        if holds() {
            return;
        }
        sleep(Duration::from_millis(20)).await;
    }
    panic!("timed out waiting until {condition}");
}
