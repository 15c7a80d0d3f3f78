//! An operator's word on a key, wherever it lands in the stream.

use roseshore_core::once::Outcome;
use roseshore_core::once::keys::{Keys, State};
use roseshore_core::once::partition::{ClaimantStatus, KeyStatus, may_settle};
use roseshore_core::once::record::{Act, Nonce, Owner, Record, Settlement};
use roseshore_core::prelude::*;

const KEY: &str = "o/s/plain";
/// The log's time from one record to the next, milliseconds; a claim without time left can then be
/// settled by the next record.
const STEP: u64 = 60_000;

fn claim(left: u64) -> Act {
    Act::Claim { owner: Owner { host: "h1".into(), incarnation: 1 }, digest: 7, left }
}

fn ended(verdict: Verdict) -> Act {
    Act::Outcome { digest: 7, outcome: Outcome { verdict, ..Outcome::unknown() }, whole: true }
}

fn ran(claim: impl Into<Option<Nonce>>) -> Act {
    word(true, claim.into())
}

fn not(claim: impl Into<Option<Nonce>>) -> Act {
    word(false, claim.into())
}

fn word(ran: bool, claim: Option<Nonce>) -> Act {
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
    let (unknown, whole) = (|| ended(Verdict::MayHaveRun), || ended(Verdict::Answered));
    vec![
        Case { name: "not run frees, and voids the claim", records: vec![(1, claim(0)), (9, not(1)), (1, claim(0))], state: "free" },
        Case { name: "not run of an unknown key frees", records: vec![(1, claim(0)), (1, unknown()), (9, not(1))], state: "free" },
        Case { name: "a freed key can be claimed", records: vec![(1, claim(0)), (9, not(1)), (2, claim(0))], state: "held 2" },
        Case { name: "the first word stays", records: vec![(1, claim(0)), (9, ran(1)), (8, not(1)), (2, claim(0))], state: "ran" },
        Case { name: "a word sent twice does not void a later claim", records: vec![(1, claim(0)), (9, not(1)), (2, claim(0)), (9, not(1))], state: "held 2" },
        Case { name: "a word sent twice, the second for the later claim", records: vec![(9, not(2)), (2, claim(0)), (9, not(2))], state: "held 2" },
        Case { name: "a word about an earlier claim", records: vec![(1, claim(0)), (1, Act::Abandon), (2, claim(0)), (9, not(1))], state: "held 2" },
        Case { name: "the claimant may still dispatch", records: vec![(1, claim(2 * STEP)), (9, not(1)), (8, ran(1))], state: "held 1" },
        Case { name: "the claimant may not dispatch any more", records: vec![(1, claim(STEP)), (9, not(1)), (8, not(1))], state: "free" },
        Case { name: "no word changes an answer", records: vec![(1, claim(0)), (1, whole()), (9, not(1)), (8, ran(1))], state: "settled" },
        Case { name: "work that ran after all", records: vec![(1, claim(0)), (9, not(1)), (1, whole())], state: "settled" },
        Case { name: "the claimant's doubt comes late", records: vec![(1, claim(0)), (9, ran(1)), (1, unknown())], state: "ran" },
        Case { name: "a key without a claim", records: vec![(9, ran(None)), (1, claim(0))], state: "ran" },
        Case { name: "nothing to free", records: vec![(9, not(None))], state: "free" },
    ]
}

#[test]
fn fold_of_a_word() {
    for case in cases() {
        let mut keys = Keys::new(100);
        for (at, (nonce, act)) in case.records.into_iter().enumerate() {
            let record = Record { key: KEY.into(), nonce, act };
            keys.apply(at as Offset, at as u64 * STEP, &record.line());
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

struct Asked {
    name: &'static str,
    records: Vec<(Nonce, Act)>,
    current: bool,
    claimant: ClaimantStatus,
    ran: bool,
    told: &'static str,
}

// One case a line.
#[rustfmt::skip]
fn asked() -> Vec<Asked> {
    let held = || vec![(1, claim(0)), (2, Act::Mark), (3, Act::Mark)];
    let (gone, current) = (ClaimantStatus::Gone, true);
    vec![
        Asked { name: "claimant gone", records: held(), current, claimant: gone, ran: false, told: "Some(1)" },
        Asked { name: "claimant does not know the key", records: held(), current, claimant: ClaimantStatus::Idle, ran: true, told: "Some(1)" },
        Asked { name: "claimant works", records: held(), current, claimant: ClaimantStatus::Working, ran: true, told: "RS401" },
        Asked { name: "claimant does not answer", records: held(), current, claimant: ClaimantStatus::Unresponsive, ran: false, told: "RS401" },
        Asked { name: "claimant may still dispatch", records: vec![(1, claim(STEP)), (2, Act::Mark)], current, claimant: gone, ran: true, told: "RS401" },
        Asked { name: "claimant does not know", records: vec![(1, claim(9 * STEP)), (1, ended(Verdict::MayHaveRun))], current, claimant: gone, ran: false, told: "Some(1)" },
        Asked { name: "log not read", records: held(), current: false, claimant: gone, ran: true, told: "RS502" },
        Asked { name: "answered", records: vec![(1, claim(0)), (1, ended(Verdict::Answered))], current, claimant: gone, ran: true, told: "RS701" },
        Asked { name: "settled", records: vec![(9, ran(None))], current, claimant: gone, ran: false, told: "RS701" },
        Asked { name: "free, not run", records: vec![], current, claimant: gone, ran: false, told: "RS702" },
        Asked { name: "free, ran", records: vec![], current, claimant: gone, ran: true, told: "None" },
    ]
}

#[test]
fn what_may_be_sent() {
    for case in asked() {
        let mut keys = Keys::new(100);
        for (at, (nonce, act)) in case.records.into_iter().enumerate() {
            let record = Record { key: KEY.into(), nonce, act };
            keys.apply(at as Offset, at as u64 * STEP, &record.line());
        }
        let (current, time, state) =
            (case.current, keys.newest_time(), keys.state(&KEY.into()).clone());
        let known = KeyStatus {
            offset: keys.next(),
            current,
            time,
            covered: true,
            state,
            settlement: None,
        };
        let told = match may_settle(&KEY.into(), &known, case.ran, case.claimant) {
            Ok(claim) => format!("{claim:?}"),
            Err(refusal) => refusal.code.to_string(),
        };
        assert_eq!(told, case.told, "{}", case.name);
    }
}
