//! The membership protocol as a state machine without input and output.
//!
//! The caller passes the time and received messages in and carries out the returned [`Action`]s. Each period a
//! router probes one member, takes other ways when no answer comes, then suspects the member and lets it refute.
//! Update of members and registers ride on all messages, and a periodic comparison of digests repairs what was lost.
//!
//! ```
//! use std::time::Duration;
//!
//! let record = mesh::Record {
//!     name: "r1".into(),
//!     address: ([127, 0, 0, 1], 7_000).into(),
//!     zone: "a".into(),
//!     region: "north".into(),
//! };
//! let mut swim = mesh::swim::Swim::new(record, 1, mesh::swim::Timing::default(), 7);
//! assert!(swim.tick(Duration::ZERO).is_empty());
//! assert_eq!(swim.members().len(), 1);
//! ```

mod machine;
mod merge;
mod message;
mod probe;
mod roster;
mod sync;
mod updates;

pub use machine::Action;
pub use machine::Swim;
pub use machine::Timing;
pub use message::Kind;
pub use message::MESSAGE_LIMIT;
pub use message::Malformed;
pub use message::MemberUpdate;
pub use message::Message;
pub use message::Suspicion;
pub use message::Update;
