//! First, simple versions of parts, until each has its own.

use crate::settings::Settings;
use crate::spans::same;
use parking_lot::Mutex;
use quick_error::quick_error;
use roseshore_core::fleet::TargetKind;
use roseshore_core::prelude::*;
use roseshore_ports::inside::{
    Ask, Begin, Chain, Claim, Claims, End, Fate, Fleets, Gate, InForce, Ledger, Member,
    MemberState, Members, Need, Outcome, Permit, Replica, Router,
};
use roseshore_ports::outside::{
    CallError, Called, Engine, Hop, ServiceReply, Services, StreamItem,
};
use roseshore_wire::engine::{
    CacheEvents, Cancel, Generate, Holding, Kv, KvExport, Load, Order, Stage,
};
use roseshore_wire::service::ServiceLoad;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Ended requests that are remembered.
const REMEMBERED: usize = 4096;

quick_error! {
    /// Why a fixed fleet cannot be used.
    #[derive(Debug)]
    pub enum FleetError {
        /// The file cannot be read.
        File(path: PathBuf, err: std::io::Error) {
            display("`{}` cannot be read: {err}", path.display())
        }
        /// The file is no fleet.
        Toml(path: PathBuf, err: toml::de::Error) {
            display("`{}` is no fleet: {err}", path.display())
        }
    }
}

/// A fleet that never changes.
pub struct StaticFleets {
    current: Option<InForce>,
}

impl StaticFleets {
    /// A fleet, or none.
    pub fn new(fleet: Option<Fleet>) -> StaticFleets {
        let fleet = fleet.map(Arc::new);
        StaticFleets { current: fleet.map(|fleet| InForce { fleet, offset: 0, digest: 0 }) }
    }

    /// The fleet of a TOML file.
    ///
    /// # Errors
    /// When the file cannot be read as a fleet.
    pub fn read(path: Option<&Path>) -> Result<StaticFleets, FleetError> {
        let Some(path) = path else { return Ok(StaticFleets::new(None)) };
        let text =
            std::fs::read_to_string(path).map_err(|err| FleetError::File(path.to_owned(), err))?;
        let fleet = toml::from_str(&text).map_err(|err| FleetError::Toml(path.to_owned(), err))?;
        Ok(StaticFleets::new(Some(fleet)))
    }
}

impl Fleets for StaticFleets {
    fn current(&self) -> Option<InForce> {
        self.current.clone()
    }
}

/// Takes the first declared targets that fit.
pub struct FirstFit {
    fleets: Arc<dyn Fleets>,
}

impl FirstFit {
    /// Chooses among the targets of a fleet.
    pub fn new(fleets: Arc<dyn Fleets>) -> FirstFit {
        FirstFit { fleets }
    }
}

fn no_route(text: String) -> Refusal {
    Refusal::not_run(Code::NoRoute, text)
}

impl Router for FirstFit {
    fn chain(&self, need: &Need) -> Result<(Chain, Permit), Refusal> {
        let fleet = self.fleets.current().map(|it| it.fleet).unwrap_or_default();
        let mut stages: Vec<Stage> = Vec::new();
        let mut next = 0;
        while next < need.layers {
            let fits = |it: &(&TargetId, &Target)| {
                let begins = it.1.layers.is_some_and(|(from, to)| from == next && to > from);
                begins && it.1.model.as_ref() == Some(&need.model) && !need.avoid.contains(it.0)
            };
            let Some((id, target)) = fleet.targets.iter().find(fits) else {
                return Err(no_route(format!("no target holds layer {next} of `{}`", need.model)));
            };
            let layers = target.layers.unwrap_or((next, need.layers));
            stages.push(Stage { target: id.clone(), addr: target.addr, layers, incarnation: 0 });
            next = layers.1;
        }
        let none = Duration::ZERO;
        Ok((Chain { stages, first: none, between: none }, Permit::new(|| {})))
    }

    fn replica(&self, serves: &str, avoid: &[TargetId]) -> Result<(Replica, Permit), Refusal> {
        let fleet = self.fleets.current().map(|it| it.fleet).unwrap_or_default();
        let fits = |it: &(&TargetId, &Target)| {
            let kind = it.1.kind == TargetKind::Service;
            kind && it.1.serves.as_deref() == Some(serves) && !avoid.contains(it.0)
        };
        let Some((id, target)) = fleet.targets.iter().find(fits) else {
            return Err(no_route(format!("no replica of `{serves}` is in use")));
        };
        Ok((Replica { target: id.clone(), addr: target.addr }, Permit::new(|| {})))
    }

    fn failed(&self, _target: &TargetId) {}

    fn observed(&self, _target: &TargetId, _took: Duration) {}
}

/// Admits a fixed number of requests at once.
pub struct Bound {
    most: usize,
    now: Arc<AtomicUsize>,
}

impl Bound {
    /// Admits `most` at once.
    pub fn new(most: usize) -> Bound {
        Bound { most, now: Arc::default() }
    }
}

impl Gate for Bound {
    fn enter(&self, _ask: &Ask) -> Result<Permit, Refusal> {
        if self.now.fetch_add(1, Ordering::SeqCst) >= self.most {
            self.now.fetch_sub(1, Ordering::SeqCst);
            return Err(Refusal::not_run(Code::QueueFull, "every place is taken; come back"));
        }
        let now = self.now.clone();
        Ok(Permit::new(move || {
            now.fetch_sub(1, Ordering::SeqCst);
        }))
    }
}

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

/// Targets that cannot be reached.
pub struct Absent;

fn absent<T>() -> Called<T> {
    Err(CallError::Unreached("no adapter".to_owned()))
}

impl Engine for Absent {
    fn load(&self, _addr: SocketAddr, _limit: Duration) -> Called<Load> {
        absent()
    }

    fn generate(
        &self,
        _addr: SocketAddr,
        _ask: &Generate,
        _deadline: Instant,
    ) -> Called<flume::Receiver<StreamItem>> {
        absent()
    }

    fn cancel(&self, _addr: SocketAddr, _ask: &Cancel, _limit: Duration) -> Called<()> {
        absent()
    }

    fn export(&self, _addr: SocketAddr, _ask: &KvExport, _limit: Duration) -> Called<Kv> {
        absent()
    }

    fn import(&self, _addr: SocketAddr, _kv: &Kv, _limit: Duration) -> Called<()> {
        absent()
    }

    fn cache(&self, _addr: SocketAddr, _from: u64, _limit: Duration) -> Called<CacheEvents> {
        absent()
    }

    fn order(&self, _addr: SocketAddr, _order: &Order, _limit: Duration) -> Called<Holding> {
        absent()
    }
}

impl Services for Absent {
    fn lookup(
        &self,
        _addr: SocketAddr,
        _source: &str,
        _name: &str,
        _hop: &Hop,
    ) -> Called<ServiceReply> {
        absent()
    }

    fn call(
        &self,
        _addr: SocketAddr,
        _service: &str,
        _body: &[u8],
        _key: Option<&str>,
        _hop: &Hop,
    ) -> Called<ServiceReply> {
        absent()
    }

    fn load(&self, _addr: SocketAddr, _limit: Duration) -> Called<ServiceLoad> {
        absent()
    }
}
