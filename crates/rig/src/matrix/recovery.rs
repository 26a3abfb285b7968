//! Outcome faults, and the proof that the fleet works afterwards.

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

/// How long after a fault each router must serve each kind of call again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);
/// Longest wait for a single call after a fault.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two tries.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Tokens of the model call after a fault.
const TOKENS: u32 = 3;

impl CellRun<'_> {
    /// Ends the fault, but starts no router again.
    pub(super) async fn end_fault(&mut self) -> Result<(), Report<Error>> {
        end_faults(self.testbed).await
    }
}

async fn end_faults(testbed: &mut Testbed) -> Result<(), Report<Error>> {
    for index in 0..testbed.fleet.router_count() {
        if testbed.fleet.routers[index].process.is_running() {
            testbed.fleet.resume(index)?;
        }
    }
    let none = Faults {
        log_down: Some(false),
        log_delay_ms: Some(0),
        read_delay_ms: Some(0),
        lose_answers: None,
        instances_down: Some(false),
    };
    testbed.set_platform_faults(none).await?;
    testbed.fleet.clear_network_faults().await
}

/// Starts what was killed, and returns what doesn't work afterwards.
pub(super) async fn restore(testbed: &mut Testbed) -> Result<Vec<String>, Report<Error>> {
    end_faults(testbed).await?;
    testbed.set_platform_faults(Faults { lose_answers: Some(0), ..Faults::default() }).await?;
    for index in 0..testbed.fleet.router_count() {
        if !testbed.fleet.routers[index].process.is_running() {
            testbed.fleet.restart(index)?;
        }
    }
    warm_engines(testbed).await?;
    let mut faults = check_service(testbed).await;
    for router in &testbed.fleet.routers {
        let log = router.process.log();
        if let Some(line) = log.lines().find(|line| line.contains("panicked")) {
            faults.push(format!("{} panicked: {line}", router.name()));
        }
    }
    Ok(faults)
}

/// Turns all engines warm, also those that have just fallen.
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

/// Makes a call of each kind at each router and returns what failed.
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

/// Tries a call until it succeeds in time; a non-idempotent call keeps its key.
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
                "afterwards r{} serves no {class} call: {status:?} {problem:?}",
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
