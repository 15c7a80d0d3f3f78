//! Follows the operator's configuration and the list of targets in the store.
//!
//! Each stream is read whole once (the newest record of each key) and then followed by offset.
//! The configuration is waited for, so that a change is in force within a round trip; the list of
//! targets changes all the time by heartbeats and is read at intervals. One host reads for all:
//! the others hear how far it has come, and fetch from it what they lack (`copies`).

mod replies;

use super::calls::{CallFault, Purpose, STORE_TIME};
use super::probes::millis;
use super::{EntryHost, note};
use roseshore_core::gateway::outage::StoreOutage;
use roseshore_core::gateway::peers::ListVersion;
use roseshore_core::gateway::store_reads::{self, CONFIG_LONG_POLL, TARGETS_INTERVAL};
use roseshore_core::gateway::{Position, TargetRecord};
use roseshore_core::prelude::*;
use roseshore_ports::entry::{CallReply, Entry as Record, Page, Reading, StoreFault, Stream};
use std::net::SocketAddr;

/// Neighbours' newer configurations make a read due at most this often.
const HURRY_EVERY: Duration = Duration::from_millis(400);
/// A neighbour's list that differs is read at most this often.
const DIFFERS_EVERY: Duration = Duration::from_millis(350);
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
    entries: Vec<Record>,
}

/// Both streams, and whether the store can be reached.
#[derive(Debug, Default)]
pub(super) struct Following {
    config: Follow,
    targets: Follow,
    /// The era of the store that the offsets to read next belong to.
    era: Era,
    /// How far the list at hand was read; none before it was.
    list: Option<Position>,
    /// The store holds an older configuration than the one in force, so it proves nothing.
    config_behind: bool,
    pub(super) outage: StoreOutage,
    /// The list differs from a neighbour's, whose copy could not be had.
    list_differs: bool,
    /// The last copy of changes did not lead to the list of the host that gave it.
    list_missed: bool,
    /// When a neighbour's newer configuration last made a read due.
    hurried: Option<Instant>,
    /// When the configuration in force came.
    pub(super) applied: Option<Instant>,
    /// The configuration in force as it stands in the store, for other hosts.
    pub(super) config_bytes: Vec<u8>,
}

impl Following {
    /// How long a read waits for records; not at all while the store is out of reach, as a read
    /// that hangs would outlast the outage.
    fn wait(&self, stream: Stream) -> Duration {
        match stream {
            Stream::Config if !self.outage.is_down() => CONFIG_LONG_POLL,
            Stream::Config | Stream::Targets => Duration::ZERO,
        }
    }

    /// How far the list at hand was read; `None` before it was.
    pub(super) fn list_next(&self) -> Option<Position> {
        self.list
    }

    /// How far changes of the list are known here; the default when all of it is to be had anew.
    pub(super) fn list_known(&self) -> Position {
        if self.list_missed { Position::default() } else { self.list.unwrap_or_default() }
    }

    /// Some change of the list was missed.
    pub(super) fn list_missed(&mut self) {
        self.list_missed = true;
    }

    /// The list at hand is now a copy that reaches so far.
    pub(super) fn list_copied(&mut self, next: Position) {
        self.list_missed = false;
        self.list_differs = false;
        self.list_reached(next);
    }

    /// The list at hand is that of another host which has read so far.
    fn list_reached(&mut self, next: Position) {
        self.list = Some(next);
        if next.era > self.era {
            self.enter_era(next.era);
        }
        if next.era == self.era {
            self.targets.next = Some(next.next);
            self.targets.pages = None;
        }
    }

    /// Offsets of an earlier era say nothing any more.
    fn enter_era(&mut self, era: Era) {
        self.era = era;
        for follow in [&mut self.config, &mut self.targets] {
            (follow.next, follow.pages, follow.due) = (None, None, None);
        }
    }

    /// Whether nothing of the store was read yet.
    fn untouched(&self) -> bool {
        let fresh = |f: &Follow| f.next.is_none() && f.pages.is_none();
        self.list.is_none() && fresh(&self.config) && fresh(&self.targets)
    }

    fn stream(&mut self, stream: Stream) -> &mut Follow {
        match stream {
            Stream::Config => &mut self.config,
            Stream::Targets => &mut self.targets,
        }
    }
}

impl EntryHost {
    /// Starts the calls that are due.
    pub(super) fn follow(&mut self) {
        for stream in [Stream::Config, Stream::Targets] {
            self.follow_one(stream);
        }
    }

    fn follow_one(&mut self, stream: Stream) {
        let now = self.now;
        // A read that waits proves nothing until it is answered; what was long not proven is read
        // at once.
        let old = self.currency.age(now).is_none_or(|age| age > store_reads::LONG_POLL_MAX_AGE);
        let wait = if old { Duration::ZERO } else { self.following.wait(stream) };
        let known = match stream {
            Stream::Config => self.snapshot.is_some(),
            Stream::Targets => self.following.list.is_some(),
        };
        let follow = self.following.stream(stream);
        if follow.busy || follow.due.is_some_and(|due| now < due) {
            return;
        }
        if stream == Stream::Targets && known && self.following.outage.is_down() {
            // One question shows whether the store is back.
            return;
        }
        if known && self.confirmed(stream) || !known && self.listens() {
            return;
        }
        self.ask_store(stream, wait);
    }

    /// Whether this host has just begun and may soon hear of one that has read the store.
    fn listens(&self) -> bool {
        let since = self.now.saturating_duration_since(self.begun);
        let place = self.peers.startup_read_rank(self.now);
        !self.peers.no_peers()
            && since < store_reads::startup_delay(self.settings.first_start, place)
    }

    fn ask_store(&mut self, stream: Stream, wait: Duration) {
        self.note_asked(stream);
        let (store, era) = (self.settings.store_addr, self.following.era);
        let follow = self.following.stream(stream);
        follow.busy = true;
        if let Some(next) = follow.next {
            let request = self.platform.read(stream, next, wait);
            let purpose = Purpose::Read(stream, Position { era, next }, wait);
            self.call(purpose, store, &request, wait + STORE_TIME);
        } else {
            let since = follow.pages.as_ref().and_then(|p| p.since.clone());
            let request = self.platform.newest(stream, since.as_deref());
            let era = since.map(|_| era);
            self.call(Purpose::Newest(stream, era), store, &request, STORE_TIME);
        }
    }

    /// Says why the store is asked: for the first time, as the first in the order of hosts, or since
    /// no other host's word is late enough.
    fn note_asked(&mut self, stream: Stream) {
        let now = self.now;
        let place = self.peers.read_rank(now);
        let config = millis(self.currency.age(now));
        let list = millis(self.list_age());
        let differs = self.following.list_differs;
        let failed = self.following.stream(stream).fails;
        note!(
            self,
            StoreAsked,
            "stream={stream:?} place={place} config_age_ms={config} list_age_ms={list} differs={differs} failed={failed}"
        );
    }

    /// Whether neighbours have confirmed a stream lately enough for this host's place among them.
    fn confirmed(&self, stream: Stream) -> bool {
        let place = self.peers.read_rank(self.now);
        let (age, patience) = match stream {
            Stream::Config => (self.config_age(), store_reads::config_max_age(place)),
            Stream::Targets if self.following.list_differs => return false,
            Stream::Targets => (self.list_age(), store_reads::list_max_age(place)),
        };
        age.zip(patience).is_some_and(|(age, most)| age < most)
    }

    /// Time since the configuration was last proven, or since it came as a copy: its proof comes
    /// with the next heartbeats.
    fn config_age(&self) -> Option<Duration> {
        let applied = self.following.applied;
        let since = |at| self.now.saturating_duration_since(at);
        self.currency.age(self.now).or(applied.map(since))
    }

    /// Time since the list at hand was last confirmed, by this host or another.
    fn list_age(&self) -> Option<Duration> {
        let confirmed = self.following.outage.last_confirmed();
        confirmed.map(|at| self.now.saturating_duration_since(at))
    }

    /// A neighbour has a newer configuration: it is read at once, also if a read is under way,
    /// which may hang.
    pub(super) fn read_config_now(&mut self) {
        let now = self.now;
        let hurried = self.following.hurried;
        if hurried.is_some_and(|at| now.saturating_duration_since(at) < HURRY_EVERY) {
            return;
        }
        self.following.hurried = Some(now);
        let reads = |purpose: &Purpose| {
            matches!(
                purpose,
                Purpose::Read(Stream::Config, ..) | Purpose::Newest(Stream::Config, _)
            )
        };
        self.abandon(reads);
        self.ask_store(Stream::Config, Duration::ZERO);
    }

    /// Reads both streams as soon as the store may be asked: no neighbour could help.
    pub(super) fn read_now(&mut self) {
        self.read_config_now();
        let targets = &mut self.following.targets;
        if !targets.busy && targets.fails == 0 {
            targets.due = None;
            self.following.list_differs = true;
        }
    }

    /// How far the list of targets was read here.
    pub(super) fn list_mark(&self) -> ListVersion {
        self.targets.list_version(self.following.list.unwrap_or_default())
    }

    /// Compares the own list with that of a host that has read further.
    pub(super) fn compare_list(
        &mut self,
        from: SocketAddr,
        theirs: ListVersion,
        listed: Option<Instant>,
    ) {
        let now = self.now;
        let own = self.list_mark();
        if self.following.list.is_none() {
            // If it gives none, the store is read when the time for listening is over.
            if theirs.next > Position::default() {
                self.ask_copy(from);
            }
            return;
        }
        if theirs.next < own.next {
            return;
        }
        if theirs.digest == own.digest {
            self.following.list_reached(theirs.next);
            self.following.outage.record_confirmation(listed);
            self.following.list_differs = false;
            return;
        }
        if theirs.next == own.next {
            return;
        }
        if self.ask_copy(from) || self.copies.in_progress() {
            return;
        }
        let follow = &mut self.following.targets;
        if !follow.busy && follow.fails == 0 {
            let soon = now + DIFFERS_EVERY;
            follow.due = Some(follow.due.map_or(soon, |due| due.min(soon)));
            self.following.list_differs = true;
        }
    }

    pub(super) fn newest_came(
        &mut self,
        stream: Stream,
        sent: Instant,
        era: Option<Era>,
        reply: Result<CallReply, CallFault>,
    ) {
        let Some(reply) = self.store_replied(stream, era, reply) else { return };
        match self.platform.newest_reply(&reply) {
            Ok(page) => self.page_came(stream, sent, page),
            Err(fault) => self.store_refused(stream, &fault),
        }
    }

    fn page_came(&mut self, stream: Stream, sent: Instant, page: Page) {
        self.store_served(stream);
        let follow = self.following.stream(stream);
        if follow.next.is_some() {
            // A copy came between two pages: what is left of them is no whole list.
            follow.pages = None;
            return;
        }
        let empty = Pages { end: page.end, since: None, entries: Vec::new() };
        let pages = follow.pages.get_or_insert(empty);
        pages.entries.extend(page.entries);
        pages.since = page.more;
        if pages.since.is_some() {
            // A list of 3,000 targets comes in sixty pages.
            return self.ask_store(stream, Duration::ZERO);
        }
        let Some(pages) = follow.pages.take() else { return };
        follow.next = Some(pages.end);
        match stream {
            Stream::Config => {
                let newest = self.take_configs(pages.entries.into_iter());
                self.judge_behind(newest);
                self.prove_config(sent);
                self.judge_ready();
                self.follow_one(stream);
            }
            Stream::Targets => {
                let records = pages.entries.into_iter();
                let records = records.filter_map(|e| self.record(&e.key, e.value?.as_slice()));
                let records: Vec<TargetRecord> = records.collect();
                let now = self.now;
                let next = Position { era: self.following.era, next: pages.end };
                let back = self.following.list.is_some_and(|known| known.era < next.era);
                let absence = self.following.outage.absence(now);
                self.take_list(next, records, absence, back);
                self.following.list = Some(next);
                self.following.targets.due = Some(now + TARGETS_INTERVAL);
                self.following.outage.record_confirmation(Some(sent));
                self.following.list_differs = false;
                self.following.list_missed = false;
            }
        }
    }

    pub(super) fn records_came(
        &mut self,
        stream: Stream,
        sent: Instant,
        from: Position,
        wait: Duration,
        reply: Result<CallReply, CallFault>,
    ) {
        let Some(reply) = self.store_replied(stream, Some(from.era), reply) else { return };
        match self.platform.read_reply(&reply) {
            Ok(reading) => self.reading_came(stream, sent, from.next, wait, reading),
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
            follow.due = Some(now + TARGETS_INTERVAL);
            self.following.outage.record_confirmation(Some(sent));
            self.following.list_differs = false;
        }
        match stream {
            Stream::Config => {
                let newest = self.take_configs(reading.entries.into_iter().flatten());
                if newest.is_some() {
                    self.judge_behind(newest);
                }
                if caught_up {
                    // An empty answer says that nothing came during the whole wait.
                    let waited = empty && now.saturating_duration_since(sent) >= wait;
                    self.prove_config(if waited { sent + wait } else { sent });
                    self.judge_ready();
                    self.beat_now(true);
                }
                self.follow_one(stream);
            }
            Stream::Targets => {
                let next = Position { era: self.following.era, next };
                self.following.list = Some(next);
                self.targets.advance_to(next);
                for entry in reading.entries {
                    match entry {
                        Some(Record { key, value: Some(value) }) => self.take_record(&key, &value),
                        Some(Record { key, value: None }) => self.drop_record(&key),
                        None => note!(self, RecordSkipped, "target=- why=\"no key\""),
                    }
                }
                self.beat_now(true);
            }
        }
    }
}
