//! Fakes of the systems around the fleet, for tests: platform, store, runners and a network with faults.
//!
//! ```
//! assert_eq!(fake::engine::token("hello", 3), fake::engine::token("hello", 3));
//! assert_ne!(fake::engine::token("hello", 3), fake::engine::token("hello", 4));
//! ```

pub mod connection;
pub mod endpoint;
pub mod engine;
pub mod journal;
pub mod platform;
pub mod proxy;
pub mod reply;
pub mod server;
pub mod service;
pub mod store;
