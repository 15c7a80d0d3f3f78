//! Tests of how many silent requests are sent elsewhere before their targets have read them.

use roseshore_core::gateway::Moves;

/// Hosts, of which each moves requests that its targets have read, and tries to move others.
struct Case {
    name: &'static str,
    hosts: usize,
    read: u32,
    unread: u32,
    /// How many of the others each host moves.
    moved: u32,
}

const CASES: [Case; 5] = [
    Case { name: "the first", hosts: 6, read: 0, unread: 1, moved: 1 },
    Case { name: "more than a few", hosts: 6, read: 0, unread: 50, moved: 1 },
    Case { name: "beside many that were read", hosts: 6, read: 100, unread: 50, moved: 14 },
    Case { name: "many hosts", hosts: 300, read: 0, unread: 50, moved: 0 },
    Case { name: "many hosts, beside some read", hosts: 300, read: 17, unread: 50, moved: 2 },
];

/// Guards against copies that targets read after their requests were answered elsewhere.
#[test]
fn unread_copies_are_a_small_part_of_all_moves() {
    for case in CASES {
        let mut state = Moves::default();
        (0..case.read).for_each(|_| state.record(false));
        let allowed = (0..case.unread).take_while(|_| {
            let allowed = state.may_leave_unread(case.hosts);
            if allowed {
                state.record(true);
            }
            allowed
        });
        let moved = allowed.count() as u32;
        assert_eq!(moved, case.moved, "{}", case.name);
        let (unread, all) = (moved * case.hosts as u32, (moved + case.read) * case.hosts as u32);
        assert!(unread <= 20 || f64::from(unread) <= 0.2 * f64::from(all), "{}", case.name);
    }
}
