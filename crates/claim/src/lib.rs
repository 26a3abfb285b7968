//! At-most-once claims of non-idempotent calls, recorded in the platform's log.
//!
//! A router appends a claim before it sends the first byte of such a call, and sends the call only if it has read the
//! claim back as the first of its key. [`Table`] applies the entries of the log and decides; [`Claims`] reads and
//! appends them.
//!
//! ```
//! use claim::Entry;
//! use claim::Limits;
//! use claim::Resolution;
//! use claim::Table;
//! use std::time::Duration;
//!
//! let mut table = Table::new(Limits::new(Duration::from_secs(3600), Duration::from_secs(2)));
//! let scope = claim::Scope::new("acme", "orders", uuid::Uuid::now_v7());
//! let [first, second] = [1, 2].map(|id| claim::Claim {
//!     scope: scope.clone(),
//!     id: uuid::Uuid::from_u128(id),
//!     request: uuid::Uuid::now_v7(),
//!     router: "r1".into(),
//!     digest: claim::Digest::of(b"content"),
//! });
//! assert_eq!(table.apply(&Entry::Claim(first)), Some(Resolution::Acquired));
//! assert_eq!(table.apply(&Entry::Claim(second)), Some(Resolution::Void));
//! ```

mod answer;
mod claims;
mod commit;
mod crashes;
mod decision;
mod digest;
mod entry;
mod health;
mod limits;
mod queue;
mod scope;
mod settings;
mod state;
mod status;
mod table;
mod tail;

pub use answer::Answer;
pub use claims::Claims;
pub use crashes::Admission;
pub use crashes::Crashes;
pub use decision::Decision;
pub use decision::Refusal;
pub use decision::Ticket;
pub use digest::Digest;
pub use entry::Claim;
pub use entry::Entry;
pub use entry::Outcome;
pub use entry::Release;
pub use entry::decode;
pub use entry::encode;
pub use limits::Limits;
pub use scope::Scope;
pub use settings::Request;
pub use settings::Settings;
pub use status::Status;
pub use table::KeyState;
pub use table::Resolution;
pub use table::Table;
