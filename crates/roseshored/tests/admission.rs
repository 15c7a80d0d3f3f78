//! The driver of admission: threads wait for their turn, and every one of them gets an end.

#[path = "support/hosts.rs"]
mod hosts;

use hosts::Hosts;
use roseshore_core::admit::Capacity;
use roseshore_core::fleet::ServiceKind;
use roseshore_core::prelude::*;
use roseshore_ports::inside::{ActiveConfig, AdmissionControl, ConfigSource, Permit, RequestInfo};
use roseshored::admission::{AdmissionDriver, CapacitySource};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

const LONG: Duration = Duration::from_mins(1);

struct Fixed(Option<Arc<Fleet>>);

impl ConfigSource for Fixed {
    fn current(&self) -> Option<ActiveConfig> {
        Some(ActiveConfig { fleet: self.0.clone()?, offset: 1, digest: 0 })
    }
}

/// Four slots that are overcrowded, so that a limit never grows.
struct Four;

impl CapacitySource for Four {
    fn capacity(&self, _: &ServiceId) -> Option<Capacity> {
        Some(Capacity { slots: 4.0, busy: 100.0 })
    }
}

fn fleet() -> Arc<Fleet> {
    let mut fleet = Fleet::default();
    let service = Service {
        kind: ServiceKind::Plain,
        model: None,
        sources: Vec::new(),
        idempotent: true,
        advisory: false,
        deadline: Duration::from_secs(30),
    };
    fleet.services.insert("s".into(), service);
    let limits = Organisation { share: 1.0, rate: 1e6, burst: 1e6 };
    fleet.organisations.insert("o".into(), limits);
    Arc::new(fleet)
}

fn ask(left: Duration) -> RequestInfo {
    let now = Instant::now();
    RequestInfo {
        request: "r".into(),
        organisation: "o".into(),
        service: "s".into(),
        deadline: now + left,
        arrived: now,
        priority: 4,
        cost: 1,
    }
}

fn door(fleet: Option<Arc<Fleet>>) -> Arc<AdmissionDriver> {
    Arc::new(AdmissionDriver::new(
        Arc::new(Fixed(fleet)),
        Arc::new(Hosts::default()),
        Arc::new(Four),
    ))
}

/// Fills the service, so that the next one has to wait.
fn fill(door: &AdmissionDriver) -> Vec<Permit> {
    // The first renewal after a line exists fits its limit to the room.
    let mut permits = vec![door.admit(&ask(LONG)).unwrap()];
    door.renew(Instant::now());
    permits.extend((1..5).map(|_| door.admit(&ask(LONG)).unwrap()));
    permits
}

#[test]
fn every_waiting_thread_has_its_turn() {
    let door = door(Some(fleet()));
    let permits = fill(&door);
    let done = Arc::new(AtomicUsize::new(0));
    std::thread::scope(|scope| {
        for _ in 0..40 {
            let (door, done) = (Arc::clone(&door), Arc::clone(&done));
            scope.spawn(move || {
                drop(door.admit(&ask(LONG)).unwrap());
                done.fetch_add(1, Ordering::SeqCst);
            });
        }
        let begun = Instant::now();
        while door.counts("s").1 < 40 && begun.elapsed() < LONG / 3 {
            std::thread::yield_now();
        }
        assert_eq!(done.load(Ordering::SeqCst), 0, "none is admitted beyond the limit");
        drop(permits);
    });
    assert_eq!((done.load(Ordering::SeqCst), door.counts("s")), (40, (0, 0)));
}

#[test]
fn a_waiting_thread_gives_up_in_time() {
    let door = door(Some(fleet()));
    let permits = fill(&door);
    let refusal = door.admit(&ask(Duration::from_millis(50))).err().unwrap();
    assert_eq!((refusal.code, refusal.verdict), (Code::TooLate, Verdict::NotRun));
    assert!(refusal.retry_after.is_some());
    assert_eq!(door.counts("s"), (5, 0));
    drop(permits);
    assert_eq!(door.counts("s"), (0, 0));
}

#[test]
fn without_a_configuration_nothing_is_let_in() {
    let refusal = door(None).admit(&ask(Duration::from_secs(1))).err().unwrap();
    assert_eq!((refusal.code, refusal.verdict), (Code::NoConfiguration, Verdict::NotRun));
}
