//! Follows the platform: its instance list and the streams of its log.

use std::time::Duration;

use plat::Instances;
use plat::Log;
use plat::Page;
use tokio::sync::mpsc;
use tokio::time;

use crate::input::Input;

/// The log stream of configurations.
pub(crate) const CONFIG_STREAM: &str = "config";
/// The log stream of zones and instances that are out.
pub(crate) const PLACEMENT_STREAM: &str = "placement";
/// Time from one look at the instance list to the next.
const INSTANCES_PERIOD: Duration = Duration::from_millis(1_000);
/// Time from one look to the next for as long as the list names nobody, as when a fleet starts.
const EMPTY_LIST_PERIOD: Duration = Duration::from_millis(100);
/// Time before the log is asked again after a failure.
const LOG_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Longest wait for new records in one read.
const READ_WAIT: Duration = Duration::from_secs(10);
/// Largest number of records in one read.
const READ_LIMIT: usize = 256;

/// Follows the instance list; ends when the control thread is gone.
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
            Err(error) => log::debug!("node: the instance list is not available: {error}"),
        }
        time::sleep(period).await;
    }
}

/// Follows the configuration stream; ends when the control thread is gone.
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

/// Follows the placement stream; ends when the control thread is gone.
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
