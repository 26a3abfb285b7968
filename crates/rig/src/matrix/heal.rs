//! Ending faults, and the proof that the fleet works afterwards.

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
use crate::matrix::Ground;
use crate::matrix::cell::MODEL;
use crate::matrix::cell::PLAIN;
use crate::matrix::check;
use crate::matrix::ground::PROBE;
use crate::matrix::trial::Trial;

/// How long after a fault each router must serve each kind of call again.
const SERVE_TIMEOUT: Duration = Duration::from_secs(15);
/// Longest wait for a single call after a fault.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two tries.
const TRY_PAUSE: Duration = Duration::from_millis(200);
/// Tokens of the model call after a fault.
const TOKENS: u32 = 3;

impl Trial<'_> {
    /// Ends the fault, but starts no router again.
    pub(super) async fn heal(&mut self) -> Result<(), Report<Error>> {
        end_faults(self.ground).await
    }
}

async fn end_faults(ground: &mut Ground) -> Result<(), Report<Error>> {
    for index in 0..ground.fleet.router_count() {
        if ground.fleet.routers[index].process.is_running() {
            ground.fleet.wake(index)?;
        }
    }
    let none = Faults {
        log_down: Some(false),
        log_delay_ms: Some(0),
        read_delay_ms: Some(0),
        lose_answers: None,
        instances_down: Some(false),
    };
    ground.platform(none).await?;
    ground.fleet.heal().await
}

/// Starts what was killed, and returns what doesn't work afterwards.
pub(super) async fn restore(ground: &mut Ground) -> Result<Vec<String>, Report<Error>> {
    end_faults(ground).await?;
    ground.platform(Faults { lose_answers: Some(0), ..Faults::default() }).await?;
    for index in 0..ground.fleet.router_count() {
        if !ground.fleet.routers[index].process.is_running() {
            ground.fleet.restart(index)?;
        }
    }
    warm(ground).await?;
    let mut faults = serve(ground).await;
    for router in &ground.fleet.routers {
        let log = router.process.log();
        if let Some(line) = log.lines().find(|line| line.contains("panicked")) {
            faults.push(format!("{} panicked: {line}", router.name()));
        }
    }
    Ok(faults)
}

/// Turns all engines warm, also those that have just fallen.
async fn warm(ground: &Ground) -> Result<(), Report<Error>> {
    let deadline = Instant::now() + SERVE_TIMEOUT;
    let engines = ground.fleet.runners().iter().filter(|(name, _)| name.starts_with(MODEL));
    for (_, engine) in engines {
        while let Err(error) = engine.control("warm", &json!({})).await {
            if Instant::now() >= deadline {
                return Err(error);
            }
            tokio::time::sleep(TRY_PAUSE).await;
        }
    }
    Ok(())
}

/// Makes a call of each kind at each router and returns what failed.
async fn serve(ground: &mut Ground) -> Vec<String> {
    let mut tasks = JoinSet::new();
    for router in 0..ground.fleet.router_count() {
        let text = ground.text("afterwards");
        let calls = [
            Call::completion(MODEL, &text, TOKENS),
            Call::lookup(PLAIN, "/routes/17"),
            Call::once(PLAIN, "/ascents", &text),
        ];
        for call in calls {
            let caller = ground.fleet.caller_of(PROBE, router);
            tasks.spawn(async move { served(&caller, call, router).await });
        }
    }
    let results = tasks.join_all().await;
    results.into_iter().filter_map(Result::err).collect()
}

/// Tries a call until it succeeds in time; a non-idempotent call keeps its key.
async fn served(caller: &Caller, call: Call, router: usize) -> Result<(), String> {
    let call = call.timeout(CALL_TIMEOUT);
    let deadline = Instant::now() + SERVE_TIMEOUT;
    loop {
        let answer = caller.call(&call).await;
        if is_right(&call, &answer) {
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
        tokio::time::sleep(TRY_PAUSE).await;
    }
}

fn is_right(call: &Call, answer: &Answer) -> bool {
    match call.effective_class() {
        base::Class::Lookup => answer.is_success(),
        _ => check::judge(call, answer, false) == Ok(crate::matrix::Ending::Whole),
    }
}
