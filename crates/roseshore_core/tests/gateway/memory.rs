//! The account of what a host holds.

use proptest::prelude::*;
use roseshore_core::gateway::Fingerprint;
use roseshore_core::gateway::memory::{
    Account, BLOCK, Body, Buffer, Candidate, Holder, MemoryLimits, Relief, least_active,
};
use roseshore_core::prelude::*;
use std::io::Write;

/// A change of the buffers that are charged to an account.
#[derive(Clone, Debug)]
enum Change {
    Create,
    Extend(usize, usize),
    Drain(usize, usize),
    Take(usize),
    Drop(usize),
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        Just(Change::Create),
        (any::<usize>(), 0..100_000_usize).prop_map(|(at, count)| Change::Extend(at, count)),
        (any::<usize>(), 0..100_000_usize).prop_map(|(at, count)| Change::Drain(at, count)),
        any::<usize>().prop_map(Change::Take),
        any::<usize>().prop_map(Change::Drop),
    ]
}

proptest! {
    /// The account is the sum of what its buffers take, and nothing once they are gone.
    #[test]
    fn an_account_is_the_sum_of_its_buffers(changes in prop::collection::vec(change(), 0..60)) {
        let account = Account::default();
        let mut buffers: Vec<Buffer> = Vec::new();
        for change in changes {
            let count = buffers.len();
            match change {
                Change::Create => buffers.push(account.buffer(Holder::Answers)),
                _ if count == 0 => {}
                Change::Extend(at, more) => {
                    buffers[at % count].edit(|bytes| bytes.resize(bytes.len() + more, 0));
                }
                Change::Drain(at, less) => {
                    buffers[at % count].edit(|bytes| drop(bytes.drain(..less.min(bytes.len()))));
                }
                Change::Take(at) => drop(buffers[at % count].take()),
                Change::Drop(at) => drop(buffers.remove(at % count)),
            }
            prop_assert_eq!(account.used(), buffers.iter().map(Buffer::charged).sum::<usize>());
            prop_assert!(buffers.iter().all(|buffer| buffer.charged() >= buffer.len()));
        }
        drop(buffers);
        prop_assert_eq!(account.used(), 0);
    }
}

proptest! {
    /// A body has the bytes that were appended, and the account is the memory of its blocks.
    #[test]
    fn a_body_is_what_was_appended(parts in prop::collection::vec(0..3 * BLOCK, 0..8)) {
        let account = Account::default();
        let mut body = account.body(Holder::Receiving);
        let mut expected = Vec::new();
        for (number, count) in parts.into_iter().enumerate() {
            let part: Vec<u8> = (0..count).map(|at| (at + number) as u8).collect();
            body.write_all(&part).expect("memory");
            expected.extend_from_slice(&part);
            prop_assert_eq!(body.len(), expected.len());
            prop_assert!(body.charged() >= body.len() && body.charged() <= body.len() + 2 * BLOCK);
        }
        prop_assert_eq!(body.blocks().collect::<Vec<_>>().concat(), &expected[..]);
        for offset in (0..expected.len()).step_by(BLOCK / 2 + 1) {
            prop_assert!(!body.block_from(offset).is_empty());
            prop_assert!(expected[offset..].starts_with(body.block_from(offset)));
        }
        prop_assert!(body.block_from(expected.len()).is_empty());
        let fields: [&[u8]; 2] = [b"POST", b"/draft/"];
        prop_assert_eq!(
            Fingerprint::of_request(Some("acme"), &fields, &body),
            Fingerprint::of(Some("acme"), &[fields[0], fields[1], &expected])
        );
        let charged = body.charged();
        body.pass_to(Holder::Requests);
        prop_assert_eq!(account.used_by(Holder::Receiving), 0);
        prop_assert_eq!(account.used_by(Holder::Requests), charged);
        drop(body);
        prop_assert_eq!(account.used(), 0);
    }
}

/// What holders take, in hundredths of the memory, and what has to be given up.
struct Pressure {
    name: &'static str,
    held: &'static [(Holder, usize)],
    reliefs: &'static [(Relief, usize)],
    total: Option<usize>,
}

const MEMORY: usize = 100 * 64 * BLOCK;

const PRESSURES: [Pressure; 9] = [
    Pressure { name: "nothing", held: &[], reliefs: &[], total: None },
    Pressure {
        name: "all at their limits",
        held: &[(Holder::Receiving, 25), (Holder::Answers, 25), (Holder::Unread, 12)],
        reliefs: &[],
        total: None,
    },
    Pressure {
        name: "incomplete requests",
        held: &[(Holder::Receiving, 30)],
        // An eighth of the limit is freed beyond it.
        reliefs: &[(Relief::Receiving, 8)],
        total: None,
    },
    Pressure {
        name: "complete requests leave no room for others",
        held: &[(Holder::Requests, 25), (Holder::Receiving, 1)],
        reliefs: &[(Relief::Receiving, 4)],
        total: None,
    },
    Pressure {
        name: "unfinished answers",
        held: &[(Holder::Answers, 27)],
        reliefs: &[(Relief::Answers, 2)],
        total: None,
    },
    Pressure {
        name: "output that few callers read",
        held: &[(Holder::Unread, 20)],
        reliefs: &[(Relief::Stalled, 7)],
        total: None,
    },
    Pressure {
        name: "output that no caller reads fast enough",
        held: &[(Holder::Unread, 30)],
        reliefs: &[(Relief::Stalled, 17), (Relief::Unread, 5)],
        total: None,
    },
    Pressure {
        name: "each within its limit, too much together",
        held: &[
            (Holder::Requests, 25),
            (Holder::Answers, 25),
            (Holder::Unread, 12),
            (Holder::Relayed, 6),
        ],
        reliefs: &[],
        total: Some(5),
    },
    Pressure { name: "other hosts", held: &[(Holder::Relayed, 20)], reliefs: &[], total: None },
];

#[test]
fn what_exceeds_a_limit_is_given_up() {
    const HUNDREDTH: usize = MEMORY / 100;
    let percent = |bytes: usize| bytes.div_euclid(HUNDREDTH);
    for case in PRESSURES {
        let account = Account::default();
        let limits = MemoryLimits::new(Some(MEMORY));
        let held: Vec<Body> = case
            .held
            .iter()
            .map(|(holder, hundredths)| {
                let mut body = account.body(*holder);
                body.write_all(&vec![0; hundredths * HUNDREDTH]).expect("memory");
                body
            })
            .collect();
        let reliefs: Vec<_> = limits
            .reliefs(&account)
            .into_iter()
            .map(|(relief, bytes)| (relief, percent(bytes)))
            .collect();
        assert_eq!(reliefs, case.reliefs, "{}", case.name);
        assert_eq!(limits.total_excess(&account).map(percent), case.total, "{}", case.name);
        drop(held);
    }
}

#[test]
fn those_without_progress_for_longest_are_given_up_first() {
    let start = Instant::now();
    let candidate = |key, seconds, bytes| {
        let active = start + Duration::from_secs(seconds);
        Candidate { key, bytes, active }
    };
    let candidates = vec![candidate("new", 3, 10), candidate("old", 1, 1), candidate("mid", 2, 10)];
    assert_eq!(least_active(candidates.clone(), 0), Vec::<&str>::new());
    assert_eq!(least_active(candidates.clone(), 1), ["old"]);
    assert_eq!(least_active(candidates.clone(), 2), ["old", "mid"]);
    assert_eq!(least_active(candidates, 100), ["old", "mid", "new"]);
}

#[test]
fn a_host_takes_no_request_that_it_has_no_memory_for() {
    let (account, limits) = (Account::default(), MemoryLimits::new(Some(MEMORY)));
    let mut complete = account.body(Holder::Requests);
    assert!(!limits.lacks_room(&account, limits.max_body()));
    assert!(limits.lacks_room(&account, limits.max_body() + 1));
    complete.write_all(&vec![0; limits.max_body()]).expect("memory");
    assert!(limits.lacks_room(&account, BLOCK + 1));
    // Short ones are always taken.
    assert!(!limits.lacks_room(&account, BLOCK));
    assert_eq!(MemoryLimits::new(Some(260_000_000)).answers(), 65_000_000);
    assert!(MemoryLimits::new(None).answers() < 256 << 20);
}
