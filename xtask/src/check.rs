//! Runs all checks of the project, the cheapest first.

use std::os::unix::process::CommandExt;
use std::process::Child;
use std::process::Command;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Pid;
use rustix::process::Signal;

use crate::demo;
use crate::imports;
use crate::known_failures;

/// The seed of property tests.
const SEED: &str = "20261203";
/// The longest time that a test of `KNOWN-RED.txt` may take, including its build.
const KNOWN_FAILURE_TIMEOUT: Duration = Duration::from_secs(180);
/// The interval at which a running test is checked for its end.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Runs every check and returns whether all passed.
pub(crate) fn run_all() -> bool {
    cargo(&["fmt", "--all", "--check"], &[])
        && imports::check()
        && cargo(&["clippy", "--workspace", "--all-targets", "--", "--deny", "warnings"], &[])
        && cargo(
            &["doc", "--workspace", "--no-deps", "--quiet"],
            &[("RUSTDOCFLAGS", "--deny warnings")],
        )
        && build()
        && tests()
        && demo::run()
}

/// Runs all tests and returns whether they passed; the tests in `KNOWN-RED.txt` run last, and their results are only
/// printed. One that hangs is killed and counts as failed.
fn tests() -> bool {
    let entries = known_failures::entries();
    let seed = [("PROPTEST_RNG_SEED", SEED)];
    let skips = entries.iter().flat_map(|entry| ["--skip", known_failures::test_name(entry)]);
    let arguments: Vec<&str> = ["test", "--workspace", "--"].into_iter().chain(skips).collect();
    let all_passed = cargo(&arguments, &seed);
    for entry in &entries {
        let name = known_failures::test_name(entry);
        let passed = cargo_within(
            KNOWN_FAILURE_TIMEOUT,
            &["test", "--workspace", "--quiet", "--", name],
            &seed,
        );
        println!("KNOWN RED ({}): {entry}", if passed { "passed this time" } else { "failed" });
    }
    all_passed
}

/// Builds all binaries that tests and tasks start, and returns whether the build succeeded.
pub(crate) fn build() -> bool {
    cargo(&["build", "--workspace", "--quiet"], &[])
}

/// Runs cargo with the given arguments and environment variables and returns whether it succeeded.
pub(crate) fn cargo(args: &[&str], variables: &[(&str, &str)]) -> bool {
    cargo_command(args, variables).status().is_ok_and(|status| status.success())
}

/// Runs cargo like [`cargo`], and kills it with the processes that it has started if it does not end within `limit`.
fn cargo_within(limit: Duration, args: &[&str], variables: &[(&str, &str)]) -> bool {
    let deadline = Instant::now() + limit;
    let Ok(mut child) = cargo_command(args, variables).process_group(0).spawn() else {
        return false;
    };
    while Instant::now() < deadline {
        match child.try_wait() {
            Ok(Some(status)) => return status.success(),
            Ok(None) => thread::sleep(CHECK_INTERVAL),
            Err(_) => break,
        }
    }
    println!("xtask: killed after {limit:?}");
    kill_group(&mut child);
    false
}

/// Kills the process group of a child that leads one, and reaps the child.
fn kill_group(child: &mut Child) {
    if let Err(error) = rustix::process::kill_process_group(Pid::from_child(child), Signal::KILL) {
        println!("xtask: cannot kill the process group: {error}");
    }
    if let Err(error) = child.wait() {
        println!("xtask: cannot wait for the process: {error}");
    }
}

fn cargo_command(args: &[&str], variables: &[(&str, &str)]) -> Command {
    println!("xtask: cargo {}", args.join(" "));
    let mut command = Command::new(env!("CARGO"));
    command.args(args).envs(variables.iter().copied());
    command
}
