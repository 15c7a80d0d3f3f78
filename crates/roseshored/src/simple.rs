//! First, simple versions of parts, until each has its own.

use crate::settings::Settings;
use crate::spans::same;
use parking_lot::Mutex;
use roseshore_core::fleet::TargetKind;
use roseshore_core::prelude::*;
use roseshore_ports::inside::{
    Ask, Begin, Claim, Claims, End, Fate, Fleets, Ledger, Member, MemberState, Members, Outcome,
    Report, ReportContent, Reports,
};
use roseshore_ports::outside::{CallError, Called, Engine, Peers, Services};
use roseshore_wire::peer;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

/// Ended requests that are remembered.
const REMEMBERED: usize = 4096;
/// How long a target may take to report.
const REPORT_LIMIT: Duration = Duration::from_millis(500);

/// Refuses every key, as without a log nothing can be judged.
pub struct NoClaims;

impl Claims for NoClaims {
    fn begin(&self, _key: &Key, _digest: u64, _deadline: Instant) -> Begin {
        let text = "the record of keys cannot be reached; whether this key ran is not known";
        Begin::Refused(Refusal::may_have_run(Code::LogUnreachable, text))
    }

    fn dispatch(&self, _claim: &Claim) -> bool {
        false
    }

    fn settle(&self, _claim: &Claim, _outcome: Outcome) {}

    fn abandon(&self, _claim: &Claim) {}
}

/// Remembers the last requests of this process.
#[derive(Default)]
pub struct Recent {
    fates: Mutex<Fates>,
}

#[derive(Default)]
struct Fates {
    running: BTreeMap<RequestId, Ask>,
    ended: VecDeque<End>,
}

impl Ledger for Recent {
    fn begun(&self, ask: &Ask) {
        self.fates.lock().running.insert(ask.request.clone(), ask.clone());
    }

    fn ended(&self, end: &End) {
        let mut fates = self.fates.lock();
        fates.running.remove(&end.ask.request);
        if fates.ended.len() >= REMEMBERED {
            fates.ended.pop_front();
        }
        fates.ended.push_back(end.clone());
    }

    fn find(&self, id: &str) -> Option<Fate> {
        let fates = self.fates.lock();
        if let Some(ask) = fates.running.values().find(|it| same(&it.request, id)) {
            return Some(Fate::Running(ask.clone()));
        }
        let ended = fates.ended.iter().rev().find(|it| same(&it.ask.request, id))?;
        Some(Fate::Ended(ended.clone()))
    }
}

/// Knows of no other daemon.
pub struct Alone {
    own: Member,
}

impl Alone {
    /// This daemon by its settings.
    pub fn new(settings: &Settings) -> Alone {
        Alone {
            own: Member {
                host: settings.host.clone(),
                data_centre: settings.data_centre.clone(),
                peer: settings.peer,
                incarnation: 0,
                state: MemberState::Alive,
                offset: 0,
                digest: 0,
            },
        }
    }
}

impl Members for Alone {
    fn own(&self) -> Member {
        self.own.clone()
    }

    fn all(&self) -> Vec<Member> {
        vec![self.own.clone()]
    }

    fn ranked(&self, _subject: &str) -> Vec<Member> {
        vec![self.own.clone()]
    }

    fn leaving(&self, _host: &HostId) -> bool {
        false
    }
}

/// Reaches no other daemon.
pub struct NoPeers;

impl Peers for NoPeers {
    fn ask(&self, _addr: SocketAddr, _ask: &peer::Ask, _limit: Duration) -> Called<peer::Reply> {
        Err(CallError::Unreached("this daemon knows no others yet".to_owned()))
    }
}

/// Polls every declared target, one after the other.
pub struct Poller {
    /// The configuration in force.
    pub fleets: Arc<dyn Fleets>,
    /// Model engines.
    pub engine: Arc<dyn Engine>,
    /// Plain and lookup services.
    pub services: Arc<dyn Services>,
    /// Who takes the reports.
    pub reports: Arc<dyn Reports>,
    /// Between two rounds.
    pub every: Duration,
}

impl Poller {
    /// Polls for as long as the process lives.
    ///
    /// # Errors
    /// When the system gives no thread.
    pub fn start(self) -> std::io::Result<()> {
        let run = move || loop {
            self.round();
            thread::sleep(self.every);
        };
        thread::Builder::new().name("loads".to_owned()).spawn(run).map(drop)
    }

    fn round(&self) {
        let Some(force) = self.fleets.current() else { return };
        for (id, target) in &force.fleet.targets {
            let content = self.poll(target);
            self.reports.take(Report { target: id.clone(), seen: Instant::now(), content });
        }
    }

    fn poll(&self, target: &Target) -> ReportContent {
        let silent = ReportContent::Silent;
        match target.kind {
            TargetKind::Engine => {
                let load = self.engine.load(target.addr, REPORT_LIMIT);
                load.map_or(silent, ReportContent::Engine)
            }
            TargetKind::Service => {
                let load = self.services.load(target.addr, REPORT_LIMIT);
                load.map_or(silent, ReportContent::Service)
            }
        }
    }
}
