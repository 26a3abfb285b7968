//! Clears faults and checks that the fleet works afterwards.

use std::time::Duration;

use error_stack::Report;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::Answer;
use crate::Call;
use crate::Caller;
use crate::Error;
use crate::Faults;
use crate::matrix::Testbed;
use crate::matrix::cell::MODEL_SERVICE;
use crate::matrix::cell::PLAIN_SERVICE;
use crate::matrix::cell_run::CellRun;
use crate::matrix::check;
use crate::matrix::testbed::PROBE_WORKSPACE;

/// The time after a fault within which each router must serve each kind of call again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);
/// The timeout for a single call after a fault.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// The delay before a call or a request to a runner is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// The number of tokens of the model call after a fault.
const TOKENS: u32 = 3;

impl CellRun<'_> {
    /// Clears the fault without restarting killed routers.
    pub(super) async fn end_fault(&mut self) -> Result<(), Report<Error>> {
        clear_faults(self.testbed).await
    }
}

async fn clear_faults(testbed: &mut Testbed) -> Result<(), Report<Error>> {
    for index in 0..testbed.fleet.router_count() {
        if testbed.fleet.routers[index].process.is_running() {
            testbed.fleet.resume(index)?;
        }
    }
    let no_faults = Faults {
        log_down: Some(false),
        log_delay_ms: Some(0),
        read_delay_ms: Some(0),
        lose_answers: None,
        instances_down: Some(false),
    };
    testbed.set_platform_faults(no_faults).await?;
    testbed.fleet.clear_network_faults().await
}

/// Clears all faults, restarts killed routers and returns the failed checks of the fleet.
pub(super) async fn restore(testbed: &mut Testbed) -> Result<Vec<String>, Report<Error>> {
    clear_faults(testbed).await?;
    testbed.set_platform_faults(Faults { lose_answers: Some(0), ..Faults::default() }).await?;
    for index in 0..testbed.fleet.router_count() {
        if !testbed.fleet.routers[index].process.is_running() {
            testbed.fleet.restart(index)?;
        }
    }
    warm_engines(testbed).await?;
    let mut failures = check_service(testbed).await;
    for router in &testbed.fleet.routers {
        let log = router.process.log();
        if let Some(line) = log.lines().find(|line| line.contains("panicked")) {
            failures.push(format!("{} panicked: {line}", router.name()));
        }
    }
    Ok(failures)
}

/// Turns all engines warm, and retries until engines that have just crashed answer again.
async fn warm_engines(testbed: &Testbed) -> Result<(), Report<Error>> {
    let deadline = Instant::now() + RECOVERY_TIMEOUT;
    let engines =
        testbed.fleet.runners().iter().filter(|(name, _)| name.starts_with(MODEL_SERVICE));
    for (_, engine) in engines {
        while let Err(error) = engine.control("warm", &json!({})).await {
            if Instant::now() >= deadline {
                return Err(error);
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
    Ok(())
}

/// Sends a call of each kind to each router and returns the failures.
async fn check_service(testbed: &mut Testbed) -> Vec<String> {
    let mut tasks = JoinSet::new();
    for router in 0..testbed.fleet.router_count() {
        let text = testbed.unique_text("afterwards");
        let calls = [
            Call::completion(MODEL_SERVICE, &text, TOKENS),
            Call::lookup(PLAIN_SERVICE, "/routes/17"),
            Call::non_idempotent(PLAIN_SERVICE, "/ascents", &text),
        ];
        for call in calls {
            let caller = testbed.fleet.caller_of(PROBE_WORKSPACE, router);
            tasks.spawn(async move { retry_until_served(&caller, call, router).await });
        }
    }
    let results = tasks.join_all().await;
    results.into_iter().filter_map(Result::err).collect()
}

/// Retries a call until it succeeds; a non-idempotent call keeps its key.
///
/// # Errors
/// Returns a description of the last answer if the call doesn't succeed before the timeout.
async fn retry_until_served(caller: &Caller, call: Call, router: usize) -> Result<(), String> {
    let call = call.timeout(CALL_TIMEOUT);
    let deadline = Instant::now() + RECOVERY_TIMEOUT;
    loop {
        let answer = caller.call(&call).await;
        if is_correct(&call, &answer) {
            return Ok(());
        }
        if Instant::now() >= deadline {
            let class = call.effective_class();
            let (status, problem) = (answer.status, answer.problem);
            return Err(format!(
                "after the fault, r{} serves no {class} call: {status:?} {problem:?}",
                router + 1
            ));
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

fn is_correct(call: &Call, answer: &Answer) -> bool {
    match call.effective_class() {
        base::Class::Lookup => answer.is_success(),
        _ => check::check_answer(call, answer, false) == Ok(crate::matrix::Outcome::Complete),
    }
}
