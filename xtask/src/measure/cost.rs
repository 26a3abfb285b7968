//! The cost of control for the routers, from their own counters.

use error_stack::Report;
use error_stack::ResultExt;
use http::Method;
use rig::Fleet;
use serde::Deserialize;
use serde::Serialize;

use crate::Error;

/// The counters of a router at one time.
#[derive(Debug, Clone, Copy, Deserialize)]
pub(crate) struct Counters {
    sent_bytes: u64,
    frames_sent: u64,
    frames_received: u64,
    received_bytes: u64,
    control_cpu_us: u64,
    process_cpu_us: u64,
    rss_kb: u64,
    uptime_ms: u64,
}

/// The figures that a dispatcher reports for its shard.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct Shard {
    pub(crate) shard: Key,
    pub(crate) bound: u64,
    pub(crate) largest_gap: u64,
    pub(crate) utilisation: Option<f64>,
}

/// The key of a shard, of which only the service is read.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct Key {
    pub(crate) service: String,
}

/// The fields of a router's status that are measured.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct Status {
    pub(crate) shards: Vec<Shard>,
    pub(crate) control: Counters,
}

/// The cost of control of one router over an interval.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub(crate) struct Cost {
    /// Bytes sent and received per second.
    pub(crate) bytes_per_second: f64,
    /// Frames sent and received per second.
    pub(crate) frames_per_second: f64,
    /// Processor time of the control thread, in percent of a core.
    pub(crate) control_percent: f64,
    /// Processor time of the entire process, in percent of a core.
    pub(crate) process_percent: f64,
    /// Resident memory, in MiB.
    pub(crate) memory_mib: f64,
}

/// Reads the status of all routers.
pub(crate) async fn statuses(fleet: &Fleet) -> Result<Vec<Status>, Report<Error>> {
    let mut statuses = Vec::new();
    for index in 0..fleet.router_count() {
        let answer = fleet
            .send_as_operator(index, Method::GET, "/operator/status", "")
            .await
            .change_context(Error::Measure)?;
        statuses.push(serde_json::from_slice(answer.body()).change_context(Error::Measure)?);
    }
    Ok(statuses)
}

/// Returns the cost of each router between two readings.
pub(crate) fn between(before: &[Status], after: &[Status]) -> Vec<Cost> {
    before.iter().zip(after).map(|(before, after)| cost(before.control, after.control)).collect()
}

fn cost(before: Counters, after: Counters) -> Cost {
    let seconds = u64_as_f64(after.uptime_ms - before.uptime_ms) / 1_000.0;
    let bytes = after.sent_bytes + after.received_bytes - before.sent_bytes - before.received_bytes;
    let frames =
        after.frames_sent + after.frames_received - before.frames_sent - before.frames_received;
    let percent = |micros: u64| u64_as_f64(micros) / seconds / 10_000.0;
    Cost {
        bytes_per_second: u64_as_f64(bytes) / seconds,
        frames_per_second: u64_as_f64(frames) / seconds,
        control_percent: percent(after.control_cpu_us - before.control_cpu_us),
        process_percent: percent(after.process_cpu_us - before.process_cpu_us),
        memory_mib: u64_as_f64(after.rss_kb) / 1_024.0,
    }
}

/// Converts a counter to a floating-point number.
#[expect(clippy::cast_precision_loss, reason = "counters of a short run are far below 2^52")]
pub(crate) const fn u64_as_f64(number: u64) -> f64 {
    number as f64
}

/// Converts a number of items to a floating-point number.
#[expect(clippy::cast_precision_loss, reason = "counts of a short run are far below 2^52")]
pub(crate) const fn usize_as_f64(number: usize) -> f64 {
    number as f64
}
