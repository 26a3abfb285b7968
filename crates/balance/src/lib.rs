//! Decisions of a router that balances by itself, without input or output.
//!
//! Each router decides on its own callers' requests. Limits that hold over all routers are divided between them, and
//! routers tell each other the load that they have placed on runners. All methods take the time as an argument.
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
mod choice;
mod cold_limit;
mod core;
mod crash_history;
mod health;
mod keyed;
mod load;
mod member;
mod prefix_cache;
mod queue;
mod registry;
mod rendezvous;
mod request;
mod retry_budget;
mod route;
mod runner;
mod spread;
mod table;
mod usage;
mod watch;
mod window;

pub use adaptive_limit::AdaptiveLimit;
pub use adaptive_limit::LoadLimits;
pub use cold_limit::ColdLimit;
pub use core::Core;
pub use core::Decision;
pub use core::FleetLimits;
pub use core::Grant;
pub use core::Outcome;
pub use crash_history::CrashHistory;
pub use health::Health;
pub use keyed::Change;
pub use keyed::Keyed;
pub use keyed::Record;
pub use load::Load;
pub use load::PeerLoads;
pub use member::Identity;
pub use member::Member;
pub use member::Members;
pub use member::Pulse;
pub use prefix_cache::PrefixCache;
pub use queue::Ticket;
pub use registry::Registry;
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
pub use spread::closed_part;
pub use spread::is_flooded;
pub use spread::waiting_connections;
pub use table::Access;
pub use table::Denied;
pub use table::Table;
pub use usage::Usage;
pub use watch::Watch;
pub use watch::is_reader;
pub use watch::own_retry_pause;
pub use window::Window;
