//! Follows the operator's configuration and the list of targets in the store.
//!
//! Each stream is read whole once (the newest record of each key) and then followed by offset.
//! The configuration is waited for, so that a change is in force within a round trip; the list of
//! targets changes all the time by heartbeats and is read at intervals. One host reads for all:
//! the others hear how far it has come, and fetch from it what they lack (`copying`).

use super::calls::{CallFault, Purpose};
use super::probes::millis;
use super::{Entry, note};
use rand::RngExt;
use roseshore_core::gateway::TargetRecord;
use roseshore_core::gateway::copies::ListCopy;
use roseshore_core::gateway::peers::ListMark;
use roseshore_core::gateway::targets::Absence;
use roseshore_core::prelude::*;
use roseshore_ports::entry::{CallReply, Page, Reading, StoreFault, Stream};
use std::net::SocketAddr;
use std::sync::Arc;

/// How long a read of the configuration waits for a change. Each read has a price; but a store that
/// drops its history may leave a waiting read unanswered while changes are made, and a change has
/// to be in force two seconds after it was made. One host reads for all, so with two seconds
/// here hunt-b238-19 saw one in force after 2.1.
const CONFIG_WAIT: Duration = Duration::from_millis(1100);
/// Between reads of the list of targets by the first host: well within the bound for leaving
/// targets. The others compare digests with it.
const TARGETS_EVERY: Duration = Duration::from_millis(900);
/// A host reads for itself when nothing has confirmed its list for so long, and so on down the
/// order of hosts: the last of them within 1.8 s, and the bound for leaving targets is two.
const TARGETS_LATER: Duration = Duration::from_millis(300);
/// The same for the configuration, beyond the wait of the first host's reads.
const CONFIG_LATER: Duration = Duration::from_millis(300);
/// Places in the order of hosts beyond which it makes no difference.
const LAST_PLACE: usize = 3;
/// Neighbours' newer configurations make a read due at most this often.
const HURRY_EVERY: Duration = Duration::from_millis(400);
/// A neighbour's list that differs is read at most this often.
const DIFFERS_EVERY: Duration = Duration::from_millis(350);
/// The longest time for a reply beyond what was asked to be waited: a store that is slowed
/// eightyfold answers in a third of a second.
const REPLY_TIME: Duration = Duration::from_millis(900);
/// The first wait after a failed call, and the longest.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(150), Duration::from_millis(900));
/// After the store is back, dropped targets may be live ones whose heartbeats lapsed; those are
/// listed again within two seconds, as the operators promise. Counted from the return and not from
/// each drop, it never outlasts the drain bound of a target that really leaves.
const LAPSE: Duration = Duration::from_millis(1900);

/// One stream's state.
#[derive(Debug, Default)]
struct Follow {
    /// The offset to read next; `None` until the newest records were read.
    next: Option<u64>,
    /// Pages that came so far, and the end of the stream at the first one.
    pages: Option<Pages>,
    busy: bool,
    due: Option<Instant>,
    fails: u32,
}

#[derive(Debug)]
struct Pages {
    end: u64,
    since: Option<String>,
    entries: Vec<roseshore_ports::entry::Entry>,
}

/// Both streams, and whether the store can be reached.
#[derive(Debug, Default)]
pub(super) struct Following {
    config: Follow,
    targets: Follow,
    lost: Option<Instant>,
    lapse: Option<Instant>,
    /// When a neighbour's newer configuration last made a read due.
    hurried: Option<Instant>,
    /// The configuration in force as it stands in the store, for other hosts.
    pub(super) config_bytes: Vec<u8>,
    /// When the own list was last known to be the store's: when the read that showed it was sent.
    pub(super) confirmed: Option<Instant>,
}

impl Following {
    /// How long a read waits for records; not at all while the store is out of reach, as a read
    /// that hangs would outlast the outage.
    fn wait(&self, stream: Stream) -> Duration {
        match stream {
            Stream::Config if self.lost.is_none() => CONFIG_WAIT,
            Stream::Config | Stream::Targets => Duration::ZERO,
        }
    }

    fn stream(&mut self, stream: Stream) -> &mut Follow {
        match stream {
            Stream::Config => &mut self.config,
            Stream::Targets => &mut self.targets,
        }
    }
}

impl Entry {
    /// Starts the calls that are due.
    pub(super) fn follow(&mut self) {
        for stream in [Stream::Config, Stream::Targets] {
            self.follow_one(stream);
        }
    }

    fn follow_one(&mut self, stream: Stream) {
        let (now, store) = (self.now, self.settings.store);
        let confirmed = self.confirmed(stream);
        // A read that waits proves nothing until it is answered; what was long not proven is read
        // at once.
        let old = self.currency.age(now).is_none_or(|age| age > CONFIG_WAIT + CONFIG_LATER / 2);
        let wait = if old { Duration::ZERO } else { self.following.wait(stream) };
        let follow = self.following.stream(stream);
        if follow.busy || follow.due.is_some_and(|due| now < due) {
            return;
        }
        if confirmed && follow.next.is_some() {
            return;
        }
        follow.busy = true;
        if let Some(from) = follow.next {
            let request = self.platform.read(stream, from, wait);
            self.call(Purpose::Read(stream, from, wait), store, &request, wait + REPLY_TIME);
        } else {
            let since = follow.pages.as_ref().and_then(|p| p.since.clone());
            let request = self.platform.newest(stream, since.as_deref());
            self.call(Purpose::Newest(stream), store, &request, REPLY_TIME);
        }
    }

    /// Whether neighbours have confirmed a stream lately enough for this host's place among them.
    fn confirmed(&self, stream: Stream) -> bool {
        let place = self.peers.reading_place(self.now).min(LAST_PLACE) as u32;
        if place == 0 {
            return false;
        }
        match stream {
            Stream::Config => {
                let most = CONFIG_WAIT + CONFIG_LATER * place;
                self.currency.age(self.now).is_some_and(|age| age < most)
            }
            Stream::Targets => {
                let most = TARGETS_EVERY + TARGETS_LATER * place;
                let at = self.following.confirmed;
                at.is_some_and(|at| self.now.saturating_duration_since(at) < most)
            }
        }
    }

    /// A neighbour has a newer configuration: it is read at once, also if a read is under way,
    /// which may hang.
    pub(super) fn read_config_now(&mut self) {
        let now = self.now;
        let hurried = self.following.hurried;
        if hurried.is_some_and(|at| now.saturating_duration_since(at) < HURRY_EVERY) {
            return;
        }
        let Some(from) = self.following.config.next else { return };
        self.following.hurried = Some(now);
        self.abandon(|purpose| matches!(purpose, Purpose::Read(Stream::Config, ..)));
        self.following.config.busy = true;
        let request = self.platform.read(Stream::Config, from, Duration::ZERO);
        let purpose = Purpose::Read(Stream::Config, from, Duration::ZERO);
        self.call(purpose, self.settings.store, &request, REPLY_TIME);
    }

    /// Reads both streams as soon as the store may be asked: no neighbour could help.
    pub(super) fn read_now(&mut self) {
        self.read_config_now();
        let targets = &mut self.following.targets;
        if !targets.busy && targets.fails == 0 {
            targets.due = None;
            self.following.confirmed = None;
        }
    }

    /// How far the list of targets was read here.
    pub(super) fn list_mark(&self) -> ListMark {
        self.targets.list_mark(self.following.targets.next.unwrap_or(0))
    }

    /// Compares the own list with that of a host that has read further.
    pub(super) fn compare_list(
        &mut self,
        from: SocketAddr,
        theirs: ListMark,
        listed: Option<Instant>,
    ) {
        let now = self.now;
        let own = self.list_mark();
        if theirs.next < own.next || self.following.targets.next.is_none() {
            return;
        }
        if theirs.digest == own.digest {
            self.following.targets.next = Some(theirs.next);
            self.following.confirmed = self.following.confirmed.max(listed);
            return;
        }
        if theirs.next == own.next {
            return;
        }
        if self.ask_copy(from) || self.copies.under_way() {
            return;
        }
        let follow = &mut self.following.targets;
        if !follow.busy && follow.fails == 0 {
            let soon = now + DIFFERS_EVERY;
            follow.due = Some(follow.due.map_or(soon, |due| due.min(soon)));
            self.following.confirmed = None;
        }
    }

    pub(super) fn newest_came(
        &mut self,
        stream: Stream,
        sent: Instant,
        reply: Result<CallReply, CallFault>,
    ) {
        let Some(reply) = self.store_replied(stream, reply) else { return };
        match self.platform.newest_reply(&reply) {
            Ok(page) => self.page_came(stream, sent, page),
            Err(fault) => self.store_refused(stream, &fault),
        }
    }

    fn page_came(&mut self, stream: Stream, sent: Instant, page: Page) {
        self.store_served(stream);
        let follow = self.following.stream(stream);
        let empty = Pages { end: page.end, since: None, entries: Vec::new() };
        let pages = follow.pages.get_or_insert(empty);
        pages.entries.extend(page.entries);
        pages.since = page.more;
        if pages.since.is_some() {
            follow.due = None;
            return;
        }
        let Some(pages) = follow.pages.take() else { return };
        if follow.next.is_some_and(|next| next >= pages.end) {
            return;
        }
        follow.next = Some(pages.end);
        match stream {
            Stream::Config => {
                self.take_configs(pages.entries);
                self.currency.prove(sent);
                self.judge_ready();
                self.follow_one(stream);
            }
            Stream::Targets => {
                let records = pages.entries.into_iter();
                let records = records.filter_map(|e| self.record(&e.key, e.value?.as_slice()));
                let records: Vec<TargetRecord> = records.collect();
                let (absence, now) = (self.absence(), self.now);
                let count = records.len();
                let lost = self.targets.replace(records, absence);
                note!(self, TargetListed, "targets={count} dropped={}", lost.len());
                self.following.targets.due = Some(now + TARGETS_EVERY);
                self.following.confirmed = Some(sent);
            }
        }
    }

    pub(super) fn records_came(
        &mut self,
        stream: Stream,
        sent: Instant,
        from: Offset,
        wait: Duration,
        reply: Result<CallReply, CallFault>,
    ) {
        let Some(reply) = self.store_replied(stream, reply) else { return };
        match self.platform.read_reply(&reply) {
            Ok(reading) => self.reading_came(stream, sent, from, wait, reading),
            Err(StoreFault::Trimmed) => {
                let follow = self.following.stream(stream);
                follow.next = None;
                note!(self, ConfigTrimmed, "stream={stream:?} action=read_newest");
            }
            Err(fault) => self.store_refused(stream, &fault),
        }
    }

    fn reading_came(
        &mut self,
        stream: Stream,
        sent: Instant,
        from: Offset,
        wait: Duration,
        mut reading: Reading,
    ) {
        self.store_served(stream);
        let now = self.now;
        let follow = self.following.stream(stream);
        let empty = reading.entries.is_empty();
        let known = follow.next.unwrap_or(0);
        let next = known.max(from + reading.entries.len() as u64);
        // While the read was under way a copy may have come that reaches further: what is older
        // must not undo what is newer.
        let old = known.saturating_sub(from) as usize;
        reading.entries.drain(..old.min(reading.entries.len()));
        let caught_up = next >= reading.end;
        follow.next = Some(next);
        if stream == Stream::Targets && caught_up {
            follow.due = Some(now + TARGETS_EVERY);
            self.following.confirmed = self.following.confirmed.max(Some(sent));
        }
        match stream {
            Stream::Config => {
                self.take_configs(reading.entries);
                if caught_up {
                    // An empty answer says that nothing came during the whole wait.
                    let waited = empty && now.saturating_duration_since(sent) >= wait;
                    self.currency.prove(if waited { sent + wait } else { sent });
                    self.judge_ready();
                    self.beat_now(true);
                }
                self.follow_one(stream);
            }
            Stream::Targets => {
                for entry in reading.entries {
                    match entry.value {
                        Some(value) => self.take_record(&entry.key, &value),
                        None => self.drop_record(&entry.key),
                    }
                }
                self.beat_now(true);
            }
        }
    }

    /// A host's list of targets came, and how long it holds those that drop out for lapsed.
    pub(super) fn list_copied(&mut self, copy: ListCopy) {
        if copy.next <= self.following.targets.next.unwrap_or(0) {
            return;
        }
        let lapse = self.now + Duration::from_millis(copy.lapse).min(LAPSE);
        self.following.lapse = self.following.lapse.max((copy.lapse > 0).then_some(lapse));
        let (absence, count) = (self.lapsed(), copy.records.len());
        let lost = self.targets.replace(copy.records, absence);
        self.following.targets.next = Some(copy.next);
        self.following.targets.pages = None;
        note!(self, TargetListed, "targets={count} dropped={} by=copy", lost.len());
        for id in lost {
            self.note_dropped(&id, absence);
        }
    }

    /// The own list of targets, for a host that has not read as far.
    pub(super) fn list_copy(&self) -> Option<ListCopy> {
        let next = self.following.targets.next?;
        let lapse = match self.absence() {
            Absence::Left => 0,
            Absence::Lapsed(until) => until.saturating_duration_since(self.now).as_millis() as u64,
        };
        Some(ListCopy { next, records: self.targets.listed(), lapse })
    }

    fn record(&mut self, id: &str, value: &[u8]) -> Option<TargetRecord> {
        match self.platform.target(id, value) {
            Ok(record) => Some(record),
            Err(err) => {
                note!(self, RecordSkipped, "target={id} kept=old why={err:?}");
                None
            }
        }
    }

    fn take_record(&mut self, id: &str, value: &[u8]) {
        let Some(record) = self.record(id, value) else { return };
        let text = format!(
            "target={id} service={} addr={} data_centre={} draining={} kind={} layers={}",
            record.service,
            record.addr,
            record.data_centre,
            record.draining,
            record.kind.as_deref().unwrap_or("-"),
            record.holding.map_or("-".to_owned(), |h| format!("{}-{}", h.layers.0, h.layers.1)),
        );
        if self.targets.put(record) {
            note!(self, TargetListed, "{text}");
        }
    }

    fn drop_record(&mut self, id: &str) {
        let absence = self.absence();
        if self.targets.drop(id, absence) {
            self.note_dropped(id, absence);
        }
    }

    fn note_dropped(&mut self, id: &str, absence: Absence) {
        match absence {
            Absence::Left => {
                note!(self, TargetLeft, "target={id} state=dropped");
            }
            Absence::Lapsed(_) => note!(self, TargetLapsed, "target={id}"),
        }
    }

    /// What follows from an entry that is missing in a read of the store.
    fn absence(&self) -> Absence {
        if self.outage() { Absence::Lapsed(self.now + LAPSE) } else { self.lapsed() }
    }

    /// What follows from an entry that is missing where the store was not away just now.
    fn lapsed(&self) -> Absence {
        let lapse = self.following.lapse.filter(|until| self.now < *until);
        lapse.map_or(Absence::Left, Absence::Lapsed)
    }

    /// Whether the store is out of reach, and not for this host alone: then heartbeats may lapse. As
    /// long as other hosts confirm the list, the store serves them and the targets.
    fn outage(&self) -> bool {
        let confirmed = self.following.confirmed;
        let alone = TARGETS_EVERY + TARGETS_LATER * LAST_PLACE as u32;
        let old = confirmed.is_none_or(|at| self.now.saturating_duration_since(at) >= alone);
        self.following.lost.is_some() && old
    }

    /// Puts the newest configuration of some records in force.
    fn take_configs(&mut self, entries: Vec<roseshore_ports::entry::Entry>) {
        let key = self.platform.config_key();
        let newest = entries.into_iter().rev().find(|e| e.key == key);
        if let Some(value) = newest.and_then(|e| e.value) {
            self.take_config(value);
        }
    }

    /// Puts a configuration in force that is newer than the one at hand.
    pub(super) fn take_config(&mut self, value: Vec<u8>) {
        let known = self.snapshot.as_ref().map(|s| s.version());
        match self.platform.config(&value) {
            Ok(fresh) if known.is_some_and(|v| fresh.version() <= v) => {}
            Ok(fresh) => {
                let version = fresh.version();
                self.snapshot = Some(Arc::new(fresh));
                let bytes = value.len();
                note!(
                    self,
                    ConfigApplied,
                    "config_version={version} before={} bytes={bytes}",
                    known.unwrap_or(0)
                );
                self.following.config_bytes = value;
                self.beat_now(true);
            }
            Err(err) => {
                note!(self, ConfigSkipped, "kept_version={} why={err:?}", known.unwrap_or(0));
            }
        }
    }

    fn store_replied(
        &mut self,
        stream: Stream,
        reply: Result<CallReply, CallFault>,
    ) -> Option<CallReply> {
        self.following.stream(stream).busy = false;
        metrics::counter!("roseshore_store_calls_total").increment(1);
        match reply {
            Ok(reply) => Some(reply),
            Err(fault) => {
                self.store_failed(stream, &format!("{fault:?}"));
                None
            }
        }
    }

    fn store_refused(&mut self, stream: Stream, fault: &StoreFault) {
        self.store_failed(stream, &fault.to_string());
    }

    fn store_failed(&mut self, stream: Stream, why: &str) {
        let now = self.now;
        let spread = 0.75 + 0.5 * self.random.random::<f64>();
        let follow = self.following.stream(stream);
        let wait = (BACKOFF.0 * (1 << follow.fails.min(4))).min(BACKOFF.1);
        follow.fails += 1;
        follow.due = Some(now + wait.mul_f64(spread));
        if self.following.lost.is_none() {
            self.following.lost = Some(now);
            let age = millis(self.currency.age(now));
            note!(self, LogLost, "stream={stream:?} why={why:?} config_age_ms={age}");
        }
    }

    fn store_served(&mut self, stream: Stream) {
        let now = self.now;
        let follow = self.following.stream(stream);
        follow.fails = 0;
        follow.due = None;
        let outage = self.outage();
        if let Some(since) = self.following.lost.take() {
            if outage {
                self.following.lapse = Some(now + LAPSE);
            }
            let out = now.saturating_duration_since(since).as_millis();
            note!(self, LogBack, "stream={stream:?} out_ms={out} for_all={outage}");
        }
    }
}
