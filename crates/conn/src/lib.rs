//! An HTTP/1.1 connection that is driven by the call that uses it.
//!
//! No task runs a connection: it makes progress only while its user polls it. A call that is dropped closes its
//! connection at once, and an idle connection costs nothing. Before each use the connection is looked at once, so that
//! an end or stray bytes sent meanwhile are noticed.
//!
//! ```
//! # tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime").block_on(async {
//! let nobody = "127.0.0.1:9".parse().expect("an address");
//! let opened = conn::Connection::open(nobody, std::time::Duration::from_millis(200)).await;
//! assert_eq!(opened.err(), Some(conn::Failure::NotSent));
//! # });
//! ```

mod connection;

pub use connection::Connection;
pub use connection::Failure;
