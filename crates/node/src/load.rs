//! Polls the runners of this router's shards for their load reports.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time;
use tokio::time::MissedTickBehavior;
use tokio_util::task::TaskTracker;

use crate::input::Input;
use crate::input::LoadTarget;

/// Interval between two polling rounds.
const LOAD_PERIOD: Duration = Duration::from_millis(400);
/// Timeout for one report.
const LOAD_TIMEOUT: Duration = Duration::from_millis(350);

/// Polls all targets in rounds; returns when the control thread has ended.
pub(crate) async fn poll(targets: watch::Receiver<Vec<LoadTarget>>, inputs: mpsc::Sender<Input>) {
    let connections = TaskTracker::new();
    let mut ticks = time::interval(LOAD_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let mut round = JoinSet::new();
        for target in targets.borrow().iter().cloned() {
            let connections = connections.clone();
            round.spawn(async move {
                let load = front::fetch_load(&connections, target.address, LOAD_TIMEOUT).await;
                Input::Load { shard: target.shard, runner: target.runner, load }
            });
        }
        while let Some(answer) = round.join_next().await {
            let Ok(input) = answer else { continue };
            if inputs.send(input).await.is_err() {
                return;
            }
        }
    }
}
