//! News that wait to ride on messages.

use base::Name;
use indexmap::IndexMap;

use super::message::News;

/// What a piece of news is about: newer news about the same takes its place.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Subject {
    Member(Name),
    Register(Name),
}

/// A piece of news and how often it was sent.
#[derive(Debug, Clone)]
struct Item {
    news: News,
    size: usize,
    sent: u32,
}

/// All news that still have to be sent.
#[derive(Debug, Clone, Default)]
pub(super) struct Queue {
    items: IndexMap<Subject, Item>,
}

impl Queue {
    /// Adds news, in place of older news about the same.
    pub(super) fn push(&mut self, news: News) {
        let subject = match &news {
            News::Member(rumour) => Subject::Member(rumour.record.name.clone()),
            News::Register(register) => Subject::Register(register.key.clone()),
        };
        let size = news.size();
        self.items.insert(subject, Item { news, size, sent: 0 });
    }

    /// Returns the least sent news that fit into `budget` bytes and forgets those sent `limit` times.
    pub(super) fn take(&mut self, budget: usize, limit: u32) -> Vec<News> {
        let mut order: Vec<usize> = (0..self.items.len()).collect();
        order.sort_by_key(|index| self.items[*index].sent);
        let mut left = budget;
        let mut taken = Vec::new();
        for index in order {
            let item = &mut self.items[index];
            if item.size <= left {
                left -= item.size;
                item.sent += 1;
                taken.push(item.news.clone());
            }
        }
        self.items.retain(|_, item| item.sent < limit);
        taken
    }
}
