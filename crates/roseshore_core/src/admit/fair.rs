//! Start-time fair queueing between organisations by their shares.
//!
//! Start-time fair queueing: an organisation's next request carries a virtual start time that moves
//! on by cost over share with each turn, and the smallest goes next. Within an organisation, a level
//! of priority is worth one second of waiting, which also bounds how long a low one can be passed.
//! Priorities do not count between organisations: a flood could simply be marked urgent.

use super::{OrgIndex, WaiterId};
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// The head start of each level of priority.
const PRIORITY_HEAD_START: Duration = Duration::from_secs(1);
/// The highest priority.
const MAX_PRIORITY: u8 = 9;
/// Virtual time units of one unit of cost at share 1; whole numbers keep the order exact.
const TAG_SCALE: f64 = 1e6;
/// The least share that counts.
const MIN_SHARE: f64 = 1e-3;

type Tag = u64;

/// A waiting request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Item {
    /// Who waits.
    pub waiter: WaiterId,
    /// Whose it is.
    pub org: OrgIndex,
    /// The organisation's share.
    pub share: f64,
    /// Its expected work.
    pub cost: f64,
    /// Larger goes first within its organisation, 0 to 9.
    pub priority: u8,
    /// After this its turn is of no use.
    pub latest: Instant,
}

#[derive(Debug, Default)]
struct Flow {
    tag: Tag,
    share: f64,
    cost: f64,
    items: BTreeMap<(Instant, WaiterId), Item>,
}

/// The queue of one service.
#[derive(Debug, Default)]
pub struct FairQueue {
    flows: FxHashMap<OrgIndex, Flow>,
    ready: BTreeSet<(Tag, OrgIndex)>,
    positions: FxHashMap<WaiterId, (OrgIndex, Instant)>,
    virtual_time: Tag,
    shares: f64,
}

impl FairQueue {
    /// Requests waiting.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Adds a request that came at `now`.
    pub fn push(&mut self, item: Item, now: Instant) {
        let flow = self.flows.entry(item.org).or_default();
        if flow.items.is_empty() {
            flow.tag = flow.tag.max(self.virtual_time);
            flow.share = item.share.max(MIN_SHARE);
            self.shares += flow.share;
            self.ready.insert((flow.tag, item.org));
        }
        let key = sort_time(&item, now);
        flow.items.insert((key, item.waiter), item);
        flow.cost += item.cost;
        self.positions.insert(item.waiter, (item.org, key));
    }

    /// Takes the request whose turn it is among the organisations that `may` go.
    pub fn pop(&mut self, may: impl Fn(&Item) -> bool) -> Option<Item> {
        let goes = |&&(_, org): &&(Tag, OrgIndex)| self.head(org).is_some_and(&may);
        let &(tag, org) = self.ready.iter().find(goes)?;
        let (key, _) = self.flows.get(&org)?.items.first_key_value()?;
        let waiter = key.1;
        self.virtual_time = self.virtual_time.max(tag);
        let item = self.remove(waiter)?;
        let flow = self.flows.get_mut(&org)?;
        let step = (item.cost / flow.share * TAG_SCALE) as Tag;
        if !flow.items.is_empty() {
            self.ready.remove(&(flow.tag, org));
            self.ready.insert((flow.tag + step, org));
        }
        flow.tag += step;
        if self.is_empty() {
            // Nobody waits: what was used before counts no longer.
            self.flows.clear();
            self.shares = 0.0;
        }
        Some(item)
    }

    fn head(&self, org: OrgIndex) -> Option<&Item> {
        let (_, item) = self.flows.get(&org)?.items.first_key_value()?;
        Some(item)
    }

    /// Takes a request out of turn.
    pub fn remove(&mut self, waiter: WaiterId) -> Option<Item> {
        let (org, key) = self.positions.remove(&waiter)?;
        let flow = self.flows.get_mut(&org)?;
        let item = flow.items.remove(&(key, waiter))?;
        flow.cost -= item.cost;
        if flow.items.is_empty() {
            self.ready.remove(&(flow.tag, org));
            self.shares -= flow.share;
        }
        Some(item)
    }

    /// The work that has to be done, by shares, before a request that comes now has its turn.
    pub fn work_ahead(&self, item: &Item, now: Instant) -> f64 {
        let before = (sort_time(item, now), WaiterId::MAX);
        let cost = |flow: &Flow| flow.items.range(..before).map(|(_, other)| other.cost).sum();
        self.scale_by_share(item, self.flows.get(&item.org).map_or(0.0, cost))
    }

    /// The work that has to be done, by shares, for all that wait of an item's organisation.
    pub fn org_work(&self, item: &Item) -> f64 {
        self.scale_by_share(item, self.flows.get(&item.org).map_or(0.0, |flow| flow.cost))
    }

    /// The last request of an organisation.
    pub fn last(&self, org: OrgIndex) -> Option<WaiterId> {
        self.flows.get(&org)?.items.last_key_value().map(|(key, _)| key.1)
    }

    /// What all do until one organisation has done `cost`.
    fn scale_by_share(&self, item: &Item, cost: f64) -> f64 {
        let share = item.share.max(MIN_SHARE);
        let waits = self.flows.get(&item.org).is_some_and(|flow| !flow.items.is_empty());
        let shares = if waits { self.shares } else { self.shares + share };
        cost * shares.max(share) / share
    }

    /// The last request of the organisation that waits with the most work for its share, if that is
    /// more than `org` would have.
    pub fn largest_backlog(&self, org: OrgIndex) -> Option<WaiterId> {
        let load = |flow: &Flow| flow.cost / flow.share;
        let busiest = self.flows.iter().filter(|(_, f)| !f.items.is_empty());
        let (&most, flow) = busiest.max_by(|a, b| load(a.1).total_cmp(&load(b.1)))?;
        let own = self.flows.get(&org).filter(|f| !f.items.is_empty()).map_or(0.0, load);
        if most == org || own >= load(flow) {
            return None;
        }
        flow.items.last_key_value().map(|(key, _)| key.1)
    }
}

/// Where a request stands that comes at `now`: a level of priority is worth some waiting.
fn sort_time(item: &Item, now: Instant) -> Instant {
    now + PRIORITY_HEAD_START * u32::from(MAX_PRIORITY - item.priority.min(MAX_PRIORITY))
}
