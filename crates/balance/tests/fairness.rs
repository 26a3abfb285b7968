//! Shares of workspaces in the engines when several of them flood the routers.

mod common;

use std::time::Duration;

use crate::common::fleet::Fleet;
use crate::common::ms;
use crate::common::request;

/// The second in which the load begins.
const START: u64 = 100;
/// The second in which the floods begin.
const FLOOD: u64 = START + 4;
/// The second in which the load ends.
const END: u64 = FLOOD + 12;
/// The length of the windows in which shares are compared, in seconds.
const WINDOW: u64 = 6;
/// The time for which a request runs.
const RUN: Duration = Duration::from_millis(1_500);
/// The workspaces that flood, with the routers of their callers.
const FLOODS: [(&str, &[usize]); 3] =
    [("early", &[0]), ("second", &[1, 2]), ("third", &[3, 4, 5, 6, 7, 8])];

/// Plays floods of three workspaces, the first of which has used most of the engines before, when they were idle.
fn flooded_fleet(interval: Duration) -> Fleet {
    let mut fleet = Fleet::new(9, 6, RUN, interval);
    for step in 0..(END - START) * 100 {
        let now = Duration::from_secs(START) + ms(10 * step);
        let is_flooded = now >= Duration::from_secs(FLOOD);
        fleet.step(now);
        if is_flooded {
            fleet.record_slow_tokens(now);
        }
        for (index, (workspace, routers)) in FLOODS.into_iter().enumerate() {
            let requests = match (is_flooded, workspace) {
                (true, _) => 4,
                (false, "early") => 1,
                (false, _) => u64::from(step % 5 == 0),
            };
            for request_number in 0..requests {
                let router = routers[(step + request_number) as usize % routers.len()];
                let part = 1_000 * (index as u64 + 1) + step % 40;
                fleet.submit(now, router, request(now, workspace, part, 2_000));
            }
        }
        if step % 10 == 0 {
            let router = (step / 10) as usize % 9;
            fleet.submit(now, router, request(now, "small", 9, 2_000));
        }
    }
    fleet
}

/// Returns the smallest and the largest number of requests of a flood that were granted in a window.
fn extremes(fleet: &Fleet, from: u64) -> (u64, u64) {
    let granted = FLOODS.map(|(name, _)| fleet.granted_between(name, from, from + WINDOW));
    (granted.into_iter().min().unwrap_or(0), granted.into_iter().max().unwrap_or(0))
}

/// Guards against shares far below others for a workspace that had used idle engines before a flood.
#[test]
fn use_of_idle_engines_does_not_count_against_a_workspace_when_others_flood_later() {
    let fleet = flooded_fleet(ms(100));
    for from in FLOOD..=END - WINDOW {
        let (least, most) = extremes(&fleet, from);
        assert!(least * 2 >= most, "from {from} s on: least {least}, most {most}");
    }
}
