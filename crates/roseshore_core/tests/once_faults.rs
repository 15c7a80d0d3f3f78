//! Unrepeatable work: each fault at each step of a key.

// A part of it is unused in each test program, since both share it.
#[allow(dead_code)]
#[path = "once/simulation.rs"]
mod simulation;

use roseshore_core::once::partition::Decision;
use roseshore_core::prelude::*;
use simulation::*;

/// What the last decided attempt was told.
fn told(world: &World) -> String {
    match world.decisions.last().map(|(_, decision)| decision) {
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

struct Story {
    name: &'static str,
    /// Daemon 0 goes so far with a key first.
    before: &'static [&'static [Step]],
    then: &'static [Step],
    told: &'static str,
}
const OUT: &[Step] = &[Step::Read(0, false), Step::Pass(600)];
const CLAIM: &[Step] =
    &[Step::Begin(0, false), Step::Read(0, true), Step::Append(0, Fate::Done), Step::Read(0, true)];
const RUN: &[Step] = &[Step::Dispatch(0)];
const SETTLE: &[Step] =
    &[Step::Settle(0, Verdict::Answered), Step::Pass(20), Step::Append(0, Fate::Done)];
const GONE: &[Step] = &[Step::Replace(0), Step::Members];
/// Daemon 1 does the same, whatever it takes.
const OTHER: &[Step] = &[
    Step::Begin(1, false),
    Step::Read(1, true),
    Step::Append(1, Fate::Done),
    Step::Read(1, true),
    Step::Read(1, true),
];
/// Daemon 2 marks the log, reads, and sends the word.
const WORD: &[Step] = &[
    Step::Operator(2, false),
    Step::Append(2, Fate::Done),
    Step::Read(2, true),
    Step::Read(2, true),
    Step::Freeze(20),
    Step::Append(2, Fate::Done),
    Step::Read(2, true),
];
const STORIES: &[Story] = &[
    Story { name: "no fault", before: &[CLAIM], then: &[], told: "won" },
    Story { name: "repeat", before: &[CLAIM, RUN, SETTLE], then: OTHER, told: "repeat" },
    Story {
        name: "log out before the claim",
        before: &[],
        then: &[Step::Begin(0, false), Step::Read(0, false), Step::Pass(600)],
        told: "RS502 may_have_run",
    },
    Story {
        name: "log out for a while",
        before: &[&[Step::Begin(0, false), Step::Read(0, false), Step::Pass(300)]],
        then: &[Step::Read(0, true), Step::Append(0, Fate::Done), Step::Read(0, true)],
        told: "won",
    },
    Story {
        name: "log back after an outage",
        before: &[&[Step::Begin(0, false)], OUT, &[Step::Pass(300), Step::Read(0, true)]],
        then: CLAIM,
        told: "won",
    },
    Story {
        name: "log out, asked again",
        before: &[&[Step::Begin(0, false)], OUT],
        then: &[Step::Begin(0, false)],
        told: "RS502 may_have_run",
    },
    Story {
        name: "appends out, stream read",
        before: &[],
        then: &[
            Step::Begin(0, false),
            Step::Read(0, true),
            Step::Append(0, Fate::Unreached),
            Step::Pass(600),
        ],
        told: "RS502 not_run",
    },
    Story {
        name: "log over its rate",
        before: &[&[
            Step::Begin(0, false),
            Step::Read(0, true),
            Step::Append(0, Fate::Busy),
            Step::Pass(20),
        ]],
        then: &[Step::Append(0, Fate::Done), Step::Read(0, true)],
        told: "won",
    },
    Story {
        name: "append reply lost, claim in the log",
        before: &[],
        then: &[
            Step::Begin(0, false),
            Step::Read(0, true),
            Step::Append(0, Fate::LostAfter),
            Step::Read(0, true),
        ],
        told: "won",
    },
    Story {
        name: "append reply lost, claim not in the log",
        before: &[&[
            Step::Begin(0, false),
            Step::Read(0, true),
            Step::Append(0, Fate::LostBefore),
            Step::Pass(20),
        ]],
        then: &[Step::Append(0, Fate::Done), Step::Read(0, true)],
        told: "won",
    },
    Story {
        name: "append reply lost, log then out",
        before: &[&[Step::Begin(0, false), Step::Append(0, Fate::Done), Step::Read(0, true)]],
        then: &[Step::Append(0, Fate::LostAfter), Step::Read(0, false), Step::Pass(600)],
        told: "RS502 not_run",
    },
    Story {
        name: "claim lost with the log out is given back",
        before: &[
            &[Step::Begin(0, false), Step::Read(0, true), Step::Append(0, Fate::LostAfter)],
            OUT,
            &[Step::Pass(300), Step::Append(0, Fate::Done)],
        ],
        then: OTHER,
        told: "won",
    },
    Story {
        name: "claim lands after it was given up",
        before: &[
            &[
                Step::Begin(0, false),
                Step::Read(0, true),
                Step::Append(0, Fate::LostLater),
                Step::Pass(6000),
            ],
            &[Step::Append(0, Fate::Done), Step::Land],
        ],
        then: OTHER,
        told: "won",
    },
    Story {
        name: "winner paused past its deadline",
        before: &[CLAIM, &[Step::Freeze(6000), Step::Dispatch(0), Step::Append(0, Fate::Done)]],
        then: OTHER,
        told: "won",
    },
    Story {
        name: "winner gives up",
        before: &[CLAIM, &[Step::Abandon(0), Step::Pass(20), Step::Append(0, Fate::Done)]],
        then: OTHER,
        told: "won",
    },
    Story {
        name: "log out at the abandonment",
        before: &[CLAIM, &[Step::Abandon(0), Step::Pass(20), Step::Append(0, Fate::Unreached)]],
        then: &[Step::Begin(1, false), Step::Read(1, true), Step::Pass(6000)],
        told: "RS401 may_have_run",
    },
    Story {
        name: "host replaced after the claim",
        before: &[CLAIM, GONE],
        then: OTHER,
        told: "RS402 may_have_run",
    },
    Story {
        name: "host replaced after the dispatch",
        before: &[CLAIM, RUN, GONE],
        then: OTHER,
        told: "RS402 may_have_run",
    },
    Story {
        name: "host replaced before its outcome was taken",
        before: &[CLAIM, RUN, &[Step::Settle(0, Verdict::Answered)], GONE],
        then: OTHER,
        told: "RS402 may_have_run",
    },
    Story {
        name: "host replaced after the outcome",
        before: &[CLAIM, RUN, SETTLE, GONE],
        then: OTHER,
        told: "repeat",
    },
    Story {
        name: "log out at the outcome, then back",
        before: &[
            CLAIM,
            RUN,
            &[Step::Settle(0, Verdict::Answered), Step::Pass(20), Step::Append(0, Fate::Unreached)],
            &[Step::Pass(300), Step::Append(0, Fate::Done)],
        ],
        then: OTHER,
        told: "repeat",
    },
    Story {
        name: "log out at the outcome, asked here",
        before: &[
            CLAIM,
            RUN,
            &[Step::Settle(0, Verdict::Answered), Step::Read(0, false), Step::Pass(600)],
        ],
        then: &[Step::Begin(0, false)],
        told: "repeat",
    },
    Story {
        name: "log out at the outcome, asked elsewhere",
        before: &[
            CLAIM,
            RUN,
            &[Step::Begin(1, false), Step::Read(1, true), Step::Settle(0, Verdict::Answered)],
        ],
        then: &[Step::Read(1, false), Step::Pass(600)],
        told: "ask h0 or RS402",
    },
    Story {
        name: "log out, key known to be settled",
        before: &[
            CLAIM,
            RUN,
            SETTLE,
            OTHER,
            &[Step::Begin(1, true), Step::Read(1, false), Step::Pass(600)],
        ],
        then: &[Step::Begin(1, false)],
        told: "repeat",
    },
    Story {
        name: "target said that nothing ran",
        before: &[
            CLAIM,
            RUN,
            &[Step::Settle(0, Verdict::NotRun), Step::Pass(20), Step::Append(0, Fate::Done)],
        ],
        then: OTHER,
        told: "won",
    },
    Story {
        name: "target's reply lost",
        before: &[
            CLAIM,
            RUN,
            &[Step::Settle(0, Verdict::MayHaveRun), Step::Pass(20), Step::Append(0, Fate::Done)],
        ],
        then: OTHER,
        told: "RS402 may_have_run",
    },
    Story {
        name: "still in progress at the deadline",
        before: &[CLAIM, RUN],
        then: &[Step::Begin(1, false), Step::Read(1, true), Step::Pass(6000)],
        told: "RS401 may_have_run",
    },
    Story {
        name: "another body",
        before: &[CLAIM, RUN, SETTLE],
        then: &[Step::Reuse(1), Step::Read(1, true)],
        told: "RS405 not_run",
    },
    Story {
        name: "another body, before the outcome",
        before: &[CLAIM, RUN],
        then: &[Step::Reuse(1), Step::Read(1, true)],
        told: "RS405 not_run",
    },
    Story {
        name: "another body, log out before the outcome",
        before: &[CLAIM, RUN, &[Step::Begin(1, true), Step::Read(1, true)]],
        then: &[Step::Reuse(1), Step::Read(1, false), Step::Pass(600)],
        told: "RS402 may_have_run",
    },
    Story {
        name: "log that lost its records",
        before: &[CLAIM, RUN, SETTLE],
        then: &[Step::Begin(0, true), Step::Lose, Step::Read(0, true), Step::Pass(600)],
        told: "RS502 may_have_run",
    },
    Story {
        name: "settled as not run",
        before: &[CLAIM, GONE, &[Step::Pass(70_000)], WORD],
        then: OTHER,
        told: "won",
    },
    Story {
        name: "settled as run",
        before: &[CLAIM, RUN, GONE, &[Step::Pass(70_000)], WORD],
        then: OTHER,
        told: "RS406 may_have_run",
    },
    Story {
        name: "settled too early",
        before: &[CLAIM, GONE, &[Step::Pass(60_000)], WORD],
        then: OTHER,
        told: "RS402 may_have_run",
    },
    Story {
        name: "paused claimant wakes after the word",
        before: &[CLAIM, &[Step::Freeze(70_000)], WORD, &[Step::Dispatch(0)]],
        then: OTHER,
        told: "won",
    },
    Story {
        name: "record trimmed",
        before: &[CLAIM, RUN, SETTLE, &[Step::Trim]],
        then: &[Step::Begin(1, false), Step::Read(1, true), Step::Read(1, true)],
        told: "RS403 may_have_run",
    },
];

#[test]
fn faults_at_each_step() {
    for case in STORIES {
        let mut world = World::new();
        for step in case.before.iter().copied().flatten().chain(case.then) {
            world.step(*step);
        }
        assert_eq!(told(&world), case.told, "{}", case.name);
    }
}
