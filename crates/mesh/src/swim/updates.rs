//! Update that wait to ride on messages.

use base::Name;
use indexmap::IndexMap;

use super::message::Update;

/// What a piece of update is about: newer update about the same takes its place.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Subject {
    Member(Name),
    Register(Name),
}

/// A piece of update and how often it was sent.
#[derive(Debug, Clone)]
struct Item {
    update: Update,
    size: usize,
    sent: u32,
}

/// All update that still have to be sent.
#[derive(Debug, Clone, Default)]
pub(super) struct Queue {
    items: IndexMap<Subject, Item>,
}

impl Queue {
    /// Adds update, in place of older update about the same.
    pub(super) fn push(&mut self, update: Update) {
        let subject = match &update {
            Update::Member(member) => Subject::Member(member.record.name.clone()),
            Update::Register(register) => Subject::Register(register.key.clone()),
        };
        let size = update.size();
        self.items.insert(subject, Item { update, size, sent: 0 });
    }

    /// Returns the least sent update that fit into `budget` bytes and forgets those sent `limit` times.
    pub(super) fn take(&mut self, budget: usize, limit: u32) -> Vec<Update> {
        let mut order: Vec<usize> = (0..self.items.len()).collect();
        order.sort_by_key(|index| self.items[*index].sent);
        let mut left = budget;
        let mut taken = Vec::new();
        for index in order {
            let item = &mut self.items[index];
            if item.size <= left {
                left -= item.size;
                item.sent += 1;
                taken.push(item.update.clone());
            }
        }
        self.items.retain(|_, item| item.sent < limit);
        taken
    }
}
