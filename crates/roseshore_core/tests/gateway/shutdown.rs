//! When a stopping host accepts no more callers, and closes their connections.

use roseshore_core::gateway::shutdown::{IdleConnection, Shutdown, Stage};
use roseshore_core::prelude::*;

/// A time after the stop signal, with a grace period of eight seconds.
struct StageCase {
    name: &'static str,
    after_ms: u64,
    stage: Stage,
    left_ms: u64,
}

const STAGES: [StageCase; 5] = [
    StageCase { name: "probes pending", after_ms: 2_500, stage: Stage::Draining, left_ms: 5_200 },
    StageCase { name: "probes failed", after_ms: 2_700, stage: Stage::Closing, left_ms: 5_000 },
    StageCase { name: "almost over", after_ms: 7_690, stage: Stage::Closing, left_ms: 10 },
    StageCase { name: "requests over", after_ms: 7_800, stage: Stage::Ending, left_ms: 0 },
    StageCase { name: "over", after_ms: 7_900, stage: Stage::Over, left_ms: 0 },
];

#[test]
fn a_shutdown_advances_with_time() {
    let since = Instant::now();
    let shutdown = Shutdown { since, grace: Duration::from_secs(8) };
    for case in STAGES {
        let now = since + Duration::from_millis(case.after_ms);
        assert_eq!(shutdown.stage(now), case.stage, "{}", case.name);
        assert_eq!(shutdown.time_left(now), Duration::from_millis(case.left_ms), "{}", case.name);
    }
}

/// A connection, and how long it has waited for a request.
struct IdleCase {
    name: &'static str,
    requests: u32,
    waited_ms: u64,
    closed: bool,
}

const IDLE: [IdleCase; 3] = [
    IdleCase { name: "new", requests: 0, waited_ms: 100, closed: false },
    IdleCase { name: "unused", requests: 0, waited_ms: 600, closed: true },
    IdleCase { name: "kept", requests: 1, waited_ms: 0, closed: true },
];

#[test]
fn a_new_connection_gets_time_for_its_first_request() {
    let since = Instant::now();
    for IdleCase { name, requests, waited_ms, closed } in IDLE {
        let connection = IdleConnection { requests, since };
        let now = since + Duration::from_millis(waited_ms);
        assert_eq!(connection.may_close(now), closed, "{name}");
    }
}
