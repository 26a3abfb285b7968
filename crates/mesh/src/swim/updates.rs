//! Updates that wait to be piggybacked on messages.

use base::Name;
use indexmap::IndexMap;

use super::message::Update;

/// The subject of an update. A newer update of the same subject replaces an older one.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Subject {
    Member(Name),
    Register(Name),
}

/// An update and the number of times that it was sent.
#[derive(Debug, Clone)]
struct Item {
    update: Update,
    size: usize,
    sent: u32,
}

/// All updates that still have to be sent.
#[derive(Debug, Clone, Default)]
pub(super) struct Queue {
    items: IndexMap<Subject, Item>,
}

impl Queue {
    /// Adds an update, which replaces an older one of the same subject.
    pub(super) fn push(&mut self, update: Update) {
        let subject = match &update {
            Update::Member(member) => Subject::Member(member.record.name.clone()),
            Update::Register(register) => Subject::Register(register.key.clone()),
        };
        let size = update.size();
        self.items.insert(subject, Item { update, size, sent: 0 });
    }

    /// Returns the least sent updates that fit into `budget` bytes, and removes those sent `limit` times.
    pub(super) fn take(&mut self, budget: usize, limit: u32) -> Vec<Update> {
        let mut order: Vec<usize> = (0..self.items.len()).collect();
        order.sort_by_key(|index| self.items[*index].sent);
        let mut remaining = budget;
        let mut taken = Vec::new();
        for index in order {
            let item = &mut self.items[index];
            if item.size <= remaining {
                remaining -= item.size;
                item.sent += 1;
                taken.push(item.update.clone());
            }
        }
        self.items.retain(|_, item| item.sent < limit);
        taken
    }
}
