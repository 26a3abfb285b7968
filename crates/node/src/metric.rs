//! Processor time and memory of the process, and metrics for a statsd collector.

use std::fs;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

use cadence::Gauged;
use cadence::StatsdClient;
use cadence::UdpMetricSink;
use error_stack::Report;
use error_stack::ResultExt;
use front::Counters;
use rustix::time::ClockId;
use rustix::time::clock_gettime;
use tokio::time;

use crate::Error;

/// Prefix of all metric names.
const PREFIX: &str = "aspenline";
/// Interval between two reports.
const REPORT_PERIOD: Duration = Duration::from_secs(1);
/// Size of a memory page, in KiB.
const PAGE_KIB: u64 = 4;

/// Returns the processor time of the calling thread, in microseconds.
pub(crate) fn thread_cpu_micros() -> u64 {
    clock_micros(ClockId::ThreadCPUTime)
}

/// Returns the processor time of the process, in microseconds.
pub(crate) fn process_cpu_micros() -> u64 {
    clock_micros(ClockId::ProcessCPUTime)
}

/// Returns the resident memory of the process, in KiB; zero when it is unknown.
pub(crate) fn resident_kib() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|field| field.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_KIB
}

/// Creates a client for a statsd collector.
///
/// # Errors
/// Returns [`Error::Metrics`] when no socket can be opened.
pub(crate) fn client(collector: SocketAddr) -> Result<StatsdClient, Report<Error>> {
    let socket = UdpSocket::bind(("0.0.0.0", 0)).change_context(Error::Metrics)?;
    socket.set_nonblocking(true).change_context(Error::Metrics)?;
    let sink = UdpMetricSink::from(collector, socket).change_context(Error::Metrics)?;
    Ok(StatsdClient::from_sink(PREFIX, sink))
}

/// Reports the call counters, memory and processor time at a fixed interval; never returns.
pub(crate) async fn report(client: StatsdClient, counters: Arc<Counters>) {
    let mut ticks = time::interval(REPORT_PERIOD);
    loop {
        ticks.tick().await;
        let counts = counters.snapshot();
        let gauges = [
            ("calls.accepted", counts.accepted),
            ("calls.answered", counts.answered),
            ("calls.cancelled", counts.cancelled),
            ("calls.retried", counts.retried),
            ("refusals.not_run", counts.not_run),
            ("refusals.may_have_run", counts.may_have_run),
            ("memory.resident_kib", resident_kib()),
            ("cpu.process_us", process_cpu_micros()),
        ];
        for (key, value) in gauges {
            if let Err(error) = client.gauge(key, value) {
                log::debug!("node: failed to send a metric: {error}");
            }
        }
    }
}

fn clock_micros(clock: ClockId) -> u64 {
    let time = clock_gettime(clock);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
    seconds * 1_000_000 + nanos / 1_000
}
