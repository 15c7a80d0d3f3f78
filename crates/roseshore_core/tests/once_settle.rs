//! Operators' settlements of keys: their effect at any place in the stream, and when they may be
//! sent.

use roseshore_core::once::Outcome;
use roseshore_core::once::keys::{Keys, State};
use roseshore_core::once::partition::{ClaimantStatus, KeyStatus, may_settle};
use roseshore_core::once::record::{Act, Nonce, Owner, Record, Settlement};
use roseshore_core::prelude::*;

const KEY: &str = "o/s/plain";
/// The log's time between records, in milliseconds. It is long enough for a claim with no time left
/// to be settled by the next record.
const RECORD_GAP: u64 = 60_000;

fn claim(left: u64) -> Act {
    Act::Claim { owner: Owner { host: "h1".into(), incarnation: 1 }, digest: 7, left }
}

fn outcome(verdict: Verdict) -> Act {
    Act::Outcome { digest: 7, outcome: Outcome { verdict, ..Outcome::unknown() }, whole: true }
}

fn ran(claim: impl Into<Option<Nonce>>) -> Act {
    settle(true, claim.into())
}

fn not_run(claim: impl Into<Option<Nonce>>) -> Act {
    settle(false, claim.into())
}

fn settle(ran: bool, claim: Option<Nonce>) -> Act {
    Act::Settle(Settlement { operator: "op".into(), note: "looked".into(), ran, claim })
}

struct Case {
    name: &'static str,
    records: Vec<(Nonce, Act)>,
    state: &'static str,
}

// One case a line.
#[rustfmt::skip]
fn cases() -> Vec<Case> {
    let (unknown, whole) = (|| outcome(Verdict::MayHaveRun), || outcome(Verdict::Answered));
    vec![
        Case { name: "not run frees, and voids the claim", records: vec![(1, claim(0)), (9, not_run(1)), (1, claim(0))], state: "free" },
        Case { name: "not run of an unknown key frees", records: vec![(1, claim(0)), (1, unknown()), (9, not_run(1))], state: "free" },
        Case { name: "a freed key can be claimed", records: vec![(1, claim(0)), (9, not_run(1)), (2, claim(0))], state: "held 2" },
        Case { name: "the first settlement stands", records: vec![(1, claim(0)), (9, ran(1)), (8, not_run(1)), (2, claim(0))], state: "ran" },
        Case { name: "a settlement sent twice does not void a later claim", records: vec![(1, claim(0)), (9, not_run(1)), (2, claim(0)), (9, not_run(1))], state: "held 2" },
        Case { name: "a settlement sent twice, the second for the later claim", records: vec![(9, not_run(2)), (2, claim(0)), (9, not_run(2))], state: "held 2" },
        Case { name: "a settlement of an earlier claim", records: vec![(1, claim(0)), (1, Act::Abandon), (2, claim(0)), (9, not_run(1))], state: "held 2" },
        Case { name: "the claimant may still dispatch", records: vec![(1, claim(2 * RECORD_GAP)), (9, not_run(1)), (8, ran(1))], state: "held 1" },
        Case { name: "the claimant may not dispatch any more", records: vec![(1, claim(RECORD_GAP)), (9, not_run(1)), (8, not_run(1))], state: "free" },
        Case { name: "no settlement changes an answer", records: vec![(1, claim(0)), (1, whole()), (9, not_run(1)), (8, ran(1))], state: "settled" },
        Case { name: "work that ran after all", records: vec![(1, claim(0)), (9, not_run(1)), (1, whole())], state: "settled" },
        Case { name: "the claimant's unknown outcome comes late", records: vec![(1, claim(0)), (9, ran(1)), (1, unknown())], state: "ran" },
        Case { name: "a key without a claim", records: vec![(9, ran(None)), (1, claim(0))], state: "ran" },
        Case { name: "nothing to free", records: vec![(9, not_run(None))], state: "free" },
    ]
}

#[test]
fn fold_of_a_settlement() {
    for case in cases() {
        let mut keys = Keys::new(100);
        for (at, (nonce, act)) in case.records.into_iter().enumerate() {
            let record = Record { key: KEY.into(), nonce, act };
            keys.apply(at as Offset, at as u64 * RECORD_GAP, &record.line());
        }
        let state = match keys.state(&KEY.into()) {
            State::Free => "free".into(),
            State::Held(held) => format!("held {}", held.nonce),
            State::Unknown(held) => format!("unknown {}", held.nonce),
            State::Recorded(_) => "settled".into(),
            State::Ran(_) => "ran".into(),
        };
        assert_eq!(state, case.state, "{}", case.name);
    }
}

struct SendCase {
    name: &'static str,
    records: Vec<(Nonce, Act)>,
    current: bool,
    claimant: ClaimantStatus,
    ran: bool,
    expected: &'static str,
}

// One case a line.
#[rustfmt::skip]
fn send_cases() -> Vec<SendCase> {
    let held = || vec![(1, claim(0)), (2, Act::Mark), (3, Act::Mark)];
    let (gone, current) = (ClaimantStatus::Gone, true);
    vec![
        SendCase { name: "claimant gone", records: held(), current, claimant: gone, ran: false, expected: "Some(1)" },
        SendCase { name: "claimant does not know the key", records: held(), current, claimant: ClaimantStatus::Idle, ran: true, expected: "Some(1)" },
        SendCase { name: "claimant works", records: held(), current, claimant: ClaimantStatus::Working, ran: true, expected: "RS401" },
        SendCase { name: "claimant does not answer", records: held(), current, claimant: ClaimantStatus::Unresponsive, ran: false, expected: "RS401" },
        SendCase { name: "claimant may still dispatch", records: vec![(1, claim(RECORD_GAP)), (2, Act::Mark)], current, claimant: gone, ran: true, expected: "RS401" },
        SendCase { name: "claimant does not know", records: vec![(1, claim(9 * RECORD_GAP)), (1, outcome(Verdict::MayHaveRun))], current, claimant: gone, ran: false, expected: "Some(1)" },
        SendCase { name: "log not read", records: held(), current: false, claimant: gone, ran: true, expected: "RS502" },
        SendCase { name: "answered", records: vec![(1, claim(0)), (1, outcome(Verdict::Answered))], current, claimant: gone, ran: true, expected: "RS701" },
        SendCase { name: "settled", records: vec![(9, ran(None))], current, claimant: gone, ran: false, expected: "RS701" },
        SendCase { name: "free, not run", records: vec![], current, claimant: gone, ran: false, expected: "RS702" },
        SendCase { name: "free, ran", records: vec![], current, claimant: gone, ran: true, expected: "None" },
    ]
}

#[test]
fn when_a_settlement_may_be_sent() {
    for case in send_cases() {
        let mut keys = Keys::new(100);
        for (at, (nonce, act)) in case.records.into_iter().enumerate() {
            let record = Record { key: KEY.into(), nonce, act };
            keys.apply(at as Offset, at as u64 * RECORD_GAP, &record.line());
        }
        let (current, time, state) =
            (case.current, keys.newest_time(), keys.state(&KEY.into()).clone());
        let status = KeyStatus {
            offset: keys.next(),
            current,
            time,
            covered: true,
            state,
            settlement: None,
        };
        let expected = match may_settle(&KEY.into(), &status, case.ran, case.claimant) {
            Ok(claim) => format!("{claim:?}"),
            Err(refusal) => refusal.code.to_string(),
        };
        assert_eq!(expected, case.expected, "{}", case.name);
    }
}
