//! When callers are asked to connect elsewhere.
//!
//! Load pattern: a caller that floods keeps its open connections and its address, so one small instance gets all of it
//! while the others are idle. An instance whose requests for its processor share are well above the mean closes
//! connections after their answers, and one far above it is not named to callers.

/// The pressure above the mean from which on connections are closed.
const PRESSED: f64 = 1.6;
/// The requests a second below which no connection is closed.
const FEW: f64 = 12.0;
/// The part of connections that is closed at most.
const MOST: f64 = 0.6;

/// The pressure above the mean from which on an instance is not named to callers.
const FLOODED: f64 = 2.2;

/// Returns whether an instance gets so much more than its part that callers are to go elsewhere.
///
/// The arguments are those of [`closed_part`].
#[must_use]
pub fn is_flooded(requests: f64, share: f64, mean: f64) -> bool {
    requests >= FEW && requests > FLOODED * mean * share
}

/// Returns the part of the connections that is closed after their answers.
///
/// `requests` are those of this router in the last second and `share` its part of a processor; `mean` is the mean of
/// requests for a whole processor over all routers.
#[must_use]
pub fn closed_part(requests: f64, share: f64, mean: f64) -> f64 {
    if requests < FEW || mean <= 0.0 || share <= 0.0 {
        return 0.0;
    }
    let pressure = requests / share / mean;
    ((pressure - PRESSED) / PRESSED).clamp(0.0, MOST)
}
