//! Requests, runners and router states for the tests of decisions.
#![allow(dead_code, reason = "each test file uses some of these items")]

pub(crate) mod credits;
pub(crate) mod fleet;
pub(crate) mod floods;

use std::net::SocketAddr;
use std::time::Duration;

use balance::Core;
use balance::Decision;
use balance::Engine;
use balance::FleetLimits;
use balance::Grant;
use balance::Kind;
use balance::Outcome;
use balance::Part;
use balance::Prompt;
use balance::Registration;
use balance::Request;
use balance::Service;
use balance::Table;
use base::Name;
use indexmap::IndexMap;

pub(crate) const SERVICE: &str = "engines";
pub(crate) const PLAIN: &str = "ledger";
pub(crate) const TARGET: Duration = Duration::from_millis(500);

pub(crate) const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub(crate) fn registration(id: &str) -> Registration {
    // Runners are distinguished by address, so each has a port that depends on the number at the end of its identifier.
    let number = id.rsplit('-').next().and_then(|number| number.parse::<u16>().ok());
    Registration {
        id: Name::new(id),
        started_ms: 1,
        position: 0,
        sequence: 1,
        service: Name::new(SERVICE),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000 + number.unwrap_or_default())),
        zone: Name::new("north"),
        version: None,
        slots: 128,
        is_draining: false,
        cold_left: Duration::ZERO,
    }
}

pub(crate) fn limits(router: &str) -> FleetLimits {
    FleetLimits {
        router: Name::new(router),
        zone: Name::new("north"),
        peers: Some(Vec::new()),
        former: IndexMap::new(),
        started: Duration::ZERO,
        joined: None,
        cold_factor: 1.5,
        cold_constant: 5.0,
        retry_window: Duration::from_secs(10),
        retry_ratio: 0.2,
        retry_constant: 58.0,
        max_departures_age: Some(ms(1_750)),
    }
}

pub(crate) fn table() -> Table {
    let mut table = Table::default();
    table.version = 1;
    table.add_service(Service {
        name: Name::new(SERVICE),
        connections: 600,
        cold: Duration::from_secs(3),
        cold_rate: 16.0,
        engine: Some(Engine { slots: 128, memory: 650_000, event_tokens: 6 }),
    });
    table.add_service(Service {
        name: Name::new(PLAIN),
        connections: 100,
        cold: Duration::ZERO,
        cold_rate: 0.0,
        engine: None,
    });
    table
}

/// Creates the state of a router with a number of engines.
pub(crate) fn core(router: &str, engines: usize) -> Core {
    let mut core = Core::new(limits(router));
    core.adopt(table());
    for number in 0..engines {
        core.registry.put(Duration::ZERO, &registration(&format!("engine-{number}")));
    }
    core
}

/// Creates a request with a prompt of one shared part and one part of its own.
pub(crate) fn request(now: Duration, workspace: &str, shared: u64, own: u64) -> Request {
    Request {
        service: Name::new(SERVICE),
        workspace: Some(Name::new(workspace)),
        kind: Kind::Streaming,
        priority: 1,
        prompt: Some(Prompt {
            input: 4_000 + own,
            output: 300,
            expected: Some(100),
            parts: vec![
                Part { id: shared, tokens: 4_000 },
                Part { id: now.as_nanos() as u64 ^ 0xabcd, tokens: own },
            ],
        }),
        arrived: now,
        target: now + TARGET,
        deadline: now + Duration::from_secs(12),
        avoid: Vec::new(),
    }
}

/// Creates a request to the plain service.
pub(crate) fn plain(now: Duration, kind: Kind) -> Request {
    Request {
        service: Name::new(PLAIN),
        workspace: None,
        kind,
        priority: 1,
        prompt: None,
        arrived: now,
        target: now + ms(300),
        deadline: now + ms(800),
        avoid: Vec::new(),
    }
}

pub(crate) fn granted(outcome: Outcome) -> Grant {
    match outcome {
        Outcome::Decided(Decision::Granted(grant)) => grant,
        other => panic!("not granted: {other:?}"),
    }
}
