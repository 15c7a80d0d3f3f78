//! The account of what a host holds.

use proptest::prelude::*;
use roseshore_core::gateway::memory::{Account, Buffer, answers_limit};

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
                Change::Create => buffers.push(account.buffer()),
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

#[test]
fn unfinished_answers_get_a_part_of_the_memory() {
    assert_eq!(answers_limit(Some(260_000_000)), 65_000_000);
    assert!(answers_limit(None) < 256 << 20);
}
