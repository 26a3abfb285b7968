//! Anti-entropy: two members compare what they know and exchange what gossip has lost.

use std::mem;
use std::time::Duration;

use base::Name;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use super::machine::Action;
use super::machine::SYNC_PERIOD;
use super::machine::Swim;
use super::membership::Entry;
use super::message::Kind;
use super::message::MESSAGE_LIMIT;
use super::message::Update;
use crate::Register;
use crate::Version;

/// Number of buckets that names are hashed into.
const BUCKET_COUNT: usize = 64;
/// Maximum number of messages with differing updates in one comparison.
const MAX_MESSAGES: usize = 8;

/// The part of a member that is compared.
#[derive(Serialize)]
struct MemberItem<'a> {
    name: &'a Name,
    version: Version,
}

impl Swim {
    /// Handles a message by its kind.
    pub(super) fn handle(&mut self, now: Duration, from: &Name, version: Version, kind: Kind) {
        match kind {
            Kind::Ping { sequence } => self.reply(from, Kind::Ack { sequence }),
            Kind::Ack { sequence } => self.on_ack(now, from, version, sequence),
            Kind::PingRequest { sequence, target } => self.on_request(now, from, &target, sequence),
            Kind::IndirectAck { sequence, version } => self.on_indirect_ack(now, version, sequence),
            Kind::Gossip => {}
            Kind::Digest { digest } => self.compare_digest(from, digest),
            Kind::Buckets { digests, wants_reply } => self.exchange(from, &digests, wants_reply),
        }
    }

    /// Starts a comparison with a random member when one is due.
    pub(super) fn start_sync(&mut self, now: Duration) {
        if now < self.next_sync {
            return;
        }
        self.next_sync = now + SYNC_PERIOD;
        let digest = digest(&self.buckets());
        for to in self.random_members(1, &[]) {
            self.send(&to, Kind::Digest { digest });
        }
    }

    fn compare_digest(&mut self, from: &Name, theirs: u32) {
        let digests = self.buckets();
        if digest(&digests) != theirs {
            self.reply(from, Kind::Buckets { digests, wants_reply: true });
        }
    }

    /// Sends all updates in the buckets that differ.
    fn exchange(&mut self, to: &Name, theirs: &[u32], wants_reply: bool) {
        if theirs.len() != BUCKET_COUNT {
            return;
        }
        let digests = self.buckets();
        let marked: Vec<bool> =
            digests.iter().zip(theirs).map(|(mine, other)| mine != other).collect();
        for updates in pages(self.items(&marked)) {
            let message =
                super::Message { updates, ..self.compose_without_updates(to, Kind::Gossip) };
            self.actions.push(Action::Reply(message));
        }
        if wants_reply {
            self.reply(to, Kind::Buckets { digests, wants_reply: false });
        }
    }

    /// Returns all updates in the marked buckets, starting at a random one.
    fn items(&mut self, marked: &[bool]) -> Vec<Update> {
        let own = self.own_update();
        let others = self.membership.entries.values().filter_map(Entry::update);
        let updates = others.chain([own]).filter(|update| marked[bucket(&update.record.name)]);
        let registers = self.registers.iter().filter(|register| marked[bucket(&register.key)]);
        let mut items: Vec<Update> = updates.map(Update::Member).collect();
        items.extend(registers.cloned().map(Update::Register));
        if !items.is_empty() {
            let start = rand::Rng::random_range(&mut self.random, 0..items.len());
            items.rotate_left(start);
        }
        items
    }

    /// Returns a digest of each bucket. It does not depend on the order in which updates were received.
    fn buckets(&self) -> Vec<u32> {
        let mut digests = vec![0; BUCKET_COUNT];
        let live = self.membership.entries.values().filter(|entry| entry.is_live());
        for entry in live {
            add(&mut digests, &entry.record.name, &member_item(&entry.record.name, entry.version));
        }
        if !self.is_leaving {
            add(&mut digests, &self.local.name, &member_item(&self.local.name, self.version));
        }
        for register in self.registers.iter() {
            add::<Register>(&mut digests, &register.key, register);
        }
        digests
    }
}

const fn member_item(name: &Name, version: Version) -> MemberItem<'_> {
    MemberItem { name, version }
}

fn bucket(name: &Name) -> usize {
    usize::try_from(xxh3_64(name.as_str().as_bytes()) % BUCKET_COUNT as u64).unwrap_or_default()
}

fn add<T: Serialize>(digests: &mut [u32], name: &Name, item: &T) {
    let bytes = postcard::to_stdvec(item).unwrap_or_default();
    digests[bucket(name)] ^= fold(xxh3_64(&bytes));
}

fn digest(digests: &[u32]) -> u32 {
    let bytes: Vec<u8> = digests.iter().flat_map(|part| part.to_be_bytes()).collect();
    fold(xxh3_64(&bytes))
}

const fn fold(hash: u64) -> u32 {
    (hash ^ (hash >> 32)) as u32
}

/// Splits updates into messages, up to the limit of one comparison.
fn pages(items: Vec<Update>) -> Vec<Vec<Update>> {
    let budget = MESSAGE_LIMIT - 64;
    let mut pages = Vec::new();
    let mut page = Vec::new();
    let mut used = 0;
    for item in items {
        let size = item.size();
        if used + size > budget {
            pages.push(mem::take(&mut page));
            used = 0;
        }
        used += size;
        page.push(item);
    }
    pages.push(page);
    pages.retain(|page| !page.is_empty());
    pages.truncate(MAX_MESSAGES);
    pages
}
