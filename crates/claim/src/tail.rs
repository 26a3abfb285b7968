//! The task that reads the claim stream.

use std::sync::Arc;
use std::time::Duration;

use plat::Error;

use crate::state::Shared;

/// Maximum number of records in one read.
const MAX_RECORDS_PER_READ: usize = 100;
/// Maximum time for which a read waits for the next record.
const MAX_READ_WAIT: Duration = Duration::from_millis(300);
/// Delay before the next read after two lost reads in a row, or after one that was definitely not executed.
const FAILURE_DELAY: Duration = Duration::from_millis(200);

/// Reads the stream until the task is cancelled.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        let position = shared.state().tail.position;
        let result = match position {
            None => start(&shared).await,
            Some(position) => read(&shared, position).await,
        };
        let failures = match result {
            Ok(()) => 0,
            Err(error) => shared.state().health.read_failed(error),
        };
        if failures > 1 {
            tokio::time::sleep(FAILURE_DELAY).await;
        }
    }
}

async fn start(shared: &Shared) -> Result<(), Error> {
    let span = shared.log.span(&shared.settings.stream).await?;
    log::info!("claim: reading the window from offset {} up to {}", span.first, span.next);
    shared.state().tail.restart(span.first, span.next);
    Ok(())
}

async fn read(shared: &Shared, position: u64) -> Result<(), Error> {
    let is_window_read = shared.state().tail.is_window_read();
    let wait = if is_window_read { Duration::ZERO } else { MAX_READ_WAIT };
    let page = shared.log.read(&shared.settings.stream, position, MAX_RECORDS_PER_READ, wait).await;
    let mut state = shared.state();
    match page {
        Ok(page) => state.apply_page(&page),
        Err(Error::Gone { first, next }) => {
            log::warn!("claim: missed records {position} to before {first}, no longer retained");
            state.tail.restart(first, next);
        }
        Err(error) => return Err(error),
    }
    state.health.read_succeeded();
    Ok(())
}
