//! Admission control: requests queue, and every one of them is admitted or refused in time.

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

const LONG_DEADLINE: Duration = Duration::from_mins(1);

struct FixedConfig(Option<Arc<Fleet>>);

impl ConfigSource for FixedConfig {
    fn current(&self) -> Option<ActiveConfig> {
        Some(ActiveConfig { fleet: self.0.clone()?, offset: 1, digest: 0 })
    }
}

/// Reports four overloaded slots, so that limits never grow.
struct OverloadedTargets;

impl CapacitySource for OverloadedTargets {
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

fn request(left: Duration) -> RequestInfo {
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

fn driver(fleet: Option<Arc<Fleet>>) -> Arc<AdmissionDriver> {
    Arc::new(AdmissionDriver::new(
        Arc::new(FixedConfig(fleet)),
        Arc::new(Hosts::default()),
        Arc::new(OverloadedTargets),
    ))
}

/// Fills the service so that the next request has to queue.
fn fill(driver: &AdmissionDriver) -> Vec<Permit> {
    // The first refresh after a service has been used sets its limit from the capacity.
    let mut permits = vec![driver.admit(&request(LONG_DEADLINE)).unwrap()];
    driver.refresh_limits(Instant::now());
    permits.extend((1..5).map(|_| driver.admit(&request(LONG_DEADLINE)).unwrap()));
    permits
}

#[test]
fn every_queued_request_is_admitted() {
    let driver = driver(Some(fleet()));
    let permits = fill(&driver);
    let done = Arc::new(AtomicUsize::new(0));
    std::thread::scope(|scope| {
        for _ in 0..40 {
            let (driver, done) = (Arc::clone(&driver), Arc::clone(&done));
            scope.spawn(move || {
                drop(driver.admit(&request(LONG_DEADLINE)).unwrap());
                done.fetch_add(1, Ordering::SeqCst);
            });
        }
        let started = Instant::now();
        while driver.counts("s").1 < 40 && started.elapsed() < LONG_DEADLINE / 3 {
            std::thread::yield_now();
        }
        assert_eq!(done.load(Ordering::SeqCst), 0, "none is admitted beyond the limit");
        drop(permits);
    });
    assert_eq!((done.load(Ordering::SeqCst), driver.counts("s")), (40, (0, 0)));
}

#[test]
fn a_queued_request_gives_up_in_time() {
    let driver = driver(Some(fleet()));
    let permits = fill(&driver);
    let refusal = driver.admit(&request(Duration::from_millis(50))).err().unwrap();
    assert_eq!((refusal.code, refusal.verdict), (Code::TooLate, Verdict::NotRun));
    assert!(refusal.retry_after.is_some());
    assert_eq!(driver.counts("s"), (5, 0));
    drop(permits);
    assert_eq!(driver.counts("s"), (0, 0));
}

#[test]
fn without_a_configuration_nothing_is_admitted() {
    let refusal = driver(None).admit(&request(Duration::from_secs(1))).err().unwrap();
    assert_eq!((refusal.code, refusal.verdict), (Code::NoConfiguration, Verdict::NotRun));
}
