//! A model of routers that claim keys in one log, with every fault of an append.

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

/// What became of a claim at its router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    Waiting,
    MayRun,
    Ran,
    NotRun,
}

#[derive(Debug)]
struct Own {
    claim: Claim,
    router: usize,
    fate: Fate,
    recorded: bool,
}

#[derive(Debug)]
struct Router {
    table: Table,
    position: usize,
}

/// Routers, the log, and appends that are still under way.
#[derive(Debug)]
pub(crate) struct World {
    log: Vec<Entry>,
    under_way: Vec<Entry>,
    routers: Vec<Router>,
    claims: Vec<Own>,
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

impl World {
    pub(crate) fn new() -> Self {
        let router = |_| Router { table: table(), position: 0 };
        let routers = (0..ROUTERS).map(router).collect();
        Self { log: Vec::new(), under_way: Vec::new(), routers, claims: Vec::new() }
    }

    /// Takes one step, chosen by the bytes.
    pub(crate) fn step(&mut self, [what, who, which, how]: [u8; 4]) {
        let router = usize::from(who) % ROUTERS;
        match what % 8 {
            0 | 1 => self.begin(router, which % KEYS, which / KEYS % CONTENTS, how),
            2 | 3 => self.read(router, 1 + usize::from(how % 4)),
            4 => self.land(usize::from(which)),
            5 => self.give_up(usize::from(which), how),
            6 => self.run(usize::from(which), how),
            _ if how % 4 == 0 => self.restart(router),
            _ => self.read(router, usize::MAX),
        }
    }

    /// Lets all appends land and all routers read, and checks that they agree.
    pub(crate) fn finish(&mut self) {
        self.log.append(&mut self.under_way);
        for router in 0..ROUTERS {
            self.read(router, usize::MAX);
        }
        for key in 0..KEYS {
            for content in 0..CONTENTS {
                let digest = Digest::of(&[content]);
                let view = |router: &Router| router.table.key_state(&scope(key), &digest);
                let views: Vec<_> = self.routers.iter().map(view).collect();
                assert!(views.iter().all(|view| *view == views[0]), "readers differ: {views:?}");
                self.check_end(&views[0], &scope(key), digest);
            }
        }
    }

    /// A key is held only by a claim that may run, and a recorded outcome is known.
    fn check_end(&self, view: &KeyState, scope: &Scope, digest: Digest) {
        if let KeyState::Held(id) = view {
            let holder = self.claims.iter().find(|own| own.claim.id == *id).expect("a claim");
            assert_ne!(holder.fate, Fate::NotRun, "a claim that never runs holds its key");
        }
        let is_recorded =
            |own: &&Own| own.recorded && own.claim.scope == *scope && own.claim.digest == digest;
        if self.claims.iter().any(|own| is_recorded(&own)) {
            assert_eq!(*view, KeyState::Finished(answer()));
        }
    }

    fn begin(&mut self, router: usize, key: u8, content: u8, how: u8) {
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
        self.append(Entry::Claim(claim.clone()), how, true);
        self.claims.push(Own { claim, router, fate: Fate::Waiting, recorded: false });
    }

    /// Appends at once, later, twice, or (if allowed) never.
    fn append(&mut self, entry: Entry, how: u8, may_vanish: bool) {
        match how % 4 {
            0 => self.log.push(entry),
            1 => self.under_way.push(entry),
            2 => {
                self.log.push(entry.clone());
                self.under_way.push(entry);
            }
            _ if may_vanish => (),
            _ => self.log.push(entry),
        }
    }

    fn land(&mut self, which: usize) {
        if !self.under_way.is_empty() {
            let entry = self.under_way.swap_remove(which % self.under_way.len());
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
        let is_own = |own: &&mut Own| {
            own.claim.id == id && own.router == router && own.fate == Fate::Waiting
        };
        let Some(own) = self.claims.iter_mut().find(is_own) else { return };
        own.fate = match resolution {
            Resolution::Acquired => Fate::MayRun,
            Resolution::Void => Fate::NotRun,
        };
        let key = own.claim.scope.key;
        let may_run =
            |own: &&Own| own.claim.scope.key == key && matches!(own.fate, Fate::MayRun | Fate::Ran);
        assert!(self.claims.iter().filter(may_run).count() <= 1, "two claims of a key may run");
    }

    /// A claim is given up before its decision, or released after it without having run.
    fn give_up(&mut self, which: usize, how: u8) {
        let Some(index) = self.pick(which, &[Fate::Waiting, Fate::MayRun]) else { return };
        let own = &mut self.claims[index];
        own.fate = Fate::NotRun;
        let release = Release { scope: own.claim.scope.clone(), id: own.claim.id };
        self.append(Entry::Release(release), how, false);
    }

    fn run(&mut self, which: usize, how: u8) {
        let Some(index) = self.pick(which, &[Fate::MayRun]) else { return };
        let own = &mut self.claims[index];
        own.fate = Fate::Ran;
        own.recorded = how % 4 != 3;
        let outcome = Outcome::new(own.claim.scope.clone(), own.claim.id, answer(), 0);
        self.append(Entry::Outcome(outcome), how, true);
    }

    fn pick(&self, which: usize, fates: &[Fate]) -> Option<usize> {
        let fits = |index: &usize| fates.contains(&self.claims[*index].fate);
        let fitting: Vec<_> = (0..self.claims.len()).filter(fits).collect();
        fitting.get(which % fitting.len().max(1)).copied()
    }

    /// A router forgets all: what it had claimed may have run, and nobody decides it any more.
    fn restart(&mut self, router: usize) {
        self.routers[router] = Router { table: table(), position: 0 };
        for own in &mut self.claims {
            if own.router == router && own.fate == Fate::Waiting {
                own.router = ROUTERS;
            }
        }
    }
}
