//! The task that reads the claim stream.

use std::sync::Arc;
use std::time::Duration;

use plat::Error;

use crate::state::Shared;

/// Records in one read.
const READ_LIMIT: usize = 100;
/// How long a read waits for the next record.
const READ_WAIT: Duration = Duration::from_millis(300);
/// The pause after reads that failed more than once.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);

/// Reads the stream for ever.
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
            tokio::time::sleep(FAILURE_PAUSE).await;
        }
    }
}

async fn start(shared: &Shared) -> Result<(), Error> {
    let span = shared.log.span(&shared.settings.stream).await?;
    log::info!("claim: reading the window from offset {} to {}", span.first, span.next);
    shared.state().tail.restart(span.first, span.next);
    Ok(())
}

async fn read(shared: &Shared, position: u64) -> Result<(), Error> {
    let settles_window = shared.state().tail.settles_window();
    let wait = if settles_window { Duration::ZERO } else { READ_WAIT };
    let page = shared.log.read(&shared.settings.stream, position, READ_LIMIT, wait).await;
    let mut state = shared.state();
    match page {
        Ok(page) => state.take_in(&page),
        Err(Error::Gone { first, next }) => {
            log::warn!("claim: records {position} to before {first} are no longer retained");
            state.tail.restart(first, next);
        }
        Err(error) => return Err(error),
    }
    state.health.read_worked();
    Ok(())
}
