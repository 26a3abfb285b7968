//! Orders from this router's dispatchers to their runners, under a fencing token from the log.

use std::time::Duration;
use std::time::Instant;

use base::Event;
use base::EventKind;
use base::Name;
use conf::Configuration;
use conf::configuration::Service;
use front::Command;
use front::Outcome;
use indexmap::IndexSet;
use plat::Log;
use tokio::sync::mpsc;
use uuid::Uuid;
use wire::Shard;
use wire::Term;

use super::Control;
use super::lease::Action;
use super::lease::Append;
use super::lease::Kind;
use super::lease::Lease;
use super::lease::Order;
use super::lease::ReadError;
use super::lease::Record;
use super::lease::StoredRecord;
use super::lease::Tail;
use super::lease::Target;
use super::lease::Task;
use super::placement;
use super::plan::runners_of;
use super::plan::shards_of;
use crate::input::Input;

/// Name of the log stream of fencing tokens.
const FENCE_STREAM: &str = "fences";
/// Maximum number of records in one read.
const READ_LIMIT: usize = 256;

/// The order lease of a shard that this router dispatches.
#[derive(Debug)]
pub(super) struct ShardLease {
    lease: Lease,
    /// The dispatcher's term that the lease has seen; a different one makes the lease begin a new term.
    dispatcher_term: Term,
}

/// The result of a background task for an order lease.
#[derive(Debug)]
pub(crate) enum Answer {
    /// The result of appending a claim.
    Claimed(Uuid, Append),
    /// The result of reading the stream, and the start time of the last request.
    Read(Uuid, Duration, Result<Tail, ReadError>),
    /// The outcome of an order.
    Ordered(Order, Outcome),
}

impl Control {
    /// Updates the leases of all dispatched shards with the runners and the tasks for them.
    pub(super) fn refresh_leases(&mut self, configuration: &Configuration, out: &IndexSet<Name>) {
        let now = self.now();
        let dispatchers = &self.dispatchers;
        self.leases.retain(|shard, _| dispatchers.contains_key(shard));
        let all = configuration.services.iter();
        for (service, shard) in
            all.flat_map(|service| shards_of(service).map(move |shard| (service, shard)))
        {
            let Some(dispatcher) = self.dispatchers.get(&shard) else { continue };
            let index = shard.index;
            let dispatcher_term = dispatcher.term();
            let current = self.leases.entry(shard.clone()).or_insert_with(|| ShardLease {
                lease: Lease::new(shard, self.me.clone(), dispatcher_term, Uuid::new_v4(), now),
                dispatcher_term,
            });
            current.lease.update_plan(&wanted_tasks(service), targets(service, index, out));
        }
    }

    /// Polls all leases, begins new terms where needed and executes the due actions.
    pub(super) fn poll_leases(&mut self) {
        let now = self.now();
        let mut actions = Vec::new();
        for (shard, current) in &mut self.leases {
            let Some(dispatcher) = self.dispatchers.get(shard) else { continue };
            if dispatcher.term() != current.dispatcher_term {
                current.dispatcher_term = dispatcher.term();
                current.lease.begin_term(current.dispatcher_term, Uuid::new_v4(), now);
            }
            for action in current.lease.poll(now) {
                if action == Action::BeginTerm {
                    let term = Term(self.shared.clock.now());
                    current.lease.begin_term(term, Uuid::new_v4(), now);
                } else {
                    actions.push((shard.clone(), action));
                }
            }
        }
        for (shard, action) in actions {
            self.execute_lease_action(shard, action);
        }
    }

    /// Handles the result of a background task for the lease of a shard.
    pub(super) fn handle_lease_answer(&mut self, shard: &Shard, answer: &Answer) {
        let now = self.now();
        let Some(current) = self.leases.get_mut(shard) else { return };
        match answer {
            Answer::Claimed(id, append) => current.lease.record_append(*id, *append, now),
            Answer::Read(id, sent, result) => current.lease.record_read(*id, *sent, result, now),
            Answer::Ordered(order, outcome) => current.lease.record_outcome(order, *outcome, now),
        }
    }

    /// Passes the load report of a runner to the lease of its shard.
    pub(super) fn record_runner_load(
        &mut self,
        shard: &Shard,
        runner: &Name,
        load: Option<sched::Load>,
    ) {
        if let Some(current) = self.leases.get_mut(shard) {
            current.lease.record_load(runner, load);
        }
    }

    fn execute_lease_action(&mut self, shard: Shard, action: Action) {
        let input_sender = self.ports.input_sender.clone();
        let log = self.log.clone();
        let started = self.shared.started;
        match action {
            Action::Claim(record) => {
                self.tasks.spawn(async move {
                    let append = append_claim(&log, &record).await;
                    send_answer(&input_sender, shard, Answer::Claimed(record.id, append)).await;
                });
            }
            Action::Read { id, from } => {
                self.tasks.spawn(async move {
                    let (sent, result) = read_to_end(&log, from, started).await;
                    send_answer(&input_sender, shard, Answer::Read(id, sent, result)).await;
                });
            }
            Action::Order(order) => {
                self.tasks.spawn(async move {
                    let outcome = send(&order, started).await;
                    send_answer(&input_sender, shard, Answer::Ordered(order, outcome)).await;
                });
            }
            Action::RecordEvent { runner, detail } => self.record_order_event(runner, detail),
            Action::BeginTerm => {}
        }
    }

    fn record_order_event(&self, runner: Option<Name>, detail: String) {
        log::info!("fence: {detail}");
        self.shared.ring.push(Event {
            at: self.shared.clock.now(),
            process: self.me.clone(),
            kind: EventKind::Runner,
            request: None,
            workspace: None,
            runner,
            detail,
        });
    }
}

async fn send_answer(input_sender: &mpsc::Sender<Input>, shard: Shard, answer: Answer) {
    drop(input_sender.send(Input::LeaseAnswer { shard, answer: Box::new(answer) }).await);
}

async fn append_claim(log: &Log, record: &Record) -> Append {
    let Ok(span) = log.span(FENCE_STREAM).await else { return Append::NotRun };
    let body = serde_json::to_string(record).expect("a claim serializes to JSON");
    match log.append(FENCE_STREAM, &body).await {
        Err(error) if error.verdict() == base::Verdict::NotRun => Append::NotRun,
        Ok(_) | Err(_) => Append::MayHaveRun { from: span.next },
    }
}

/// Reads to the end of the stream; returns the start time of the last request and the result.
async fn read_to_end(
    log: &Log,
    mut from: u64,
    started: Instant,
) -> (Duration, Result<Tail, ReadError>) {
    let mut records = Vec::new();
    loop {
        let sent = started.elapsed();
        match log.read(FENCE_STREAM, from, READ_LIMIT, Duration::ZERO).await {
            Ok(page) => {
                let Some(last) = page.records.last() else {
                    return (sent, Ok(Tail { records, next: from }));
                };
                from = last.offset + 1;
                records.extend(page.records.iter().filter_map(parse_record));
            }
            Err(plat::Error::Gone { .. }) => return (sent, Err(ReadError::Trimmed)),
            Err(_) => return (sent, Err(ReadError::Unavailable)),
        }
    }
}

fn parse_record(record: &plat::Record) -> Option<StoredRecord> {
    let claim = serde_json::from_str(&record.body);
    if claim.is_err() {
        log::warn!("fence: skipped a malformed record of the stream");
    }
    Some(StoredRecord { offset: record.offset, record: claim.ok()? })
}

async fn send(order: &Order, started: Instant) -> Outcome {
    let command = Command {
        order: order.task.kind.to_string(),
        name: order.task.name.clone(),
        fence: order.fence,
    };
    front::send_command(order.address, &command, started + order.valid_until).await
}

/// Returns the tasks for the runners of a service, in the sequence in which they are executed.
fn wanted_tasks(service: &Service) -> Vec<Task> {
    let model = service.model.iter();
    let models = model.map(|name| Task { kind: Kind::LoadModel, name: name.clone() });
    let adapters = service.adapters.iter();
    let adapters =
        adapters.map(|name| Task { kind: Kind::LoadAdapter, name: name.as_str().to_owned() });
    models.chain(adapters).collect()
}

fn targets(service: &Service, index: u16, out: &IndexSet<Name>) -> Vec<Target> {
    let target = |runner: &conf::configuration::Runner| Target {
        name: runner.name.clone(),
        address: runner.address,
        checks_fencing: runner.checks_fencing,
        out: placement::is_out_of_service(out, &runner.zone, &runner.name),
    };
    runners_of(service, index).map(target).collect()
}
