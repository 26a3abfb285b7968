//! Tests of child processes and run directories.

use std::fs;
use std::os::unix::process::ExitStatusExt;
use std::time::Duration;
use std::time::Instant;

use rig::Error;
use rig::FakeProcess;
use rig::Launch;
use rig::Process;
use rig::RunDirectory;

/// A timeout that only a hanging process reaches.
const HANG_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns the state letter of a process from `/proc`, or `None` if it doesn't exist.
fn state(id: u32) -> Option<char> {
    let text = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    text.rsplit_once(") ")?.1.chars().next()
}

fn wait_for_state(id: u32, is_wanted: impl Fn(Option<char>) -> bool) {
    let deadline = Instant::now() + HANG_TIMEOUT;
    while !is_wanted(state(id)) {
        assert!(Instant::now() < deadline, "state {:?}", state(id));
        std::thread::yield_now();
    }
}

#[test]
fn a_process_is_paused_resumed_terminated_and_killed() {
    let directory = RunDirectory::new().expect("a directory");
    let mut fake = FakeProcess::start(&directory, "platform", &["platform"]).expect("started");
    let id = fake.process.id();
    fake.process.pause().expect("running");
    wait_for_state(id, |state| state == Some('T'));
    fake.process.resume().expect("paused");
    wait_for_state(id, |state| state != Some('T'));
    fake.process.terminate().expect("running");
    assert!(fake.process.wait(HANG_TIMEOUT).expect("ended").success());
    let error = fake.process.pause().expect_err("the process has ended");
    assert_eq!(*error.current_context(), Error::Ended("platform".to_owned()));
    let mut other = FakeProcess::start(&directory, "other", &["platform"]).expect("started");
    other.process.pause().expect("running");
    other.process.kill();
    assert_eq!(other.process.wait(HANG_TIMEOUT).expect("ended").signal(), Some(9));
}

#[test]
fn dropping_a_process_ends_it_and_dropping_the_run_directory_removes_it() {
    let directory = RunDirectory::new().expect("a directory");
    let path = directory.path().to_owned();
    let fake = FakeProcess::start(&directory, "platform", &["platform"]).expect("started");
    let id = fake.process.id();
    assert!(path.join("aspenline-fake").is_file() && state(id).is_some());
    drop(fake);
    assert_eq!(state(id), None);
    drop(directory);
    assert!(!path.exists());
}

#[test]
fn a_process_that_is_never_ready_is_reported_with_its_log() {
    let directory = RunDirectory::new().expect("a directory");
    let binary = directory.binary("aspenline-fake").expect("built");
    let launch = Launch::new("odd", binary, directory.log("odd")).args(&["no-such-part"]);
    let process = Process::start(&launch).expect("started");
    let error = process.wait_until_ready(HANG_TIMEOUT).expect_err("not ready");
    assert_eq!(*error.current_context(), Error::NotReady("odd".to_owned()));
    assert!(format!("{error:?}").contains("no-such-part"), "{error:?}");
}
