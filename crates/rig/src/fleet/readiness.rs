//! Waits until a fleet is ready for calls.

use std::time::Duration;

use error_stack::Report;
use tokio::time::Instant;

use crate::Caller;
use crate::Error;
use crate::Fleet;
use crate::InstanceState;
use crate::plan;

/// The maximum number of addresses in one answer of a router.
const MAX_ADDRESSES: usize = 4;
/// The time between two checks of the routers.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

impl Fleet {
    /// Waits until each live, running router returns the addresses of all live routers, up to the maximum of an answer.
    ///
    /// # Errors
    /// Returns [`Error::Timeout`] with the last answers if that takes too long.
    pub async fn wait_until_ready(&mut self, timeout: Duration) -> Result<(), Report<Error>> {
        let deadline = Instant::now() + timeout;
        loop {
            let unready = self.unready_routers().await?;
            if unready.is_empty() {
                return Ok(());
            }
            if Instant::now() >= deadline {
                return Err(Report::new(Error::Timeout(
                    "a fleet whose routers know each other".to_owned(),
                ))
                .attach(unready.join("; ")));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Describes each router that doesn't return enough addresses yet.
    async fn unready_routers(&mut self) -> Result<Vec<String>, Report<Error>> {
        let workspace = self.workspaces.first();
        let workspace =
            workspace.ok_or_else(|| Report::new(Error::Unknown("workspace".to_owned())))?;
        let caller = Caller::new(&plan::token(workspace), &[]);
        let mut live = Vec::new();
        for router in &mut self.routers {
            if router.state == InstanceState::Live && router.process.is_running() {
                live.push((router.name().to_owned(), router.caller_address()));
            }
        }
        let expected_count = live.len().min(MAX_ADDRESSES);
        let mut unready = Vec::new();
        for (name, address) in &live {
            match caller.addresses_at(*address, "").await {
                Ok(found) if found.addresses.len() >= expected_count => {}
                Ok(found) => unready.push(format!("{name}: {} addresses", found.addresses.len())),
                Err(error) => unready.push(format!("{name}: {error}")),
            }
        }
        Ok(unready)
    }
}
