//! A simulated fleet of state machines on an in-memory network, with packet loss, crashes and cuts.

use std::collections::VecDeque;
use std::time::Duration;

use base::Name;
use indexmap::IndexMap;
use indexmap::IndexSet;
use mesh::Candidate;
use mesh::Member;
use mesh::Record;
use mesh::Register;
use mesh::State;
use mesh::Version;
use mesh::swim::Action;
use mesh::swim::MESSAGE_LIMIT;
use mesh::swim::Message;
use mesh::swim::Swim;
use mesh::swim::Timing;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Time of one step, after which sent messages arrive.
const STEP: Duration = Duration::from_millis(10);

/// A message in transit.
struct Packet {
    from: Name,
    to: Name,
    message: Message,
}

/// The simulated fleet and its network.
pub(crate) struct Simulation {
    pub(crate) now: Duration,
    pub(crate) routers: IndexMap<Name, Swim>,
    /// Directed pairs of routers between which all messages are dropped.
    pub(crate) cuts: IndexSet<(Name, Name)>,
    /// The fraction of messages that is lost.
    pub(crate) loss: f64,
    /// The register events that each router has reported.
    pub(crate) register_events: Vec<(Name, Register)>,
    candidates: Vec<Candidate>,
    links: IndexSet<(Name, Name)>,
    packets: VecDeque<Packet>,
    random: StdRng,
}

pub(crate) fn name(index: usize) -> Name {
    Name::new(&format!("r{index}"))
}

fn record(index: usize) -> Record {
    let port = 7_000 + u16::try_from(index).expect("the fleet is small");
    let address = ([127, 0, 0, 1], port).into();
    Record { name: name(index), address, zone: "a".into(), region: "north".into() }
}

pub(crate) fn register(key: &str, counter: u64, wins_ties: bool) -> Register {
    Register { key: key.into(), counter, wins_ties, value: b"value".to_vec(), by: "op".into() }
}

impl Simulation {
    /// Creates a fleet in which all routers are on the instance list and no messages were exchanged.
    pub(crate) fn new(size: usize, seed: u64) -> Self {
        let candidates = (0..size).map(record).map(candidate).collect();
        let mut simulation = Self {
            now: Duration::ZERO,
            routers: IndexMap::new(),
            cuts: IndexSet::new(),
            loss: 0.0,
            register_events: Vec::new(),
            candidates,
            links: IndexSet::new(),
            packets: VecDeque::new(),
            random: StdRng::seed_from_u64(seed),
        };
        for index in 0..size {
            simulation.start(index, 1);
        }
        simulation
    }

    /// Creates a fleet in which all routers see each other as alive.
    pub(crate) fn joined(size: usize, seed: u64) -> Self {
        let mut simulation = Self::new(size, seed);
        simulation.run(Duration::from_secs(8));
        assert!(
            simulation.sees_exactly(&(0..size).collect::<Vec<_>>()),
            "the fleet has not converged"
        );
        simulation
    }

    /// Returns the instance list.
    pub(crate) fn listed(&self) -> Vec<Candidate> {
        self.candidates.clone()
    }

    /// Starts a router without any state.
    pub(crate) fn start(&mut self, index: usize, incarnation: u64) {
        let seed = self.random.random();
        let mut swim = Swim::new(record(index), incarnation, Timing::default(), seed);
        // A process that starts later has its own clock; the first tick compensates for the gap.
        swim.set_candidates(&self.candidates);
        self.routers.insert(name(index), swim);
    }

    /// Ends a router without a leave message.
    pub(crate) fn kill(&mut self, index: usize) {
        let dead = name(index);
        self.routers.shift_remove(&dead);
        self.links.retain(|(from, to)| *from != dead && *to != dead);
    }

    /// Cuts both directions between all routers of two sides.
    pub(crate) fn split(&mut self, one: &[usize], other: &[usize]) {
        for left in one {
            for right in other {
                self.cuts.insert((name(*left), name(*right)));
                self.cuts.insert((name(*right), name(*left)));
            }
        }
    }

    pub(crate) fn run(&mut self, time: Duration) {
        self.run_while(time, |_| true);
    }

    /// Runs until the time is over or the condition no longer holds, and returns the elapsed time.
    pub(crate) fn run_while(
        &mut self,
        time: Duration,
        mut holds: impl FnMut(&Self) -> bool,
    ) -> Duration {
        let begin = self.now;
        while self.now < begin + time && holds(self) {
            self.step();
        }
        self.now - begin
    }

    pub(crate) fn publish(&mut self, index: usize, register: &Register) {
        let from = name(index);
        let actions = self.routers.get_mut(&from).expect("the router runs").publish(register);
        self.carry_out(&from, None, actions);
    }

    pub(crate) fn view(&self, viewer: usize) -> Vec<Member> {
        self.routers.get(&name(viewer)).map(Swim::members).unwrap_or_default()
    }

    pub(crate) fn state(&self, viewer: usize, index: usize) -> Option<State> {
        let wanted = name(index);
        self.view(viewer).into_iter().find(|member| member.name == wanted).map(|found| found.state)
    }

    pub(crate) fn version(&self, index: usize) -> Version {
        self.routers.get(&name(index)).map(Swim::version).unwrap_or_default()
    }

    pub(crate) fn incarnation(&self, viewer: usize, index: usize) -> Option<u64> {
        let wanted = name(index);
        let mut view = self.view(viewer).into_iter();
        view.find(|member| member.name == wanted).map(|found| found.incarnation)
    }

    /// Returns whether each of these routers sees exactly these routers as alive.
    pub(crate) fn sees_exactly(&self, indexes: &[usize]) -> bool {
        let wanted: IndexSet<Name> = indexes.iter().map(|index| name(*index)).collect();
        indexes.iter().all(|viewer| {
            let view = self.view(*viewer).into_iter();
            let live = view.filter(|member| member.state == State::Alive);
            live.map(|member| member.name).collect::<IndexSet<Name>>() == wanted
        })
    }

    /// Returns whether all routers hold the same registers.
    pub(crate) fn has_same_registers(&self) -> bool {
        let mut all = self.routers.values().map(|swim| {
            let mut registers = swim.registers();
            registers.sort_by(|one, other| one.key.cmp(&other.key));
            registers
        });
        let first = all.next();
        all.all(|registers| Some(&registers) == first.as_ref())
    }

    fn step(&mut self) {
        self.now += STEP;
        let arriving: Vec<Packet> = self.packets.drain(..).collect();
        for packet in arriving {
            self.deliver(&packet);
        }
        let names: Vec<Name> = self.routers.keys().cloned().collect();
        for router in names {
            let now = self.now;
            let actions = self.routers.get_mut(&router).map(|swim| swim.tick(now));
            self.carry_out(&router, None, actions.unwrap_or_default());
        }
    }

    fn deliver(&mut self, packet: &Packet) {
        let Some(swim) = self.routers.get_mut(&packet.to) else { return };
        let bytes = packet.message.encode();
        assert!(bytes.len() <= MESSAGE_LIMIT, "a message of {} bytes", bytes.len());
        let message = Message::decode(&bytes).expect("the message decodes");
        let actions = swim.receive(self.now, &packet.from, message);
        self.carry_out(&packet.to, Some(&packet.from), actions);
    }

    pub(crate) fn carry_out(
        &mut self,
        from: &Name,
        replies_to: Option<&Name>,
        actions: Vec<Action>,
    ) {
        for action in actions {
            match action {
                Action::Send { to, message } if self.open(from, &to) => {
                    self.post(from, &to, message);
                }
                Action::Send { .. } | Action::MembersChanged => {}
                Action::Reply(message) => {
                    let to = replies_to.expect("a reply has a recipient").clone();
                    self.post(from, &to, message);
                }
                Action::Reconnect(to) => {
                    self.links.shift_remove(&(from.clone(), to));
                }
                Action::Register(register) => self.register_events.push((from.clone(), register)),
            }
        }
    }

    fn post(&mut self, from: &Name, to: &Name, message: Message) {
        if self.passes(from, to) {
            let packet = Packet { from: from.clone(), to: to.clone(), message };
            self.packets.push_back(packet);
        }
    }

    /// Opens a link, which needs both directions, and passes the record of the opening router to the receiver.
    fn open(&mut self, from: &Name, to: &Name) -> bool {
        let link = (from.clone(), to.clone());
        if self.links.contains(&link) {
            return true;
        }
        if !self.passes(from, to) || !self.passes(to, from) {
            return false;
        }
        let Some(opener) = self.routers.get(from) else { return false };
        let (record, version) = (opener.record().clone(), opener.version());
        let now = self.now;
        let Some(receiver) = self.routers.get_mut(to) else { return false };
        if !receiver.admits(from, version) {
            return false;
        }
        let actions = receiver.accept(now, record, version);
        self.links.insert(link);
        self.carry_out(to, Some(from), actions);
        true
    }

    fn passes(&mut self, from: &Name, to: &Name) -> bool {
        let is_cut = self.cuts.contains(&(from.clone(), to.clone()));
        !is_cut && !self.random.random_bool(self.loss)
    }
}

fn candidate(record: Record) -> Candidate {
    Candidate {
        name: record.name,
        address: record.address,
        zone: record.zone,
        region: record.region,
        leaving: false,
    }
}
