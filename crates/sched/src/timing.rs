//! Intervals and timeouts shared by dispatchers and entries.

use std::time::Duration;

/// Time without a poll after which a dispatcher must begin a new term before it grants.
pub const LEASE: Duration = Duration::from_millis(1_500);
/// Longest wait for the answers of the members at the start of a term.
pub const GATHER_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after a loss of members before a side of a partition grants, unless it granted before and kept the majority.
pub const PARTITION_SETTLE_TIME: Duration = Duration::from_secs(3);
/// Time after a loss of members before the minority side refuses requests that it cannot serve.
pub const MINORITY_REFUSE_DELAY: Duration = Duration::from_secs(3);
/// Period at which members that have not answered are asked again.
pub const ASK_PERIOD: Duration = Duration::from_millis(500);
/// Period at which changed fairness counters are sent to the successors.
pub const TOTALS_PERIOD: Duration = Duration::from_millis(500);
/// Smallest time between two usage reports of an entry.
pub const MIN_USAGE_INTERVAL: Duration = Duration::from_millis(250);
/// Time from the grant of a request to the first report of its usage; the interval then doubles.
pub const FIRST_REPORT: Duration = Duration::from_millis(500);
/// Longest time between two reports of the usage of a running request.
pub const MAX_REPORT_PERIOD: Duration = Duration::from_secs(8);
/// Time without a report after which a dispatcher asks the entry about a running request.
pub const AUDIT_DELAY: Duration = Duration::from_secs(10);
/// Interval at which a grant that the entry has not confirmed is resent.
pub const GRANT_RESEND: Duration = Duration::from_secs(1);
/// Interval at which a waiting request without an answer is resent.
pub const ENQUEUE_RESEND: Duration = Duration::from_secs(4);
/// Time that a new owner has to ask an entry before the entry resends its waiting requests.
pub const TAKEOVER_GRACE: Duration = Duration::from_millis(750);
/// Time after the deadline of a waiting request at which the entry itself refuses it.
pub const REFUSE_GRACE: Duration = Duration::from_millis(500);
/// Longest transit time of a frame or request between two processes that decisions allow for.
pub const MAX_TRANSIT: Duration = Duration::from_millis(500);
/// Period at which a dispatcher publishes the work it has served to the other shards of its service.
pub const SERVED_PERIOD: Duration = Duration::from_millis(500);
/// Smallest time between two frames that report free slots.
pub const MIN_FREE_SLOTS_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which reported free slots of another shard are valid.
pub const FREE_SLOTS_VALIDITY: Duration = Duration::from_secs(4);
/// Longest time between two polls of a dispatcher.
pub const MAX_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Time after the last interactive request during which further ones are likely.
pub const RESERVE_HOLD: Duration = Duration::from_secs(10);
/// Wait of a long or plain request after which it gets every fourth grant of its workspace.
pub const AGING_THRESHOLD: Duration = Duration::from_secs(10);
/// Time after which a plain runner without load reports is tried again.
pub const SUSPECT_RETRY_DELAY: Duration = Duration::from_secs(5);
/// Time after which the requests of a lost entry count as ended on an engine without reports.
pub const ENGINE_ORPHAN_TIMEOUT: Duration = Duration::from_secs(600);
/// Time after which the requests of a lost entry count as ended on a plain runner.
pub const PLAIN_ORPHAN_TIMEOUT: Duration = Duration::from_secs(30);
/// Time without a call after which an entry rejects grants until a dispatcher asks it again.
pub const ENTRY_LEASE: Duration = Duration::from_secs(1);
/// Period at which unchanged fairness counters are resent to the successors.
pub const TOTALS_REPEAT_PERIOD: Duration = Duration::from_secs(4);
