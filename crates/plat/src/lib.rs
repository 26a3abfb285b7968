//! Clients of the platform: its log service and its list of instances.
//!
//! A client keeps a small pool of connections. Every call has a timeout. The first call after a timeout uses a new
//! connection, since a device on the network path may have lost the state of the old one.
//!
//! ```
//! let log = plat::Log::new("127.0.0.1:9".parse().expect("an address"));
//! assert_eq!(log.address().port(), 9);
//! ```

mod client;
mod error;
mod instances;
mod log;

pub use client::Answer;
pub use client::Call;
pub use client::Client;
pub use error::Error;
pub use instances::Instance;
pub use instances::Instances;
pub use instances::Listing;
pub use log::Log;
pub use log::Page;
pub use log::Record;
pub use log::Span;
