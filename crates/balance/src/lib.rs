//! Load balancing decisions of a router, without input or output.
//!
//! There is no dispatcher: each router decides on the requests of its own callers. Limits that hold over all routers
//! are divided between them, and routers report to each other the load that they have placed on runners. All methods
//! take the time as an argument.
//!
//! ```
//! use std::time::Duration;
//!
//! let mut window = balance::Window::new(Duration::from_secs(1));
//! window.add(Duration::ZERO, 2);
//! assert_eq!(window.sum(Duration::from_millis(500)), 2);
//! assert_eq!(window.sum(Duration::from_millis(1_500)), 0);
//! ```

mod adaptive_limit;
mod aggregation;
mod cause;
mod choice;
mod cold_limit;
mod contention;
mod core;
mod crash_history;
mod decision;
mod departure;
pub mod era;
mod fair_share;
mod fleet_limits;
mod health;
mod load;
mod member;
mod origin;
mod prefix_cache;
mod quarantine;
mod queue;
mod read_schedule;
mod read_source;
mod rebalance;
mod registry;
mod rendezvous;
mod request;
mod retry_budget;
mod room_part;
mod route;
mod runner;
mod shares;
mod table;
mod topic_view;
mod usage;
mod window;

pub use adaptive_limit::AdaptiveLimit;
pub use adaptive_limit::LoadLimits;
pub use aggregation::Aggregation;
pub use aggregation::ranks_first;
pub use aggregation::targets;
pub use cause::Cause;
pub use cause::Crash;
pub use cause::Evidence;
pub use cold_limit::ColdLimit;
pub use contention::Contention;
pub use contention::EngineRoom;
pub use core::Core;
pub use crash_history::Admission;
pub use crash_history::CrashHistory;
pub use crash_history::Distance;
pub use decision::Decision;
pub use decision::Grant;
pub use decision::Outcome;
pub use decision::Refusal;
pub use departure::Departures;
pub use departure::Removal;
pub use departure::Start;
pub use fair_share::FairShare;
pub use fleet_limits::FleetLimits;
pub use health::Health;
pub use load::Load;
pub use load::PeerLoads;
pub use member::Identity;
pub use member::Member;
pub use member::MemberStatus;
pub use member::Members;
pub use origin::Origin;
pub use prefix_cache::PrefixCache;
pub use queue::Ticket;
pub use read_schedule::Candidate;
pub use read_schedule::ReadSchedule;
pub use read_schedule::is_reader;
pub use read_schedule::unshared_retry_delay;
pub use read_source::StoreContact;
pub use read_source::source;
pub use rebalance::accept_backlog;
pub use rebalance::close_fraction;
pub use rebalance::is_overloaded;
pub use registry::Registry;
pub use rendezvous::digest;
pub use request::Part;
pub use request::Prompt;
pub use request::Request;
pub use retry_budget::RetryBudget;
pub use route::Engine;
pub use route::Kind;
pub use route::Route;
pub use route::Service;
pub use route::Split;
pub use runner::Key;
pub use runner::Registration;
pub use runner::Runner;
pub use table::Access;
pub use table::Denied;
pub use table::Table;
pub use topic_view::Change;
pub use topic_view::Record;
pub use topic_view::RemovedKeys;
pub use topic_view::TopicView;
pub use usage::Usage;
pub use usage::Work;
pub use window::Window;
