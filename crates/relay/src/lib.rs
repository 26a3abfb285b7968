//! Forwarding of callers' requests to runners, by a router that balances load without a dispatcher.
//!
//! All tasks of a router run on one thread and share a [`Router`]. The requests to runners and the reading of their
//! responses are defined by a [`RunnerProtocol`]; `balance` makes the decisions.
//!
//! ```
//! let clock = relay::Clock::start();
//! assert!(clock.now() <= clock.now());
//! ```

mod acquire;
mod answer;
mod body;
mod buffer;
mod call;
mod capacity;
mod client;
mod clock;
mod crash_check;
mod crash_evidence;
mod crediting;
mod departure_report;
mod directory;
mod event;
mod exchange;
mod forward;
mod gossip;
mod heartbeat;
mod held;
mod lending;
mod message;
mod metrics;
mod notice;
mod pace_report;
mod pool;
mod rate_report;
mod records;
mod report;
pub mod rollout;
mod router;
mod sent_heartbeats;
mod server;
mod settings;
mod sse;
mod strangers;
mod stream;
mod upkeep;

pub use answer::Answer;
pub use answer::Problem;
pub use body::Error as BodyError;
pub use body::REQUEST_BYTES;
pub use body::read as read_body;
pub use call::AnswerClass;
pub use call::Attempt;
pub use call::Call;
pub use call::RunnerProtocol;
pub use capacity::Capacity;
pub use client::Client;
pub use clock::Clock;
pub use crash_check::check_breaks;
pub use directory::addresses;
pub use event::Journal;
pub use event::Line;
pub use forward::forward;
pub use heartbeat::exchange_heartbeats;
pub use held::Held;
pub use metrics::Gauges;
pub use metrics::Metrics;
pub use notice::Notice;
pub use notice::Pause;
pub use notice::Rate;
pub use notice::Slowness;
pub use records::Fetched;
pub use records::bind_records;
pub use records::fetch_records;
pub use records::serve_records;
pub use router::Router;
pub use router::Topic;
pub use server::Handler;
pub use server::Listener;
pub use settings::Error;
pub use settings::Settings;
pub use strangers::Strangers;
pub use stream::Stream;
pub use upkeep::keep_up;
