//! When callers are asked to connect elsewhere.
//!
//! Load pattern: a caller that floods keeps its open connections and its address, so one small instance gets all of it
//! while the others are idle. An instance whose requests for its processor share are well above the mean closes
//! connections after their answers, and one far above it is not named to callers. What it can't serve in time anyway is
//! not let in, so that what it does serve is in time.

/// The pressure above the mean from which on connections are closed.
const PRESSED: f64 = 1.6;
/// The requests a second below which no connection is closed.
const FEW: f64 = 12.0;
/// The part of connections that is closed at most.
const MOST: f64 = 0.6;

/// The pressure above the mean from which on an instance is not named to callers.
const FLOODED: f64 = 2.2;

/// Connections that a whole processor accepts and serves in a second, roughly.
const CONNECTIONS_PER_SECOND: f64 = 2_500.0;
/// The longest time for which a connection is to wait until it is accepted, in seconds.
const ACCEPT_WAIT_S: f64 = 0.2;
/// The fewest connections that may wait, so that callers who come back together find a place.
const LEAST_WAITING: f64 = 48.0;
/// The most connections that may wait.
const MOST_WAITING: f64 = 1_024.0;

/// Returns how many connections may wait to be accepted by an instance with this part of a processor.
///
/// The kernel sets up none beyond them, which costs the instance nothing. It refuses such a connection or lets the caller
/// try in vain, as it is configured; the caller then tries another address.
#[must_use]
pub fn accept_backlog(share: f64) -> u32 {
    let waiting = share * CONNECTIONS_PER_SECOND * ACCEPT_WAIT_S;
    waiting.clamp(LEAST_WAITING, MOST_WAITING) as u32
}

/// Returns whether an instance gets so much more than its part that callers are to go elsewhere.
///
/// The arguments are those of [`close_fraction`].
#[must_use]
pub fn is_overloaded(requests: f64, share: f64, mean: f64) -> bool {
    requests >= FEW && requests > FLOODED * mean * share
}

/// Returns the part of the connections that is closed after their answers.
///
/// `requests` are those of this router in the last second and `share` its part of a processor; `mean` is the mean of
/// requests for a whole processor over all routers.
#[must_use]
pub fn close_fraction(requests: f64, share: f64, mean: f64) -> f64 {
    if requests < FEW || mean <= 0.0 || share <= 0.0 {
        return 0.0;
    }
    let pressure = requests / share / mean;
    ((pressure - PRESSED) / PRESSED).clamp(0.0, MOST)
}
