//! Comparison of all that two members know, which repairs what gossip has lost.

use std::mem;
use std::time::Duration;

use base::Name;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use super::machine::Action;
use super::machine::SYNC_PERIOD;
use super::machine::Swim;
use super::message::Kind;
use super::message::MESSAGE_LIMIT;
use super::message::Update;
use super::roster::Entry;
use crate::Register;
use crate::Version;

/// Buckets into which names fall.
const BUCKET_COUNT: usize = 64;
/// Messages with differing items in one comparison.
const ITEM_MESSAGES: usize = 8;

/// What is compared of a member.
#[derive(Serialize)]
struct Life<'a> {
    name: &'a Name,
    version: Version,
}

impl Swim {
    /// Handles a message by its kind.
    pub(super) fn handle(&mut self, now: Duration, from: &Name, version: Version, kind: Kind) {
        match kind {
            Kind::Ping { sequence } => self.reply(from, Kind::Ack { sequence }),
            Kind::Ack { sequence } => self.acked(now, from, version, sequence),
            Kind::PingRequest { sequence, target } => self.asked(now, from, &target, sequence),
            Kind::IndirectAck { sequence, version } => self.vouched(now, version, sequence),
            Kind::Gossip => {}
            Kind::Digest { digest } => self.compare(from, digest),
            Kind::Buckets { digests, wants_reply } => self.repair(from, &digests, wants_reply),
        }
    }

    /// Compares with a random member when it is time.
    pub(super) fn start_sync(&mut self, now: Duration) {
        if now < self.next_sync {
            return;
        }
        self.next_sync = now + SYNC_PERIOD;
        let digest = digest(&self.buckets());
        for to in self.pick(1, &[]) {
            self.send(&to, Kind::Digest { digest });
        }
    }

    fn compare(&mut self, from: &Name, theirs: u32) {
        let digests = self.buckets();
        if digest(&digests) != theirs {
            self.reply(from, Kind::Buckets { digests, wants_reply: true });
        }
    }

    /// Sends what is in the buckets that differ.
    fn repair(&mut self, to: &Name, theirs: &[u32], wants_reply: bool) {
        if theirs.len() != BUCKET_COUNT {
            return;
        }
        let digests = self.buckets();
        let differs: Vec<bool> =
            digests.iter().zip(theirs).map(|(mine, other)| mine != other).collect();
        for updates in pages(self.items(&differs)) {
            let message = super::Message { updates, ..self.bare(to, Kind::Gossip) };
            self.actions.push(Action::Reply(message));
        }
        if wants_reply {
            self.reply(to, Kind::Buckets { digests, wants_reply: false });
        }
    }

    /// Returns all that falls into the marked buckets, beginning at a random one.
    fn items(&mut self, marked: &[bool]) -> Vec<Update> {
        let own = self.own_update();
        let others = self.roster.entries.values().filter_map(Entry::update);
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

    /// Returns a digest of each bucket, which does not depend on the order in which things were learnt.
    fn buckets(&self) -> Vec<u32> {
        let mut digests = vec![0; BUCKET_COUNT];
        let live = self.roster.entries.values().filter(|entry| entry.is_live());
        for entry in live {
            add(&mut digests, &entry.record.name, &life(&entry.record.name, entry.version));
        }
        if !self.leaves {
            add(&mut digests, &self.me.name, &life(&self.me.name, self.version));
        }
        for register in self.registers.iter() {
            add::<Register>(&mut digests, &register.key, register);
        }
        digests
    }
}

const fn life(name: &Name, version: Version) -> Life<'_> {
    Life { name, version }
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

/// Splits updates into messages, as far as one comparison may send.
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
    pages.truncate(ITEM_MESSAGES);
    pages
}
