//! The membership protocol (SWIM) as a state machine without input and output.
//!
//! The caller passes in the time and received messages, and carries out the returned [`Action`]s. Each period a router
//! probes one member. When no answer arrives, it probes over a new connection and through other members, then suspects
//! the member, which can refute the suspicion. Updates of members and registers are piggybacked on all messages, and a
//! periodic comparison of digests repairs losses.
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
mod membership;
mod merge;
mod message;
mod probe;
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
