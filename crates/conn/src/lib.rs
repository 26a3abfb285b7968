//! An HTTP/1.1 connection that is driven by the call that uses it.
//!
//! No background task drives a connection: it makes progress only while its user polls it. Dropping a call closes its
//! connection immediately, and an idle connection uses no processor time. Before each use the connection is polled
//! once, so that a close or stray bytes sent by the peer in the meantime are detected.
//!
//! ```
//! # tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime").block_on(async {
//! let unused = "127.0.0.1:9".parse().expect("an address");
//! let opened = conn::Connection::open(unused, std::time::Duration::from_millis(200)).await;
//! assert_eq!(opened.err(), Some(conn::Failure::NotSent));
//! # });
//! ```

mod connection;
mod filter;
mod overhead;

pub use connection::Connection;
pub use connection::Failure;
