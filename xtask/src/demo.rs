//! A demonstration with real processes: three routers, fakes, one call of each kind and the timeline.

use std::env;
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

use base::Class;
use error_stack::Report;
use error_stack::ResultExt;
use rig::Answer;
use rig::Call;
use rig::Caller;
use rig::Fleet;
use rig::RunnerPlan;
use rig::ServicePlan;
use rig::WorkspacePlan;
use tokio::runtime;
use tokio::time;

use crate::Error;
use crate::check;

/// The region of the demo.
const REGION: &str = "midlands";
/// Timeout for the fleet to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout for a router to exit.
const EXIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum number of times that a call is sent while its answers ask for a retry.
const MAX_SENDS: u32 = 4;
/// Time for which an address given to a caller is valid, in milliseconds; a stopping router serves as long.
const DRAIN_MS: u64 = 500;

/// Builds all binaries and runs the demo; returns whether every call was served, the timeline was shown and all
/// routers exited cleanly.
pub(crate) fn run() -> bool {
    if !check::build() {
        return false;
    }
    let runtime = match runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("xtask: the async runtime cannot be started: {error}");
            return false;
        }
    };
    match runtime.block_on(run_demo()) {
        Ok(succeeded) => succeeded,
        Err(report) => {
            eprintln!("xtask: the demo failed: {report:?}");
            false
        }
    }
}

async fn run_demo() -> Result<bool, Report<Error>> {
    let mut fleet = start_fleet().await?;
    println!("demo: three routers, two engines, one plain service and the platform are running");
    let all_served = make_calls(&fleet).await;
    println!("\ndemo: the merged timeline of all routers");
    let shown = show_timeline(&fleet);
    for index in 0..fleet.router_count() {
        fleet.terminate(index).change_context(Error::Demo)?;
    }
    let mut clean = true;
    for index in 0..fleet.router_count() {
        clean &= fleet.wait(index, EXIT_TIMEOUT).change_context(Error::Demo)?.success();
    }
    println!("\ndemo: all routers have stopped; calls served: {all_served}, clean exits: {clean}");
    Ok(all_served && shown && clean)
}

async fn start_fleet() -> Result<Fleet, Report<Error>> {
    let runner = RunnerPlan::new();
    let mut fleet = Fleet::builder()
        .zone("derby", REGION)
        .zone("nottingham", REGION)
        .zone("leicester", REGION)
        .routers(3)
        .workspace(WorkspacePlan::new("peak-wall"))
        .service(ServicePlan::engine("belay-llm", REGION).runners(2, &runner))
        .service(ServicePlan::plain("ledger-app", REGION).runners(1, &runner))
        .setting("limits", serde_json::json!({ "drain_ms": DRAIN_MS }))
        .start()
        .await
        .change_context(Error::Demo)?;
    fleet.wait_until_ready(READY_TIMEOUT).await.change_context(Error::Demo)?;
    Ok(fleet)
}

async fn make_calls(fleet: &Fleet) -> bool {
    let question = "Which grade is the blue route?";
    let summary = "Summarise the season.";
    let ascent = Call::non_idempotent("ledger-app", "/ascents", "{\"route\":17}");
    let repeated_ascent = ascent.clone();
    let calls = [
        ("an interactive question, streamed", 0, Call::completion("belay-llm", question, 8)),
        (
            "a long summary, streamed",
            1,
            Call::completion("belay-llm", summary, 24).class(Class::Long),
        ),
        ("a lookup", 2, Call::lookup("ledger-app", "/routes/17")),
        ("an ascent, which may not be repeated", 0, ascent),
        ("the same ascent again, at another router", 1, repeated_ascent),
    ];
    let mut all_served = true;
    for (title, router, call) in calls {
        let answer = call_with_retries(&fleet.caller_of("peak-wall", router), &call).await;
        println!("\ndemo: {title}, through r{}", router + 1);
        print_answer(&answer);
        all_served &= answer.is_success();
    }
    all_served
}

/// Makes a call, and retries it with the same idempotency key while the answer names a delay for a retry.
async fn call_with_retries(caller: &Caller, call: &Call) -> Answer {
    let mut answer = caller.call(call).await;
    for _ in 1..MAX_SENDS {
        let Some(after) = answer.retry_after() else { break };
        print_answer(&answer);
        println!("demo: retrying in {} ms, as the answer asks", after.as_millis());
        time::sleep(after).await;
        answer = caller.call(call).await;
    }
    answer
}

fn print_answer(answer: &Answer) {
    if answer.tokens.is_empty() {
        println!("  {:?} {}", answer.status, String::from_utf8_lossy(&answer.body));
    } else {
        println!("  {:?} {}", answer.status, answer.text());
    }
}

/// Runs `aspenline timeline` against all routers and returns whether it succeeded.
fn show_timeline(fleet: &Fleet) -> bool {
    let mut command = Command::new(binary("aspenline"));
    command.arg("timeline").args(["--token", rig::OPERATOR_TOKEN]);
    for index in 0..fleet.router_count() {
        command.args(["--router", &fleet.router(index).caller_address().to_string()]);
    }
    command.status().is_ok_and(|status| status.success())
}

/// Returns the path of a binary that was built into the same directory as this one.
fn binary(name: &str) -> PathBuf {
    let directory = env::current_exe().ok().and_then(|path| path.parent().map(PathBuf::from));
    directory.unwrap_or_default().join(name)
}
