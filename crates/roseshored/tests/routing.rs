//! Target selection: leaving hosts, failed targets, permits and load reports.

#[path = "support/hosts.rs"]
mod hosts;

use hosts::Hosts;
use roseshore_core::fleet::TargetKind;
use roseshore_core::prelude::*;
use roseshore_ports::inside::{
    ActiveConfig, ChainNeeds, ConfigSource, Report, ReportContent, ReportStore, Router,
};
use roseshore_wire::engine::{Holding, Load, Role};
use roseshored::routing::Routing;
use std::collections::BTreeSet;
use std::sync::Arc;

struct FixedConfig(Arc<Fleet>);

impl ConfigSource for FixedConfig {
    fn current(&self) -> Option<ActiveConfig> {
        Some(ActiveConfig { fleet: Arc::clone(&self.0), offset: 1, digest: 0 })
    }
}

fn fleet() -> Fleet {
    let mut fleet = Fleet::default();
    for (id, kind) in [("e1", TargetKind::Engine), ("e2", TargetKind::Engine)] {
        let target = Target {
            kind,
            host: format!("host-{id}"),
            data_centre: "d".into(),
            addr: "127.0.0.1:1".parse().unwrap(),
            serves: None,
            model: None,
            layers: None,
            accelerator: None,
            checks_fence: false,
        };
        fleet.targets.insert(id.into(), target);
    }
    fleet
}

fn report(id: &str) -> Report {
    let holding = Holding {
        incarnation: 5,
        model: Some("m".into()),
        version: Some("v".into()),
        layers: (0, 4),
        adapters: BTreeSet::new(),
        role: Role::Both,
        fence: None,
        loading: false,
    };
    let load = Load {
        holding,
        queue: 0,
        running: 0,
        slots: 2,
        step_us: 1000,
        prefill_rate: 1000.0,
        kv_used: 0,
        kv_cap: 100_000,
        kv_bytes: 1,
        leaving: false,
    };
    Report { target: id.into(), seen: Instant::now(), content: ReportContent::Engine(load) }
}

fn needs() -> ChainNeeds {
    ChainNeeds {
        model: "m".into(),
        version: "v".into(),
        layers: 4,
        adapter: None,
        prefixes: Vec::new(),
        prompt: 10,
        expected: 10,
        avoid: Vec::new(),
    }
}

#[test]
fn targets_come_and_go() {
    struct Case {
        name: &'static str,
        leaving: &'static [&'static str],
        failed: &'static [&'static str],
        chosen: &'static [&'static str],
    }
    let cases = [
        Case { name: "both", leaving: &[], failed: &[], chosen: &["e1", "e2"] },
        Case { name: "one leaves", leaving: &["host-e1"], failed: &[], chosen: &["e2"] },
        Case { name: "one failed", leaving: &[], failed: &["e2"], chosen: &["e1"] },
        Case { name: "none", leaving: &["host-e1"], failed: &["e2"], chosen: &[] },
    ];
    for case in cases {
        let hosts = Arc::new(Hosts::default());
        let routing = Routing::new(Arc::new(FixedConfig(Arc::new(fleet()))), hosts.clone());
        for id in ["e1", "e2"] {
            routing.store(report(id));
        }
        hosts.0.lock().extend(case.leaving.iter().map(|id| (*id).to_owned()));
        case.failed.iter().for_each(|id| routing.failed(&(*id).to_owned()));
        for id in ["e1", "e2"] {
            let leaving = case.leaving.contains(&format!("host-{id}").as_str());
            assert_eq!(routing.leaving(&id.to_owned()), leaving, "{}: {id}", case.name);
        }
        let mut chosen = BTreeSet::new();
        // Permits are held so that queues grow and every usable target is chosen.
        let mut permits = Vec::new();
        for _ in 0..20 {
            match routing.chain(&needs()) {
                Ok((chain, permit)) => {
                    let stage = &chain.stages[0];
                    assert_eq!((stage.layers, stage.incarnation), ((0, 4), 5), "{}", case.name);
                    chosen.insert(stage.target.clone());
                    permits.push(permit);
                }
                Err(refusal) => {
                    assert_eq!(refusal.code, Code::NoRoute, "{}", case.name);
                    assert_eq!(refusal.verdict, Verdict::NotRun, "{}", case.name);
                    assert!(refusal.retry_after.is_some(), "{}", case.name);
                }
            }
        }
        let want: BTreeSet<TargetId> = case.chosen.iter().map(|id| (*id).to_owned()).collect();
        assert_eq!(chosen, want, "{}", case.name);
    }
}

#[test]
fn a_permit_counts_until_it_is_dropped() {
    let routing =
        Routing::new(Arc::new(FixedConfig(Arc::new(fleet()))), Arc::new(Hosts::default()));
    for id in ["e1", "e2"] {
        routing.store(report(id));
    }
    let interval = || routing.chain(&needs()).map(|(chain, _)| chain.token_interval).ok();
    let idle = interval();
    let permits: Vec<_> = (0..20).map(|_| routing.chain(&needs()).map(|(_, p)| p).ok()).collect();
    assert!(interval() > idle, "requests in flight must raise the predicted token interval");
    drop(permits);
    assert_eq!(interval(), idle);
}

#[test]
fn the_newest_report_is_shared() {
    let routing =
        Routing::new(Arc::new(FixedConfig(Arc::new(fleet()))), Arc::new(Hosts::default()));
    let old = report("e1");
    let new = report("e1");
    routing.store(new.clone());
    routing.store(old);
    routing.store(report("unknown"));
    let newest: Vec<Instant> = routing.newest().iter().map(|report| report.seen).collect();
    assert_eq!(newest, [new.seen]);
}
