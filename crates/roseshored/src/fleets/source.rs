//! Fetches records and snapshots from the log and from peers, and serves them to peers.

use super::{FleetDriver, Folding};
use crate::event;
use roseshore_core::config::{SNAPSHOTS, STREAM, Snapshot, Tail};
use roseshore_core::prelude::*;
use roseshore_ports::inside::{PeerHandler, RecordSink as _};
use roseshore_ports::outside::{CallError, CallResult, Peers};
use roseshore_wire::peer::{PeerReply, PeerRequest};
use roseshore_wire::platform::{Record, Records};
use std::net::SocketAddr;

/// Most records in one read of the log.
const BATCH: usize = 64;
/// Most parts of a snapshot in one read; a part has up to 256 KiB.
const SNAPSHOT_PARTS: usize = 8;
/// Most bytes of records in one reply to a peer; below the limit of a frame.
const MAX_REPLY: usize = 4 << 20;

/// How far a read of the log got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadProgress {
    /// To the end of the log.
    End,
    /// There is more to read.
    More,
    /// The missing records have been trimmed from the log, and no snapshot covers them.
    Trimmed,
}

impl FleetDriver {
    /// Reads the next batch of the log, waiting up to `wait` for a record.
    pub(super) fn read_log(&self, wait: Duration) -> CallResult<ReadProgress> {
        let from = self.inspect(roseshore_core::config::State::offset);
        match self.log.read(STREAM, from, BATCH, wait) {
            Ok(found) => {
                self.accept(&found.records);
                self.set_goal(found.end);
                let offset = self.inspect(roseshore_core::config::State::offset);
                Ok(if offset < found.end { ReadProgress::More } else { ReadProgress::End })
            }
            Err(CallError::Trimmed(oldest, end)) => {
                self.fetch_log_snapshot()?;
                self.set_goal(end);
                let offset = self.inspect(roseshore_core::config::State::offset);
                if offset >= oldest {
                    return Ok(ReadProgress::More);
                }
                event!(Event::ConfigTrimmed, "stream={STREAM} offset={offset} oldest={oldest}");
                Ok(ReadProgress::Trimmed)
            }
            Err(err) => Err(err),
        }
    }

    /// Reads the log to its end; returns whether the end was reached.
    pub fn catch_up(&self) -> bool {
        loop {
            match self.read_log(Duration::ZERO) {
                Ok(ReadProgress::More) => {}
                Ok(progress) => return progress == ReadProgress::End,
                Err(_) => return false,
            }
        }
    }

    /// Fetches the newest snapshot from the log.
    fn fetch_log_snapshot(&self) -> CallResult<()> {
        let Some((end, oldest)) = self.snapshot_bounds()? else { return Ok(()) };
        let last = self.log.read(SNAPSHOTS, end - 1, 1, Duration::ZERO)?;
        let tail = last.records.last().and_then(|it| Tail::read(&it.data));
        let parts = tail.map_or(end, |it| Offset::from(it.parts));
        let mut from = end.saturating_sub(parts).max(oldest);
        while from < end {
            let found = self.log.read(SNAPSHOTS, from, SNAPSHOT_PARTS, Duration::ZERO)?;
            let Some(last) = found.records.last() else { break };
            from = last.offset + 1;
            for it in &found.records {
                self.add_snapshot_part(&it.data);
            }
        }
        Ok(())
    }

    /// The end and oldest offset of the snapshot stream, or `None` if it has no records.
    pub(super) fn snapshot_bounds(&self) -> CallResult<Option<(Offset, Offset)>> {
        let (end, oldest) = match self.log.read(SNAPSHOTS, 0, 1, Duration::ZERO) {
            Ok(Records { end, oldest, .. }) | Err(CallError::Trimmed(oldest, end)) => (end, oldest),
            Err(err) => return Err(err),
        };
        Ok((oldest < end).then_some((end, oldest)))
    }

    /// Adds one part of a snapshot and, once it is complete, restores the state from it.
    fn add_snapshot_part(&self, data: &str) {
        let mut folding = self.folding.lock();
        match folding.assembly.take(data) {
            Ok(None) => {}
            Ok(Some(snapshot)) => {
                if let Some(folded) = folding.follower.restore(&snapshot) {
                    self.publish(&folding, true);
                    self.publish_and_log(&folding, &folded);
                }
            }
            Err(err) => event!(Event::SnapshotBad, "{err}"),
        }
    }

    /// Pulls records or a snapshot from a peer; returns whether the offset advanced.
    pub(super) fn pull(&self, peers: &dyn Peers, addr: SocketAddr) -> bool {
        let before = self.inspect(roseshore_core::config::State::offset);
        let Some((records, end)) = self.request_records(peers, addr, STREAM, before) else {
            return false;
        };
        if records.first().is_some_and(|it| it.offset == before) {
            self.accept(&records);
        } else if end > before {
            self.pull_snapshot(peers, addr);
        }
        self.set_goal(end);
        self.inspect(roseshore_core::config::State::offset) > before
    }

    fn pull_snapshot(&self, peers: &dyn Peers, addr: SocketAddr) {
        let mut from = 0;
        while let Some((records, end)) = self.request_records(peers, addr, SNAPSHOTS, from) {
            let Some(last) = records.last() else { return };
            from = last.offset + 1;
            for it in &records {
                self.add_snapshot_part(&it.data);
            }
            if from >= end {
                return;
            }
        }
    }

    fn request_records(
        &self,
        peers: &dyn Peers,
        addr: SocketAddr,
        stream: &str,
        from: Offset,
    ) -> Option<(Vec<Record>, Offset)> {
        let request = PeerRequest::Records { stream: stream.to_owned(), from };
        let PeerReply::Records { records, end } =
            peers.ask(addr, &request, self.settings.peer).ok()?
        else {
            return None;
        };
        let record = |(offset, time_ms, data)| Record { offset, time_ms, data };
        Some((records.into_iter().map(record).collect(), end))
    }
}

impl PeerHandler for FleetDriver {
    fn answer(&self, request: &PeerRequest) -> Option<PeerReply> {
        let PeerRequest::Records { stream, from } = request else { return None };
        let mut folding = self.folding.lock();
        match stream.as_str() {
            STREAM => Some(folding.records(*from)),
            SNAPSHOTS => Some(folding.snapshot(*from)),
            _ => None,
        }
    }
}

impl Folding {
    fn records(&self, from: Offset) -> PeerReply {
        let end = self.follower.state().offset();
        let tail = self.tail.contiguous(from, end).into_iter();
        let records = tail.map(|it| (it.offset, it.time_ms, it.data.clone()));
        PeerReply::Records { records: bounded(records), end }
    }

    /// Parts of a snapshot, numbered from 0. The snapshot is created when part 0 is requested.
    fn snapshot(&mut self, from: Offset) -> PeerReply {
        if from == 0 {
            self.snapshot_parts = Snapshot::records(self.follower.state());
        }
        let parts = (0..).zip(&self.snapshot_parts).skip(from as usize);
        let records = bounded(parts.map(|(offset, data)| (offset, 0, data.clone())));
        let end = self.snapshot_parts.len() as Offset;
        if from + records.len() as Offset >= end {
            self.snapshot_parts = Vec::new();
        }
        PeerReply::Records { records, end }
    }
}

type PeerRecord = (Offset, u64, String);

/// The first records that fit into one reply; at least one.
fn bounded(records: impl Iterator<Item = PeerRecord>) -> Vec<PeerRecord> {
    let mut bytes = 0;
    let mut fits = move |it: &PeerRecord| {
        let first = bytes == 0;
        bytes += it.2.len();
        first || bytes <= MAX_REPLY
    };
    records.take_while(|it| fits(it)).collect()
}
