//! A fixed subset of the fault matrix, run by the code of the complete matrix.

use rig::matrix::Cell;
use rig::matrix::Testbed;

/// The seed that selects the roles of the routers and the delay before each fault.
const SEED: u64 = 1;

async fn run(cells: &[Cell]) -> Vec<String> {
    let mut testbed = Testbed::start().await.expect("a fleet");
    let mut failed = Vec::new();
    for cell in cells {
        let report = testbed.run(*cell).await;
        println!("{cell}: {:?} in {:?}", report.outcome, report.took);
        if !report.is_passed() {
            failed.push(format!("{cell}, seed {SEED}: {}", report.failures.join("; ")));
        }
    }
    failed
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_struck_by_a_fault_are_whole_or_truly_refused_and_run_at_most_once() {
    let cells = Cell::quick(SEED);
    let (first, second) = cells.split_at(cells.len() / 2);
    let (mut failed, others) = tokio::join!(run(first), run(second));
    failed.extend(others);
    assert_eq!(failed, Vec::<String>::new());
}
