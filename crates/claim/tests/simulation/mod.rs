//! A simulation of routers that claim keys in one log, with all faults of an append.

use std::time::Duration;

use claim::Answer;
use claim::Claim;
use claim::Digest;
use claim::Entry;
use claim::KeyState;
use claim::Limits;
use claim::Outcome;
use claim::Release;
use claim::Resolution;
use claim::Scope;
use claim::Table;
use uuid::Uuid;

const ROUTERS: usize = 3;
const KEYS: u8 = 2;
const CONTENTS: u8 = 2;

/// The state of a claim at its router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Waiting,
    MayRun,
    Ran,
    NotRun,
}

/// A claim, as its router knows it.
#[derive(Debug)]
struct TrackedClaim {
    claim: Claim,
    router: usize,
    state: State,
    recorded: bool,
}

#[derive(Debug)]
struct Router {
    table: Table,
    position: usize,
}

/// The routers, the log, and the appends in flight.
#[derive(Debug)]
pub(crate) struct Simulation {
    log: Vec<Entry>,
    in_flight: Vec<Entry>,
    routers: Vec<Router>,
    claims: Vec<TrackedClaim>,
}

fn table() -> Table {
    Table::new(Limits::new(Duration::from_secs(3600), Duration::from_secs(2)))
}

fn scope(key: u8) -> Scope {
    Scope::new("acme", "orders", Uuid::from_u128(0x7000_8000_0000_0000_0000 | u128::from(key)))
}

fn answer() -> Answer {
    Answer { status: 200, content_type: None, body: Vec::new() }
}

impl Simulation {
    pub(crate) fn new() -> Self {
        let router = |_| Router { table: table(), position: 0 };
        let routers = (0..ROUTERS).map(router).collect();
        Self { log: Vec::new(), in_flight: Vec::new(), routers, claims: Vec::new() }
    }

    /// Runs one step, selected by the bytes.
    pub(crate) fn step(&mut self, [action, router, index, variant]: [u8; 4]) {
        let router = usize::from(router) % ROUTERS;
        match action % 8 {
            0 | 1 => self.begin(router, index % KEYS, index / KEYS % CONTENTS, variant),
            2 | 3 => self.read(router, 1 + usize::from(variant % 4)),
            4 => self.complete_append(usize::from(index)),
            5 => self.abandon(usize::from(index), variant),
            6 => self.run(usize::from(index), variant),
            _ if variant % 4 == 0 => self.restart(router),
            _ => self.read(router, usize::MAX),
        }
    }

    /// Completes all appends, makes all routers read the log, and checks that they agree.
    pub(crate) fn finish(&mut self) {
        self.log.append(&mut self.in_flight);
        for router in 0..ROUTERS {
            self.read(router, usize::MAX);
        }
        for key in 0..KEYS {
            for content in 0..CONTENTS {
                let digest = Digest::of(&[content]);
                let key_state = |router: &Router| router.table.key_state(&scope(key), &digest);
                let key_states: Vec<_> = self.routers.iter().map(key_state).collect();
                assert!(
                    key_states.iter().all(|key_state| *key_state == key_states[0]),
                    "routers disagree on a key: {key_states:?}"
                );
                self.check_result(&key_states[0], &scope(key), digest);
            }
        }
    }

    /// Checks that a key is held only by a claim whose call may run, and that a recorded outcome is known.
    fn check_result(&self, key_state: &KeyState, scope: &Scope, digest: Digest) {
        if let KeyState::Held(id) = key_state {
            let holder = self
                .claims
                .iter()
                .find(|tracked| tracked.claim.id == *id)
                .expect("the claim was made");
            assert_ne!(holder.state, State::NotRun, "a claim whose call never runs holds its key");
        }
        let is_recorded = |tracked: &&TrackedClaim| {
            tracked.recorded && tracked.claim.scope == *scope && tracked.claim.digest == digest
        };
        if self.claims.iter().any(|tracked| is_recorded(&tracked)) {
            assert_eq!(*key_state, KeyState::Finished(answer()));
        }
    }

    fn begin(&mut self, router: usize, key: u8, content: u8, variant: u8) {
        let digest = Digest::of(&[content]);
        if self.routers[router].table.key_state(&scope(key), &digest) != KeyState::Free {
            return;
        }
        let id = u128::try_from(self.claims.len()).expect("a small number") + 1;
        let claim = Claim {
            scope: scope(key),
            id: Uuid::from_u128(id),
            request: Uuid::from_u128(id),
            router: "r".into(),
            digest,
        };
        self.append(Entry::Claim(claim.clone()), variant, true);
        self.claims.push(TrackedClaim { claim, router, state: State::Waiting, recorded: false });
    }

    /// Appends an entry immediately, later, twice, or (if `may_be_lost`) never.
    fn append(&mut self, entry: Entry, variant: u8, may_be_lost: bool) {
        match variant % 4 {
            0 => self.log.push(entry),
            1 => self.in_flight.push(entry),
            2 => {
                self.log.push(entry.clone());
                self.in_flight.push(entry);
            }
            _ if may_be_lost => (),
            _ => self.log.push(entry),
        }
    }

    fn complete_append(&mut self, index: usize) {
        if !self.in_flight.is_empty() {
            let entry = self.in_flight.swap_remove(index % self.in_flight.len());
            self.log.push(entry);
        }
    }

    fn read(&mut self, router: usize, count: usize) {
        let from = self.routers[router].position;
        let entries: Vec<_> = self.log.iter().skip(from).take(count).cloned().collect();
        for entry in entries {
            self.routers[router].position += 1;
            let resolution = self.routers[router].table.apply(&entry);
            if let Some(resolution) = resolution {
                self.decide(router, entry.id(), resolution);
            }
        }
    }

    fn decide(&mut self, router: usize, id: Uuid, resolution: Resolution) {
        let is_waiting = |tracked: &&mut TrackedClaim| {
            tracked.claim.id == id && tracked.router == router && tracked.state == State::Waiting
        };
        let Some(tracked) = self.claims.iter_mut().find(is_waiting) else { return };
        tracked.state = match resolution {
            Resolution::Acquired => State::MayRun,
            Resolution::Void => State::NotRun,
        };
        let key = tracked.claim.scope.key;
        let may_run = |tracked: &&TrackedClaim| {
            tracked.claim.scope.key == key && matches!(tracked.state, State::MayRun | State::Ran)
        };
        assert!(
            self.claims.iter().filter(may_run).count() <= 1,
            "the calls of two claims of a key may run"
        );
    }

    /// Abandons a claim before its decision, or releases it after the decision without a run.
    fn abandon(&mut self, raw: usize, variant: u8) {
        let Some(index) = self.pick(raw, &[State::Waiting, State::MayRun]) else { return };
        let tracked = &mut self.claims[index];
        tracked.state = State::NotRun;
        let release = Release { scope: tracked.claim.scope.clone(), id: tracked.claim.id };
        self.append(Entry::Release(release), variant, false);
    }

    fn run(&mut self, raw: usize, variant: u8) {
        let Some(index) = self.pick(raw, &[State::MayRun]) else { return };
        let tracked = &mut self.claims[index];
        tracked.state = State::Ran;
        tracked.recorded = variant % 4 != 3;
        let outcome = Outcome::new(tracked.claim.scope.clone(), tracked.claim.id, answer(), 0);
        self.append(Entry::Outcome(outcome), variant, true);
    }

    /// Returns the index of a claim in one of the states, selected by a raw number.
    fn pick(&self, raw: usize, states: &[State]) -> Option<usize> {
        let matches_state = |index: &usize| states.contains(&self.claims[*index].state);
        let candidates: Vec<_> = (0..self.claims.len()).filter(matches_state).collect();
        candidates.get(raw % candidates.len().max(1)).copied()
    }

    /// Restarts a router without its state: calls that it claimed may have run, and its waiting claims stay undecided.
    fn restart(&mut self, router: usize) {
        self.routers[router] = Router { table: table(), position: 0 };
        for tracked in &mut self.claims {
            if tracked.router == router && tracked.state == State::Waiting {
                tracked.router = ROUTERS;
            }
        }
    }
}
