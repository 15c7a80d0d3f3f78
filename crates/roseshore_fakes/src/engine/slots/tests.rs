//! Tests of the order in which steps get slots.

use super::Slots;
use std::sync::Arc;
use std::thread;

#[test]
fn larger_priority_goes_first() {
    struct Case {
        name: &'static str,
        slots: u32,
        arrive: &'static [u8],
        served: &'static [usize],
    }
    let cases = [
        Case { name: "equal: by arrival", slots: 1, arrive: &[4, 4, 4], served: &[0, 1, 2] },
        Case { name: "larger first", slots: 1, arrive: &[1, 9, 4], served: &[1, 2, 0] },
        Case { name: "two slots", slots: 2, arrive: &[1, 9, 4, 9], served: &[1, 3, 2, 0] },
    ];
    for case in cases {
        let slots = Arc::new(Slots::new(case.slots));
        let held: Vec<_> = (0..case.slots).map(|_| slots.take(0)).collect();
        let (sender, served) = flume::unbounded();
        for (index, priority) in case.arrive.iter().copied().enumerate() {
            let (mine, sender) = (slots.clone(), sender.clone());
            thread::spawn(move || {
                let slot = mine.take(priority);
                // Releases the slot only after the order is recorded.
                let _ = sender.send(index);
                drop(slot);
            });
            while slots.waiting() as usize <= index {
                thread::yield_now();
            }
        }
        let mut held = held.into_iter();
        drop(held.next());
        let order: Vec<_> = served.iter().take(case.arrive.len()).collect();
        assert_eq!(order, case.served, "{}", case.name);
    }
}
