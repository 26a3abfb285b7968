//! Rebalancing of callers: decides when a router closes connections so that callers connect to other routers.
//!
//! Load pattern: a caller that sends far too many requests reuses its open connections and its address, so one small
//! instance receives all of them while the others are idle. An instance whose requests are well above the mean for its
//! processor share closes connections after their answers, and the addresses of an instance far above the mean are not
//! given to callers. Connections that the instance could not serve in time are not accepted, so that the requests it
//! does serve are answered in time.

/// The ratio of requests to the mean above which connections are closed.
const CLOSE_RATIO: f64 = 1.6;
/// The requests per second below which no connection is closed.
const MIN_REQUESTS: f64 = 12.0;
/// The largest fraction of connections that is closed.
const MAX_CLOSE_FRACTION: f64 = 0.6;

/// The ratio of requests to the mean above which the address of an instance is not given to callers.
const OVERLOAD_RATIO: f64 = 2.2;

/// The approximate number of connections that a whole processor accepts and serves per second.
const CONNECTIONS_PER_SECOND: f64 = 2_500.0;
/// The longest time that a connection should wait to be accepted, in seconds.
const MAX_ACCEPT_WAIT_S: f64 = 0.2;
/// The smallest accept backlog, in connections, which has room for callers that reconnect at the same time.
const MIN_BACKLOG: f64 = 48.0;
/// The largest accept backlog, in connections.
const MAX_BACKLOG: f64 = 1_024.0;

/// Returns the number of connections that may wait to be accepted by an instance with this share of a processor.
///
/// The kernel establishes no connection beyond them, which costs the instance nothing. Depending on its configuration,
/// it refuses such a connection or lets the attempt time out; the caller then tries another address.
#[must_use]
pub fn accept_backlog(share: f64) -> u32 {
    let backlog = share * CONNECTIONS_PER_SECOND * MAX_ACCEPT_WAIT_S;
    backlog.clamp(MIN_BACKLOG, MAX_BACKLOG) as u32
}

/// Returns whether an instance receives so much more than its share that callers must be directed to other instances.
///
/// The arguments are those of [`close_fraction`].
#[must_use]
pub fn is_overloaded(requests: f64, share: f64, mean: f64) -> bool {
    requests >= MIN_REQUESTS && requests > OVERLOAD_RATIO * mean * share
}

/// Returns the fraction of connections that is closed after their answers.
///
/// `requests` is the number of requests of this router in the last second, `share` its share of a processor, and `mean`
/// the mean number of requests per whole processor over all routers.
#[must_use]
pub fn close_fraction(requests: f64, share: f64, mean: f64) -> f64 {
    if requests < MIN_REQUESTS || mean <= 0.0 || share <= 0.0 {
        return 0.0;
    }
    let ratio = requests / share / mean;
    ((ratio - CLOSE_RATIO) / CLOSE_RATIO).clamp(0.0, MAX_CLOSE_FRACTION)
}
