//! Basic types shared by all crates: names, ids, classes, verdicts, costs, clocks and events of the timeline.
//!
//! ```
//! let verdict = base::Verdict::NotRun;
//! assert_eq!(verdict.to_string(), "not-run");
//! ```

mod class;
mod clock;
mod cost;
mod event;
mod name;
mod request;
mod verdict;

pub use class::Class;
pub use clock::Clock;
pub use clock::Stamp;
pub use cost::Cost;
pub use event::Event;
pub use event::Kind as EventKind;
pub use event::Ring;
pub use name::Name;
pub use request::Attempt;
pub use request::Id as RequestId;
pub use verdict::Verdict;
