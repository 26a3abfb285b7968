//! All checks of the project, in the order in which they are cheap.

use std::process::Command;

use crate::demo;
use crate::imports;
use crate::known_failures;

/// The seed of property tests.
const SEED: &str = "20261203";

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

/// Runs all tests; those of `KNOWN-RED.txt` run last and only print how they ended.
fn tests() -> bool {
    let entries = known_failures::entries();
    let seed = [("PROPTEST_RNG_SEED", SEED)];
    let skips = entries.iter().flat_map(|entry| ["--skip", known_failures::test_name(entry)]);
    let arguments: Vec<&str> = ["test", "--workspace", "--"].into_iter().chain(skips).collect();
    let all_passed = cargo(&arguments, &seed);
    for entry in &entries {
        let passed = cargo(
            &["test", "--workspace", "--quiet", "--", known_failures::test_name(entry)],
            &seed,
        );
        println!("KNOWN RED ({}): {entry}", if passed { "passed this time" } else { "failed" });
    }
    all_passed
}

/// Builds all binaries that tests and tasks start.
pub(crate) fn build() -> bool {
    cargo(&["build", "--workspace", "--quiet"], &[])
}

/// Runs cargo with these arguments and variables and returns whether it succeeded.
pub(crate) fn cargo(args: &[&str], variables: &[(&str, &str)]) -> bool {
    println!("xtask: cargo {}", args.join(" "));
    let mut command = Command::new(env!("CARGO"));
    command.args(args).envs(variables.iter().copied());
    command.status().is_ok_and(|status| status.success())
}
