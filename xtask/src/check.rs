//! All checks of the project, in the order in which they are cheap.

use std::process::Command;

use crate::imports;

/// Runs every check and returns whether all passed.
pub(crate) fn run_all() -> bool {
    cargo(&["fmt", "--all", "--check"], &[])
        && imports::check()
        && cargo(&["clippy", "--workspace", "--all-targets", "--", "--deny", "warnings"], &[])
        && cargo(
            &["doc", "--workspace", "--no-deps", "--quiet"],
            &[("RUSTDOCFLAGS", "--deny warnings")],
        )
        && cargo(&["test", "--workspace"], &[("PROPTEST_RNG_SEED", "20261203")])
}

/// Runs cargo with these arguments and variables and returns whether it succeeded.
pub(crate) fn cargo(args: &[&str], variables: &[(&str, &str)]) -> bool {
    println!("xtask: cargo {}", args.join(" "));
    let mut command = Command::new(env!("CARGO"));
    command.args(args).envs(variables.iter().copied());
    command.status().is_ok_and(|status| status.success())
}
