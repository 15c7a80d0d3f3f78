//! Keeps the operator's configuration and the list of targets in step with the store.
//!
//! Each stream is first read as a whole (the newest record of each key) and then followed by
//! offset. Reads of the configuration are long polls, so that a change takes effect within a round
//! trip. The list of targets changes all the time with the targets' heartbeats and is read at
//! intervals. One host reads the store for all; the others learn from its heartbeats how far it has
//! read, and request copies of what they lack (module `copies`).

mod replies;

use super::calls::{CallFault, Purpose, STORE_TIMEOUT};
use super::probes::millis;
use super::{EntryHost, log_event};
use rand::RngExt;
use roseshore_core::gateway::outage::StoreOutage;
use roseshore_core::gateway::peers::ListVersion;
use roseshore_core::gateway::store_reads::{self, CONFIG_LONG_POLL, ReadPolicy, TARGETS_INTERVAL};
use roseshore_core::gateway::{Bounds, Position, TargetRecord};
use roseshore_core::prelude::*;
use roseshore_ports::entry::{
    CallReply, KeyedRecord as Record, Page, ReadBatch, StoreFault, Stream,
};
use std::net::SocketAddr;

/// Shortest interval between reads because of another host's newer configuration.
const URGENT_INTERVAL: Duration = Duration::from_millis(400);
/// Delay before the store is read because another host's list differs.
const LIST_DIFFERS_DELAY: Duration = Duration::from_millis(350);

/// Progress of following one stream.
#[derive(Debug, Default)]
struct StreamProgress {
    /// The next offset to read; `None` until all newest records have been read.
    next: Option<u64>,
    /// The pages of newest records read so far.
    pages: Option<Pages>,
    /// The last offset that the store refused since it no longer keeps the records.
    trimmed: Option<u64>,
    /// Whether a call is in flight.
    in_flight: bool,
    /// Earliest time of the next call.
    due: Option<Instant>,
    /// Failed calls in a row.
    failures: u32,
}

impl StreamProgress {
    /// Continues at an offset up to which another host has read. Does nothing if the store no longer
    /// keeps what follows, or if the pages that are being read go further: heartbeats arrive between
    /// any two of them.
    fn continue_at(&mut self, next: u64) {
        let trimmed = self.trimmed.is_some_and(|trimmed| next <= trimmed);
        let behind = self.pages.as_ref().is_some_and(|pages| next <= pages.end);
        if !trimmed && !behind {
            self.next = Some(next);
            self.pages = None;
        }
    }
}

/// Pages of newest records, which are read one after the other.
#[derive(Debug)]
struct Pages {
    /// The end offset of the stream when the first page was read.
    end: u64,
    /// The last key read.
    last_key: Option<String>,
    entries: Vec<Record>,
}

/// Progress of following both streams, and availability of the store.
#[derive(Debug)]
pub(super) struct StoreSync {
    /// When this host reads the store itself.
    pub(super) policy: ReadPolicy,
    /// Whether this host has its turn to read as a follower in this tick.
    turn: bool,
    config: StreamProgress,
    targets: StreamProgress,
    /// The era of the store to which the offsets belong.
    era: Era,
    /// The position up to which this host knows the list; `None` before it has one.
    list: Option<Position>,
    /// Whether the store holds an older configuration than the one in force, so that a read does
    /// not prove that one to be the newest.
    store_behind: bool,
    pub(super) outage: StoreOutage,
    /// Whether the list differs from another host's of which no copy could be had.
    list_differs: bool,
    /// Whether applying the last copy of changes did not result in the list of the host that gave
    /// it.
    needs_whole_list: bool,
    /// When the store was last read because of another host's newer configuration.
    last_urgent: Option<Instant>,
    /// When the configuration in force was received.
    pub(super) applied: Option<Instant>,
    /// The bytes of the configuration in force as stored, for copies to other hosts.
    pub(super) config_bytes: Vec<u8>,
}

impl StoreSync {
    /// Nothing read yet.
    pub(super) fn new(bounds: &Bounds) -> StoreSync {
        let policy = ReadPolicy::new(bounds);
        StoreSync {
            policy,
            turn: false,
            config: StreamProgress::default(),
            targets: StreamProgress::default(),
            era: Era::default(),
            list: None,
            store_behind: false,
            outage: StoreOutage::new(&policy),
            list_differs: false,
            needs_whole_list: false,
            last_urgent: None,
            applied: None,
            config_bytes: Vec::new(),
        }
    }

    /// Applies the operators' bounds.
    pub(super) fn set_bounds(&mut self, bounds: &Bounds) {
        self.policy = ReadPolicy::new(bounds);
        self.outage.set_policy(&self.policy);
    }

    /// The position up to which the configuration was read; `None` if that is not known.
    pub(super) fn config_position(&self) -> Option<Position> {
        self.config.next.map(|next| Position { era: self.era, next })
    }

    /// Records that the configuration is now a copy that was read up to `next`. Reading on from the
    /// former offset would bring all versions since.
    pub(super) fn set_config_position(&mut self, next: Option<Position>) {
        let known = next.filter(|position| position.era == self.era).map(|position| position.next);
        self.config.next = known.map(|next| next.max(self.config.next.unwrap_or(0)));
        self.config.pages = None;
    }

    /// How long the store should wait for new records before it replies. Zero while the store is
    /// unreachable, since a hanging read would outlast the outage.
    fn long_poll_time(&self, stream: Stream) -> Duration {
        match stream {
            Stream::Config if !self.outage.is_down() => CONFIG_LONG_POLL,
            Stream::Config | Stream::Targets => Duration::ZERO,
        }
    }

    /// The position up to which this host knows the list; `None` before it has one.
    pub(super) fn list_position(&self) -> Option<Position> {
        self.list
    }

    /// The position after which changes of the list are needed; the default if the whole list is
    /// needed.
    pub(super) fn list_base(&self) -> Position {
        if self.needs_whole_list { Position::default() } else { self.list.unwrap_or_default() }
    }

    /// Records that a change of the list was missed, so that the next copy has to be a whole list.
    pub(super) fn require_whole_list(&mut self) {
        self.needs_whole_list = true;
    }

    /// Records that the list is now a copy that is complete up to `next`.
    pub(super) fn record_list_copy(&mut self, next: Position) {
        self.needs_whole_list = false;
        self.list_differs = false;
        self.set_list_position(next);
    }

    /// Records that the list equals that of a host which has read up to `next`.
    fn set_list_position(&mut self, next: Position) {
        self.list = Some(next);
        if next.era > self.era {
            self.enter_era(next.era);
        }
        if next.era == self.era {
            self.targets.continue_at(next.next);
        }
    }

    /// Starts a new era, in which offsets of earlier eras are meaningless.
    fn enter_era(&mut self, era: Era) {
        self.era = era;
        for progress in [&mut self.config, &mut self.targets] {
            (progress.next, progress.pages, progress.due) = (None, None, None);
            progress.trimmed = None;
        }
    }

    /// Whether nothing of the store has been read yet.
    fn is_untouched(&self) -> bool {
        let fresh = |f: &StreamProgress| f.next.is_none() && f.pages.is_none();
        self.list.is_none() && fresh(&self.config) && fresh(&self.targets)
    }

    fn stream(&mut self, stream: Stream) -> &mut StreamProgress {
        match stream {
            Stream::Config => &mut self.config,
            Stream::Targets => &mut self.targets,
        }
    }
}

impl EntryHost {
    /// Starts the calls of both streams that are due.
    pub(super) fn sync_store(&mut self) {
        let others = self.peers.other_hosts(self.now);
        self.store_sync.turn = store_reads::has_turn(others, self.rng.random());
        for stream in [Stream::Config, Stream::Targets] {
            self.sync_stream(stream);
        }
    }

    /// Calls the store for a stream, unless a call is in flight or not due, or other hosts have
    /// confirmed the stream recently.
    fn sync_stream(&mut self, stream: Stream) {
        let now = self.now;
        // A long poll proves nothing until its reply arrives. A configuration that has not been
        // confirmed for long is therefore read without waiting.
        let old = self.config_lease.age(now).is_none_or(|age| age > store_reads::LONG_POLL_MAX_AGE);
        let wait = if old { Duration::ZERO } else { self.store_sync.long_poll_time(stream) };
        let known = match stream {
            Stream::Config => self.snapshot.is_some(),
            Stream::Targets => self.store_sync.list.is_some(),
        };
        let progress = self.store_sync.stream(stream);
        if progress.in_flight || progress.due.is_some_and(|due| now < due) {
            return;
        }
        if stream == Stream::Targets && known && self.store_sync.outage.is_down() {
            // Calls for the other stream show whether the store is back.
            return;
        }
        let waits = if known { self.recently_confirmed(stream) } else { self.waits_for_peers() };
        if !waits && self.may_read() {
            self.read_store(stream, wait);
        }
    }

    /// Whether this host may begin a read now: it is one of the first of its data centre, or has its
    /// turn.
    pub(super) fn may_read(&self) -> bool {
        let rank = if self.snapshot.is_some() {
            self.peers.rank_in_centre(self.now)
        } else {
            self.peers.startup_read_rank(self.now)
        };
        self.store_sync.turn || !store_reads::is_follower(rank)
    }

    /// Whether the store did not answer this host and, although others read meanwhile, this host
    /// tries it again. Hosts that the store does not answer rank last. Without this the order of
    /// readers would stay reversed after an outage.
    fn probes_store(&self) -> bool {
        self.store_sync.outage.is_down() && self.peers.rank_in_centre(self.now) == 0
    }

    /// Whether this host has just started and may soon learn of another host that has read the
    /// store.
    fn waits_for_peers(&self) -> bool {
        let since = self.now.saturating_duration_since(self.started);
        let rank = self.peers.startup_read_rank(self.now);
        !self.peers.no_peers()
            && since < store_reads::startup_delay(self.settings.first_start, rank)
    }

    /// Calls the store for the records from the next offset on, or for the next page of newest
    /// records.
    fn read_store(&mut self, stream: Stream, wait: Duration) {
        self.log_read(stream);
        let (store, era) = (self.settings.store_addr, self.store_sync.era);
        let progress = self.store_sync.stream(stream);
        progress.in_flight = true;
        if let Some(next) = progress.next {
            let request = self.platform.read(stream, next, wait);
            let purpose = Purpose::Read(stream, Position { era, next }, wait);
            self.call(purpose, store, &request, wait + STORE_TIMEOUT);
        } else {
            let since = progress.pages.as_ref().and_then(|p| p.last_key.clone());
            let request = self.platform.read_latest(stream, since.as_deref());
            let era = since.map(|_| era);
            self.call(Purpose::Latest(stream, era), store, &request, STORE_TIMEOUT);
        }
    }

    /// Logs why the store is read: for the first time, as the first in the order of hosts, or
    /// because other hosts have not confirmed the stream recently enough.
    fn log_read(&mut self, stream: Stream) {
        let now = self.now;
        let rank = self.peers.read_rank(now);
        let config = millis(self.config_lease.age(now));
        let list = millis(self.list_age());
        let differs = self.store_sync.list_differs;
        let failed = self.store_sync.stream(stream).failures;
        log_event!(
            self,
            StoreAsked,
            "stream={stream:?} place={rank} config_age_ms={config} list_age_ms={list} differs={differs} failed={failed}"
        );
    }

    /// Whether other hosts have confirmed a stream recently enough for this host's place in the
    /// order of readers.
    fn recently_confirmed(&self, stream: Stream) -> bool {
        let rank = self.peers.read_rank(self.now);
        let (policy, differs) = (&self.store_sync.policy, self.store_sync.list_differs);
        let (age, max_age) = match stream {
            Stream::Config if self.probes_store() => return false,
            Stream::Config => (self.config_age(), policy.config_max_age(rank)),
            Stream::Targets if differs && !store_reads::is_follower(rank) => return false,
            Stream::Targets => (self.list_age(), policy.list_max_age(rank)),
        };
        age.zip(max_age).is_some_and(|(age, most)| age < most)
    }

    /// Time since the configuration was last confirmed to be the newest, or since it came as a
    /// copy, which the next heartbeats confirm.
    fn config_age(&self) -> Option<Duration> {
        let applied = self.store_sync.applied;
        let since = |at| self.now.saturating_duration_since(at);
        self.config_lease.age(self.now).or(applied.map(since))
    }

    /// Time since the list was last confirmed, by this host or another.
    pub(super) fn list_age(&self) -> Option<Duration> {
        let confirmed = self.store_sync.outage.last_confirmed();
        confirmed.map(|at| self.now.saturating_duration_since(at))
    }

    /// Reads the configuration now, because another host has a newer one. Cancels a long poll in
    /// flight, which may hang. Any other read is left to end: begun again each time, it would not
    /// end at all at a store that is busy, and keep it busy.
    pub(super) fn read_config_now(&mut self) {
        let now = self.now;
        let last_urgent = self.store_sync.last_urgent;
        if last_urgent.is_some_and(|at| now.saturating_duration_since(at) < URGENT_INTERVAL) {
            return;
        }
        let hangs = |purpose: &Purpose| match purpose {
            Purpose::Read(Stream::Config, _, wait) => !wait.is_zero(),
            _ => false,
        };
        if self.store_sync.config.in_flight && !self.cancel_calls(hangs) {
            return;
        }
        self.store_sync.last_urgent = Some(now);
        self.read_store(Stream::Config, Duration::ZERO);
    }

    /// Reads both streams as soon as possible, because no other host could give a copy.
    pub(super) fn read_streams_now(&mut self) {
        if !self.may_read() {
            return;
        }
        self.read_config_now();
        let targets = &mut self.store_sync.targets;
        if !targets.in_flight && targets.failures == 0 {
            targets.due = None;
            self.store_sync.list_differs = true;
        }
    }

    /// Position and digest of this host's list of targets.
    pub(super) fn list_version(&self) -> ListVersion {
        self.targets.list_version(self.store_sync.list.unwrap_or_default())
    }

    /// Compares the own list with that of a host that has read as far or further, and requests a
    /// copy if it differs.
    pub(super) fn compare_list(
        &mut self,
        from: SocketAddr,
        theirs: ListVersion,
        listed: Option<Instant>,
    ) {
        let now = self.now;
        let own = self.list_version();
        if self.store_sync.list.is_none() {
            // If the other host gives none, the store is read when the initial wait for other hosts
            // is over.
            if theirs.next > Position::default() {
                self.request_copy(from);
            }
            return;
        }
        if theirs.next < own.next {
            return;
        }
        if theirs.digest == own.digest {
            self.store_sync.set_list_position(theirs.next);
            self.store_sync.outage.record_confirmation(listed);
            self.store_sync.list_differs = false;
            return;
        }
        if theirs.next == own.next {
            return;
        }
        if self.request_copy(from) || self.copies.in_progress() {
            return;
        }
        let progress = &mut self.store_sync.targets;
        if !progress.in_flight && progress.failures == 0 {
            let soon = now + LIST_DIFFERS_DELAY;
            progress.due = Some(progress.due.map_or(soon, |due| due.min(soon)));
            self.store_sync.list_differs = true;
        }
    }

    /// Handles the reply to a read of newest records.
    pub(super) fn latest_received(
        &mut self,
        stream: Stream,
        sent: Instant,
        era: Option<Era>,
        reply: Result<CallReply, CallFault>,
    ) {
        let Some(reply) = self.store_replied(stream, era, reply) else { return };
        match self.platform.latest_reply(&reply) {
            Ok(page) => self.page_received(stream, sent, page),
            Err(fault) => self.store_refused(stream, &fault),
        }
    }

    /// Adds a page of newest records, and applies all of them after the last page.
    fn page_received(&mut self, stream: Stream, sent: Instant, page: Page) {
        self.store_available(stream);
        let progress = self.store_sync.stream(stream);
        if progress.next.is_some() {
            // Another host's list goes further than these pages.
            progress.pages = None;
            return;
        }
        let empty = Pages { end: page.end, last_key: None, entries: Vec::new() };
        let pages = progress.pages.get_or_insert(empty);
        pages.entries.extend(page.entries);
        pages.last_key = page.next_key;
        if pages.last_key.is_some() {
            // The next page is read without a pause: a list of 3,000 targets may have sixty pages.
            return self.read_store(stream, Duration::ZERO);
        }
        let Some(pages) = progress.pages.take() else { return };
        progress.next = Some(pages.end);
        match stream {
            Stream::Config => {
                let newest = self.apply_configs(pages.entries.into_iter());
                self.update_store_behind(newest);
                self.confirm_config(sent);
                self.update_readiness();
                self.sync_stream(stream);
            }
            Stream::Targets => {
                let records = pages.entries.into_iter();
                let records =
                    records.filter_map(|e| self.parse_record(&e.key, e.value?.as_slice()));
                let records: Vec<TargetRecord> = records.collect();
                let now = self.now;
                let next = Position { era: self.store_sync.era, next: pages.end };
                let restored = self.store_sync.list.is_some_and(|known| known.era < next.era);
                let absence = self.store_sync.outage.absence(now);
                self.replace_list(next, records, absence, restored);
                self.store_sync.list = Some(next);
                self.store_sync.targets.due = Some(now + TARGETS_INTERVAL);
                self.store_sync.outage.record_confirmation(Some(sent));
                self.store_sync.list_differs = false;
                self.store_sync.needs_whole_list = false;
            }
        }
    }

    /// Handles the reply to a read from an offset.
    pub(super) fn read_received(
        &mut self,
        stream: Stream,
        sent: Instant,
        from: Position,
        wait: Duration,
        reply: Result<CallReply, CallFault>,
    ) {
        let Some(reply) = self.store_replied(stream, Some(from.era), reply) else { return };
        match self.platform.read_reply(&reply) {
            Ok(batch) => self.batch_received(stream, sent, from.next, wait, batch),
            Err(StoreFault::Trimmed) => {
                let progress = self.store_sync.stream(stream);
                progress.next = None;
                progress.trimmed = Some(from.next);
                log_event!(self, ConfigTrimmed, "stream={stream:?} action=read_newest");
            }
            Err(fault) => self.store_refused(stream, &fault),
        }
    }

    /// Applies the records from an offset on.
    fn batch_received(
        &mut self,
        stream: Stream,
        sent: Instant,
        from: Offset,
        wait: Duration,
        mut batch: ReadBatch,
    ) {
        self.store_available(stream);
        let now = self.now;
        let progress = self.store_sync.stream(stream);
        let empty = batch.entries.is_empty();
        let known = progress.next.unwrap_or(0);
        let next = known.max(from + batch.entries.len() as u64);
        // A copy that reaches further may have been received during the read. Records that it
        // covers are skipped, so that older ones do not replace newer ones.
        let covered = known.saturating_sub(from) as usize;
        batch.entries.drain(..covered.min(batch.entries.len()));
        let caught_up = next >= batch.end;
        progress.next = Some(next);
        if stream == Stream::Targets && caught_up {
            progress.due = Some(now + TARGETS_INTERVAL);
            self.store_sync.outage.record_confirmation(Some(sent));
            self.store_sync.list_differs = false;
        }
        match stream {
            Stream::Config => {
                let newest = self.apply_configs(batch.entries.into_iter().flatten());
                if newest.is_some() {
                    self.update_store_behind(newest);
                }
                if caught_up {
                    // An empty reply after the whole wait proves that there was no change until its
                    // end.
                    let waited = empty && now.saturating_duration_since(sent) >= wait;
                    self.confirm_config(if waited { sent + wait } else { sent });
                    self.update_readiness();
                    self.heartbeat_now(true);
                }
                self.sync_stream(stream);
            }
            Stream::Targets => {
                let next = Position { era: self.store_sync.era, next };
                self.store_sync.list = Some(next);
                self.targets.advance_to(next);
                for entry in batch.entries {
                    match entry {
                        Some(Record { key, value: Some(value) }) => self.apply_record(&key, &value),
                        Some(Record { key, value: None }) => self.remove_record(&key),
                        None => log_event!(
                            self,
                            RecordSkipped,
                            "target=- why=\"the record has no readable key\""
                        ),
                    }
                }
                self.heartbeat_now(true);
            }
        }
    }
}
