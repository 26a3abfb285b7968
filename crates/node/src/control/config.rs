//! The configuration in force, read from the log, or from a peer while the log is unavailable.

use std::time::Duration;

use base::EventKind;
use base::Name;
use conf::Chain;
use conf::Configuration;
use conf::Record;
use front::Applied;
use mesh::Register;
use tokio::sync::oneshot;
use wire::ConfigContent;
use wire::Frame;

use super::Control;
use crate::input::Input;
use crate::tail::CONFIG_STREAM;

/// Key of the register that holds the version in force.
pub(super) const REGISTER: &str = "config";
/// Timeout for reading back a published configuration.
const APPLY_TIMEOUT: Duration = Duration::from_secs(4);
/// Interval between two requests for a newer version.
const CONFIG_REQUEST_PERIOD: Duration = Duration::from_millis(500);

/// A configuration that an operator publishes through this router.
#[derive(Debug)]
pub(crate) struct PendingConfig {
    append_id: u64,
    text: String,
    deadline: Duration,
    /// The number of the version, once its offset in the log is known.
    number: Option<u64>,
    reply: oneshot::Sender<Applied>,
}

impl Control {
    /// Publishes a configuration if it is valid and based on the version in force.
    pub(super) fn apply(&mut self, base: u64, text: String, reply: oneshot::Sender<Applied>) {
        if let Err(report) = Configuration::parse(&text) {
            drop(reply.send(Applied::Invalid(report.current_context().to_string())));
            return;
        }
        if base != self.chain.number() {
            drop(reply.send(Applied::Conflict(self.chain.number())));
            return;
        }
        self.append_count += 1;
        let append_id = self.append_count;
        let body = Record::change(base, &text).encode();
        let deadline = self.now() + APPLY_TIMEOUT;
        self.pending_configs.push(PendingConfig { append_id, text, deadline, number: None, reply });
        let log = self.log.clone();
        let input_sender = self.ports.input_sender.clone();
        self.tasks.spawn(async move {
            let result = log.append(CONFIG_STREAM, &body).await;
            drop(input_sender.send(Input::Appended { append_id, result }).await);
        });
    }

    /// Handles the result of an append.
    pub(super) fn handle_append(&mut self, append_id: u64, result: &Result<u64, plat::Error>) {
        let Some(index) =
            self.pending_configs.iter().position(|pending| pending.append_id == append_id)
        else {
            return;
        };
        match result {
            Ok(offset) => {
                self.pending_configs[index].number = Some(conf::Version::number_at(*offset));
                self.answer_pending();
            }
            Err(error) if error.verdict() == base::Verdict::NotRun => {
                let pending = self.pending_configs.swap_remove(index);
                drop(pending.reply.send(Applied::Unavailable));
            }
            Err(_) => {
                log::info!(
                    "node: the result of a configuration append is unknown; reading it back"
                );
            }
        }
    }

    /// Handles a record of the configuration stream.
    pub(super) fn handle_config_record(&mut self, offset: u64, body: &str) {
        let before = self.chain.number();
        self.chain.feed(offset, body);
        self.match_lost_append(offset, body);
        self.announce_config(before);
    }

    /// Restarts from the oldest retained record if no version is known; the next version must then be a checkpoint.
    pub(super) fn handle_config_trim(&mut self) {
        if self.chain.version().is_none() {
            self.chain = Chain::trimmed();
        }
    }

    /// Returns the content of the version in force.
    pub(super) fn config_content(&self) -> Option<ConfigContent> {
        let version = self.chain.version()?;
        Some(ConfigContent { version: version.number, text: version.text.clone() })
    }

    /// Sends the version in force to a peer if it is at least as new as the requested one.
    pub(super) fn handle_config_pull(&self, from: &Name, wanted: u64) {
        if let Some(content) = self.config_content().filter(|content| content.version >= wanted) {
            self.mesh.send(from, Frame::ConfigPush(content));
        }
    }

    /// Handles the content of a version from a peer.
    pub(super) fn handle_config_push(&mut self, content: &ConfigContent) {
        let before = self.chain.number();
        self.chain.adopt(content.version, &content.text);
        self.announce_config(before);
    }

    /// Handles the register with the version in force at another router, and requests a newer version from that router.
    pub(super) fn handle_config_register(&mut self, register: &Register) {
        self.newest_config = self.newest_config.max(register.counter);
        if register.counter > self.chain.number() && register.by != self.me {
            self.mesh.send(&register.by, Frame::ConfigPull { version: register.counter });
        }
    }

    /// Requests a version that is in force elsewhere from one member after another, until it is in force here.
    pub(super) fn request_newer_config(&mut self) {
        let now = self.now();
        let version = self.newest_config;
        if version <= self.chain.number() || now < self.config_request_due {
            return;
        }
        self.config_request_due = now + CONFIG_REQUEST_PERIOD;
        self.config_requests += 1;
        let others: Vec<&Name> = self
            .members
            .iter()
            .filter(|member| member.state.is_live() && member.name != self.me)
            .map(|member| &member.name)
            .collect();
        if let Some(peer) = others.get(self.config_requests % others.len().max(1)) {
            self.mesh.send(peer, Frame::ConfigPull { version });
        }
    }

    /// Replies to operators whose publications were not read back in time.
    pub(super) fn expire_pending_configs(&mut self) {
        let now = self.now();
        while let Some(index) =
            self.pending_configs.iter().position(|pending| pending.deadline <= now)
        {
            let pending = self.pending_configs.swap_remove(index);
            drop(pending.reply.send(Applied::Unavailable));
        }
    }

    fn announce_config(&mut self, before: u64) {
        let number = self.chain.number();
        if number != before {
            log::info!("node: configuration {number} is in force");
            self.record_event(EventKind::Config, &format!("configuration {number} is in force"));
            self.mesh.publish(Register {
                key: Name::from(REGISTER),
                counter: number,
                wins_ties: false,
                value: Vec::new(),
                by: self.me.clone(),
            });
            self.refresh();
        }
        self.answer_pending();
    }

    /// Matches a record by its text with a publication whose append result is missing.
    fn match_lost_append(&mut self, offset: u64, body: &str) {
        let Some(Record::Change(change)) = Record::decode(body) else { return };
        let number = conf::Version::number_at(offset);
        let unmatched = self
            .pending_configs
            .iter_mut()
            .find(|pending| pending.number.is_none() && pending.text == change.text);
        if let Some(pending) = unmatched {
            pending.number = Some(number);
        }
    }

    /// Replies to operators whose publications the chain has reached.
    fn answer_pending(&mut self) {
        let read_to = self.chain.read_to();
        while let Some(index) = self.pending_configs.iter().position(|pending| {
            pending.number.is_some_and(|number| number <= conf::Version::number_at(read_to))
        }) {
            let pending = self.pending_configs.swap_remove(index);
            let in_force = self.chain.version();
            let is_in_force = in_force.is_some_and(|version| {
                Some(version.number) >= pending.number && version.text == pending.text
            });
            let applied = if is_in_force {
                Applied::Active(pending.number.unwrap_or_default())
            } else {
                Applied::Conflict(self.chain.number())
            };
            drop(pending.reply.send(applied));
        }
    }
}
