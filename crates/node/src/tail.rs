//! Background tasks that follow the platform's instance list and the streams of its log.

use std::time::Duration;

use plat::Instances;
use plat::Log;
use plat::Page;
use tokio::sync::mpsc;
use tokio::time;

use crate::input::Input;

/// Name of the log stream of configurations.
pub(crate) const CONFIG_STREAM: &str = "config";
/// Name of the log stream of orders that take zones and instances out of service or return them.
pub(crate) const PLACEMENT_STREAM: &str = "placement";
/// Interval between two requests for the instance list.
const INSTANCES_PERIOD: Duration = Duration::from_millis(1_000);
/// Interval between two requests while the list is empty, as when a fleet starts.
const EMPTY_LIST_PERIOD: Duration = Duration::from_millis(100);
/// Delay before the log is read again after a failure.
const LOG_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Maximum time that one read waits for new records.
const READ_WAIT: Duration = Duration::from_secs(10);
/// Maximum number of records in one read.
const READ_LIMIT: usize = 256;

/// Polls the instance list; returns when the control thread has ended.
pub(crate) async fn instances(instances: Instances, inputs: mpsc::Sender<Input>) {
    let mut period = EMPTY_LIST_PERIOD;
    loop {
        match instances.fetch().await {
            Ok(list) => {
                period =
                    if list.instances.is_empty() { EMPTY_LIST_PERIOD } else { INSTANCES_PERIOD };
                if inputs.send(Input::Instances(list)).await.is_err() {
                    return;
                }
            }
            Err(error) => log::debug!("node: failed to fetch the instance list: {error}"),
        }
        time::sleep(period).await;
    }
}

/// Follows the configuration stream; returns when the control thread has ended.
pub(crate) async fn config(log: Log, inputs: mpsc::Sender<Input>) {
    let mut from = 1;
    loop {
        let sent = match log.read(CONFIG_STREAM, from, READ_LIMIT, READ_WAIT).await {
            Ok(page) => {
                from = next_offset(&page, from);
                let records = page
                    .records
                    .into_iter()
                    .map(|record| Input::Config { offset: record.offset, body: record.body });
                send_all(&inputs, records.chain([Input::Log { up: true }])).await
            }
            Err(plat::Error::Gone { first, .. }) => {
                from = first;
                send_all(&inputs, [Input::ConfigTrimmed]).await
            }
            Err(_) => {
                time::sleep(LOG_RETRY_DELAY).await;
                send_all(&inputs, [Input::Log { up: false }]).await
            }
        };
        if !sent {
            return;
        }
    }
}

/// Follows the placement stream; returns when the control thread has ended.
pub(crate) async fn placement(log: Log, inputs: mpsc::Sender<Input>) {
    let mut from = 1;
    loop {
        let sent = match log.read(PLACEMENT_STREAM, from, READ_LIMIT, READ_WAIT).await {
            Ok(page) => {
                from = next_offset(&page, from);
                send_all(
                    &inputs,
                    page.records.into_iter().map(|record| Input::Placement { body: record.body }),
                )
                .await
            }
            Err(plat::Error::Gone { first, .. }) => {
                from = first;
                true
            }
            Err(_) => {
                time::sleep(LOG_RETRY_DELAY).await;
                !inputs.is_closed()
            }
        };
        if !sent {
            return;
        }
    }
}

fn next_offset(page: &Page, from: u64) -> u64 {
    page.records.last().map_or(from, |record| record.offset + 1)
}

async fn send_all(inputs: &mpsc::Sender<Input>, batch: impl IntoIterator<Item = Input>) -> bool {
    for input in batch {
        if inputs.send(input).await.is_err() {
            return false;
        }
    }
    true
}
