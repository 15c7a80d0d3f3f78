//! At-most-once execution: each fault at each step of a key.

// Shared by two test programs, each of which leaves a part of it unused.
#[allow(dead_code)]
#[path = "once/simulation.rs"]
mod simulation;

use roseshore_core::once::partition::Decision;
use roseshore_core::prelude::*;
use simulation::*;

/// The decision on the last decided attempt.
fn describe_last(sim: &Simulation) -> String {
    match sim.decisions.last().map(|(_, decision)| decision) {
        None => "nothing".into(),
        Some(Decision::Won(_)) => "won".into(),
        Some(Decision::Replay(_)) => "repeat".into(),
        Some(Decision::ReadFromLog(..)) => "stored".into(),
        Some(Decision::AskOwner(owner, refusal)) => {
            format!("ask {} or {}", owner.host, refusal.code)
        }
        Some(Decision::Refused(refusal)) => format!("{} {}", refusal.code, refusal.verdict.name()),
    }
}

struct Case {
    name: &'static str,
    /// The steps that lead up to the case, mostly of daemon 0.
    before: &'static [&'static [Step]],
    then: &'static [Step],
    expected: &'static str,
}
const LOG_DOWN: &[Step] = &[Step::Read(0, false), Step::Advance(600)];
const CLAIM: &[Step] = &[
    Step::Begin(0, false),
    Step::Read(0, true),
    Step::Append(0, AppendFault::None),
    Step::Read(0, true),
];
const DISPATCH: &[Step] = &[Step::Dispatch(0)];
const RECORD: &[Step] = &[
    Step::RecordOutcome(0, Verdict::Answered),
    Step::Advance(20),
    Step::Append(0, AppendFault::None),
];
const REPLACE_CLAIMANT: &[Step] = &[Step::Replace(0), Step::Members];
/// Daemon 1 gets an attempt with the same key, and takes all steps that it may need.
const OTHER_DAEMON: &[Step] = &[
    Step::Begin(1, false),
    Step::Read(1, true),
    Step::Append(1, AppendFault::None),
    Step::Read(1, true),
    Step::Read(1, true),
];
/// An operator at daemon 2 appends a mark, reads it back, and sends the settlement.
const SETTLE_BY_OPERATOR: &[Step] = &[
    Step::Operator(2, false),
    Step::Append(2, AppendFault::None),
    Step::Read(2, true),
    Step::Read(2, true),
    Step::Freeze(20),
    Step::Append(2, AppendFault::None),
    Step::Read(2, true),
];
const CASES: &[Case] = &[
    Case { name: "no fault", before: &[CLAIM], then: &[], expected: "won" },
    Case {
        name: "repeat",
        before: &[CLAIM, DISPATCH, RECORD],
        then: OTHER_DAEMON,
        expected: "repeat",
    },
    Case {
        name: "log unavailable before the claim",
        before: &[],
        then: &[Step::Begin(0, false), Step::Read(0, false), Step::Advance(600)],
        expected: "RS502 may_have_run",
    },
    Case {
        name: "log unavailable for a while",
        before: &[&[Step::Begin(0, false), Step::Read(0, false), Step::Advance(300)]],
        then: &[Step::Read(0, true), Step::Append(0, AppendFault::None), Step::Read(0, true)],
        expected: "won",
    },
    Case {
        name: "log back after an outage",
        before: &[&[Step::Begin(0, false)], LOG_DOWN, &[Step::Advance(300), Step::Read(0, true)]],
        then: CLAIM,
        expected: "won",
    },
    Case {
        name: "log unavailable, asked again",
        before: &[&[Step::Begin(0, false)], LOG_DOWN],
        then: &[Step::Begin(0, false)],
        expected: "RS502 may_have_run",
    },
    Case {
        name: "appends unavailable, stream read",
        before: &[],
        then: &[
            Step::Begin(0, false),
            Step::Read(0, true),
            Step::Append(0, AppendFault::Unreachable),
            Step::Advance(600),
        ],
        expected: "RS502 not_run",
    },
    Case {
        name: "log rate limited",
        before: &[&[
            Step::Begin(0, false),
            Step::Read(0, true),
            Step::Append(0, AppendFault::RateLimited),
            Step::Advance(20),
        ]],
        then: &[Step::Append(0, AppendFault::None), Step::Read(0, true)],
        expected: "won",
    },
    Case {
        name: "append reply lost, claim in the log",
        before: &[],
        then: &[
            Step::Begin(0, false),
            Step::Read(0, true),
            Step::Append(0, AppendFault::LostAfter),
            Step::Read(0, true),
        ],
        expected: "won",
    },
    Case {
        name: "append reply lost, claim not in the log",
        before: &[&[
            Step::Begin(0, false),
            Step::Read(0, true),
            Step::Append(0, AppendFault::LostBefore),
            Step::Advance(20),
        ]],
        then: &[Step::Append(0, AppendFault::None), Step::Read(0, true)],
        expected: "won",
    },
    Case {
        name: "append reply lost, log then unavailable",
        before: &[&[
            Step::Begin(0, false),
            Step::Append(0, AppendFault::None),
            Step::Read(0, true),
        ]],
        then: &[Step::Append(0, AppendFault::LostAfter), Step::Read(0, false), Step::Advance(600)],
        expected: "RS502 not_run",
    },
    Case {
        name: "claim with a lost reply is released after an outage",
        before: &[
            &[Step::Begin(0, false), Step::Read(0, true), Step::Append(0, AppendFault::LostAfter)],
            LOG_DOWN,
            &[Step::Advance(300), Step::Append(0, AppendFault::None)],
        ],
        then: OTHER_DAEMON,
        expected: "won",
    },
    Case {
        name: "claim lands after it was given up",
        before: &[
            &[
                Step::Begin(0, false),
                Step::Read(0, true),
                Step::Append(0, AppendFault::LostLater),
                Step::Advance(6000),
            ],
            &[Step::Append(0, AppendFault::None), Step::DeliverLate],
        ],
        then: OTHER_DAEMON,
        expected: "won",
    },
    Case {
        name: "winner paused past its deadline",
        before: &[
            CLAIM,
            &[Step::Freeze(6000), Step::Dispatch(0), Step::Append(0, AppendFault::None)],
        ],
        then: OTHER_DAEMON,
        expected: "won",
    },
    Case {
        name: "winner abandons",
        before: &[
            CLAIM,
            &[Step::Abandon(0), Step::Advance(20), Step::Append(0, AppendFault::None)],
        ],
        then: OTHER_DAEMON,
        expected: "won",
    },
    Case {
        name: "log unavailable at the abandonment",
        before: &[
            CLAIM,
            &[Step::Abandon(0), Step::Advance(20), Step::Append(0, AppendFault::Unreachable)],
        ],
        then: &[Step::Begin(1, false), Step::Read(1, true), Step::Advance(6000)],
        expected: "RS401 may_have_run",
    },
    Case {
        name: "host replaced after the claim",
        before: &[CLAIM, REPLACE_CLAIMANT],
        then: OTHER_DAEMON,
        expected: "RS402 may_have_run",
    },
    Case {
        name: "host replaced after the dispatch",
        before: &[CLAIM, DISPATCH, REPLACE_CLAIMANT],
        then: OTHER_DAEMON,
        expected: "RS402 may_have_run",
    },
    Case {
        name: "host replaced before its outcome was taken",
        before: &[CLAIM, DISPATCH, &[Step::RecordOutcome(0, Verdict::Answered)], REPLACE_CLAIMANT],
        then: OTHER_DAEMON,
        expected: "RS402 may_have_run",
    },
    Case {
        name: "host replaced after the outcome",
        before: &[CLAIM, DISPATCH, RECORD, REPLACE_CLAIMANT],
        then: OTHER_DAEMON,
        expected: "repeat",
    },
    Case {
        name: "log unavailable at the outcome, then back",
        before: &[
            CLAIM,
            DISPATCH,
            &[
                Step::RecordOutcome(0, Verdict::Answered),
                Step::Advance(20),
                Step::Append(0, AppendFault::Unreachable),
            ],
            &[Step::Advance(300), Step::Append(0, AppendFault::None)],
        ],
        then: OTHER_DAEMON,
        expected: "repeat",
    },
    Case {
        name: "log unavailable at the outcome, asked here",
        before: &[
            CLAIM,
            DISPATCH,
            &[Step::RecordOutcome(0, Verdict::Answered), Step::Read(0, false), Step::Advance(600)],
        ],
        then: &[Step::Begin(0, false)],
        expected: "repeat",
    },
    Case {
        name: "log unavailable at the outcome, asked elsewhere",
        before: &[
            CLAIM,
            DISPATCH,
            &[
                Step::Begin(1, false),
                Step::Read(1, true),
                Step::RecordOutcome(0, Verdict::Answered),
            ],
        ],
        then: &[Step::Read(1, false), Step::Advance(600)],
        expected: "ask h0 or RS402",
    },
    Case {
        name: "log unavailable, key known to be settled",
        before: &[
            CLAIM,
            DISPATCH,
            RECORD,
            OTHER_DAEMON,
            &[Step::Begin(1, true), Step::Read(1, false), Step::Advance(600)],
        ],
        then: &[Step::Begin(1, false)],
        expected: "repeat",
    },
    Case {
        name: "target replied that nothing ran",
        before: &[
            CLAIM,
            DISPATCH,
            &[
                Step::RecordOutcome(0, Verdict::NotRun),
                Step::Advance(20),
                Step::Append(0, AppendFault::None),
            ],
        ],
        then: OTHER_DAEMON,
        expected: "won",
    },
    Case {
        name: "target's reply lost",
        before: &[
            CLAIM,
            DISPATCH,
            &[
                Step::RecordOutcome(0, Verdict::MayHaveRun),
                Step::Advance(20),
                Step::Append(0, AppendFault::None),
            ],
        ],
        then: OTHER_DAEMON,
        expected: "RS402 may_have_run",
    },
    Case {
        name: "still in progress at the deadline",
        before: &[CLAIM, DISPATCH],
        then: &[Step::Begin(1, false), Step::Read(1, true), Step::Advance(6000)],
        expected: "RS401 may_have_run",
    },
    Case {
        name: "another body",
        before: &[CLAIM, DISPATCH, RECORD],
        then: &[Step::Reuse(1), Step::Read(1, true)],
        expected: "RS405 not_run",
    },
    Case {
        name: "another body, before the outcome",
        before: &[CLAIM, DISPATCH],
        then: &[Step::Reuse(1), Step::Read(1, true)],
        expected: "RS405 not_run",
    },
    Case {
        name: "another body, log unavailable before the outcome",
        before: &[CLAIM, DISPATCH, &[Step::Begin(1, true), Step::Read(1, true)]],
        then: &[Step::Reuse(1), Step::Read(1, false), Step::Advance(600)],
        expected: "RS402 may_have_run",
    },
    Case {
        name: "log that lost its records",
        before: &[CLAIM, DISPATCH, RECORD],
        then: &[Step::Begin(0, true), Step::LoseLog, Step::Read(0, true), Step::Advance(600)],
        expected: "RS502 may_have_run",
    },
    Case {
        name: "settled as not run",
        before: &[CLAIM, REPLACE_CLAIMANT, &[Step::Advance(70_000)], SETTLE_BY_OPERATOR],
        then: OTHER_DAEMON,
        expected: "won",
    },
    Case {
        name: "settled as run",
        before: &[CLAIM, DISPATCH, REPLACE_CLAIMANT, &[Step::Advance(70_000)], SETTLE_BY_OPERATOR],
        then: OTHER_DAEMON,
        expected: "RS406 may_have_run",
    },
    Case {
        name: "settled too early",
        before: &[CLAIM, REPLACE_CLAIMANT, &[Step::Advance(60_000)], SETTLE_BY_OPERATOR],
        then: OTHER_DAEMON,
        expected: "RS402 may_have_run",
    },
    Case {
        name: "paused claimant resumes after the settlement",
        before: &[CLAIM, &[Step::Freeze(70_000)], SETTLE_BY_OPERATOR, &[Step::Dispatch(0)]],
        then: OTHER_DAEMON,
        expected: "won",
    },
    Case {
        name: "record trimmed",
        before: &[CLAIM, DISPATCH, RECORD, &[Step::Trim]],
        then: &[Step::Begin(1, false), Step::Read(1, true), Step::Read(1, true)],
        expected: "RS403 may_have_run",
    },
];

/// Attempts with a deadline of a minute.
const PATIENT_CASES: &[Case] = &[
    Case {
        name: "behind by records that take 15 s to read",
        before: &[CLAIM, DISPATCH, RECORD],
        then: &[Step::Begin(1, false), Step::Advance(15_000), Step::Read(1, true)],
        expected: "repeat",
    },
    Case {
        name: "behind by records that take 15 s to read, free key",
        before: &[],
        then: &[
            Step::Begin(1, false),
            Step::Advance(15_000),
            Step::Read(1, true),
            Step::Append(1, AppendFault::None),
            Step::Read(1, true),
        ],
        expected: "won",
    },
    Case {
        name: "claim that takes 15 s to append",
        before: &[&[Step::Begin(1, false), Step::Read(1, true), Step::Advance(15_000)]],
        then: &[Step::Append(1, AppendFault::None), Step::Read(1, true)],
        expected: "won",
    },
    Case {
        name: "behind until the deadline",
        before: &[],
        then: &[Step::Begin(1, false), Step::Advance(61_000)],
        expected: "RS206 may_have_run",
    },
    Case {
        name: "held by another attempt for 9 s",
        before: &[CLAIM, DISPATCH, &[Step::Begin(1, false), Step::Read(1, true)]],
        then: &[Step::Advance(9000)],
        expected: "won",
    },
    Case {
        name: "held by another attempt for 11 s",
        before: &[CLAIM, DISPATCH, &[Step::Begin(1, false), Step::Read(1, true)]],
        then: &[Step::Advance(11_000)],
        expected: "RS401 may_have_run",
    },
    Case {
        name: "held by another attempt when the log has been read after 11 s",
        before: &[CLAIM, DISPATCH, &[Step::Begin(1, false), Step::Advance(11_000)]],
        then: &[Step::Read(1, true)],
        expected: "RS401 may_have_run",
    },
];

fn check(cases: &[Case], patience: Duration) {
    for case in cases {
        let mut sim = Simulation::new();
        sim.patience = patience;
        for step in case.before.iter().copied().flatten().chain(case.then) {
            sim.step(*step);
        }
        assert_eq!(describe_last(&sim), case.expected, "{}", case.name);
    }
}

#[test]
fn an_attempt_waits_for_the_log_until_its_deadline() {
    check(PATIENT_CASES, Duration::from_mins(1));
}

#[test]
fn faults_at_each_step() {
    check(CASES, Duration::from_secs(5));
}
