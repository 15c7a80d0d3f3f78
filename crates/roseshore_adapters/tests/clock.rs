//! The system clock that includes suspended time.

use roseshore_adapters::clock::BootClock;
use roseshore_ports::clock::Clock;
use std::cell::Cell;
use std::time::Duration;

thread_local! {
    static SINCE_BOOT: Cell<Duration> = const { Cell::new(Duration::from_secs(100)) };
}

#[test]
fn it_moves_on_with_the_time_since_the_start() {
    let clock = BootClock::with_source(|| SINCE_BOOT.get());
    let first = clock.now();
    assert_eq!(clock.now(), first);
    SINCE_BOOT.set(Duration::from_secs(107));
    assert_eq!(clock.now() - first, Duration::from_secs(7));
    SINCE_BOOT.set(Duration::from_secs(99));
    assert_eq!(clock.now(), first, "the clock does not go back before its creation");
}

#[test]
fn the_system_s_time_since_the_start_is_what_the_kernel_tells() {
    let uptime = || {
        let text = std::fs::read_to_string("/proc/uptime").expect("/proc/uptime is readable");
        let first = text.split(' ').next().expect("two numbers");
        Duration::from_secs_f64(first.parse().expect("a number"))
    };
    let clock = BootClock::new();
    let (before, first) = (uptime(), clock.now());
    std::thread::sleep(Duration::from_millis(30));
    let (second, after) = (clock.now(), uptime());
    // `/proc/uptime` has two decimal places.
    let resolution = Duration::from_millis(10);
    assert!(before + (second - first) <= after + resolution * 2);
    assert!(second - first >= Duration::from_millis(30));
}
