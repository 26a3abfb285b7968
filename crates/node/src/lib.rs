//! A router process: its control thread, its traffic threads, and what joins them.
//!
//! [`run`] serves until the process is told to terminate, then leaves the fleet without cutting a call.
//!
//! ```no_run
//! let settings = conf::Settings::parse("{ /* see docs/settings.example.json */ }").expect("valid settings");
//! node::run(settings).expect("served until told to stop");
//! ```

mod control;
mod error;
mod input;
mod load;
mod metric;
mod process;
mod tail;
mod usage;

pub use control::lease;
pub use error::Error;
pub use process::run;
