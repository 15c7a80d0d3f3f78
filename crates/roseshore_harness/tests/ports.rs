//! Ports for programs under test.

use roseshore_harness::process::free_port;
use std::net::{Ipv4Addr, TcpListener};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};

/// Guards against a program that cannot listen at its port, as another program that is being started
/// has inherited the socket by which the port was found free.
#[test]
fn a_free_port_can_be_used_at_once_while_programs_start() {
    let stop = AtomicBool::new(false);
    let start_programs = || {
        while !stop.load(Ordering::Relaxed) {
            Command::new("true").status().expect("a program that does nothing");
        }
    };
    let in_use = std::thread::scope(|scope| {
        (0..8).for_each(|_| drop(scope.spawn(start_programs)));
        let in_use = |port: &u16| TcpListener::bind((Ipv4Addr::LOCALHOST, *port)).is_err();
        let count = std::iter::repeat_with(free_port).take(4000).filter(in_use).count();
        stop.store(true, Ordering::Relaxed);
        count
    });
    assert_eq!(in_use, 0, "ports in use");
}
