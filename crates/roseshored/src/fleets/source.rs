//! Getting records and snapshots from the log and from peers, and giving them to peers.

use super::{FleetDriver, Folding};
use crate::event;
use roseshore_core::config::{SNAPSHOTS, STREAM, Snapshot, Tail};
use roseshore_core::prelude::*;
use roseshore_ports::inside::{PeerHandler, RecordSink as _};
use roseshore_ports::outside::{CallError, CallResult, Peers};
use roseshore_wire::peer::{PeerReply, PeerRequest};
use roseshore_wire::platform::{Record, Records};
use std::net::SocketAddr;

const BATCH: usize = 64;
/// Parts of a snapshot in one read; a part has up to 256 KiB.
const PARTS: usize = 8;
/// The most bytes of records in one reply to a peer; below the bound of a frame.
const MAX_REPLY: usize = 4 << 20;

/// How far a read of the log came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reach {
    /// Up to the log's end.
    End,
    /// There is more.
    More,
    /// The log no longer keeps what is missing here, and no snapshot fills the hole.
    Trimmed,
}

impl FleetDriver {
    /// Reads the log on from where this daemon stands.
    pub(super) fn read_log(&self, wait: Duration) -> CallResult<Reach> {
        let from = self.inspect(roseshore_core::config::State::offset);
        match self.log.read(STREAM, from, BATCH, wait) {
            Ok(found) => {
                self.accept(&found.records);
                self.stands(found.end);
                let offset = self.inspect(roseshore_core::config::State::offset);
                Ok(if offset < found.end { Reach::More } else { Reach::End })
            }
            Err(CallError::Trimmed(oldest, end)) => {
                self.log_snapshot()?;
                self.stands(end);
                let offset = self.inspect(roseshore_core::config::State::offset);
                if offset >= oldest {
                    return Ok(Reach::More);
                }
                event!(Event::ConfigTrimmed, "stream={STREAM} offset={offset} oldest={oldest}");
                Ok(Reach::Trimmed)
            }
            Err(err) => Err(err),
        }
    }

    /// Reads the log to its end; whether that worked.
    pub fn catch_up(&self) -> bool {
        loop {
            match self.read_log(Duration::ZERO) {
                Ok(Reach::More) => {}
                Ok(reach) => return reach == Reach::End,
                Err(_) => return false,
            }
        }
    }

    /// Fetches the newest snapshot that the log keeps.
    fn log_snapshot(&self) -> CallResult<()> {
        let Some((end, oldest)) = self.snapshot_bounds()? else { return Ok(()) };
        let last = self.log.read(SNAPSHOTS, end - 1, 1, Duration::ZERO)?;
        let tail = last.records.last().and_then(|it| Tail::read(&it.data));
        let parts = tail.map_or(end, |it| Offset::from(it.parts));
        let mut from = end.saturating_sub(parts).max(oldest);
        while from < end {
            let found = self.log.read(SNAPSHOTS, from, PARTS, Duration::ZERO)?;
            let Some(last) = found.records.last() else { break };
            from = last.offset + 1;
            for it in &found.records {
                self.snapshot_part(&it.data);
            }
        }
        Ok(())
    }

    /// The end and the oldest offset of the snapshot stream, if it has records.
    pub(super) fn snapshot_bounds(&self) -> CallResult<Option<(Offset, Offset)>> {
        let (end, oldest) = match self.log.read(SNAPSHOTS, 0, 1, Duration::ZERO) {
            Ok(Records { end, oldest, .. }) | Err(CallError::Trimmed(oldest, end)) => (end, oldest),
            Err(err) => return Err(err),
        };
        Ok((oldest < end).then_some((end, oldest)))
    }

    /// Takes one part of a snapshot.
    fn snapshot_part(&self, data: &str) {
        let mut folding = self.folding.lock();
        match folding.assembly.take(data) {
            Ok(None) => {}
            Ok(Some(snapshot)) => {
                if let Some(folded) = folding.follower.restore(&snapshot) {
                    self.publish(&folding, true);
                    self.after(&folding, &folded);
                }
            }
            Err(err) => event!(Event::SnapshotBad, "{err}"),
        }
    }

    /// Pulls from a peer; whether it gave something new.
    pub(super) fn pull(&self, peers: &dyn Peers, addr: SocketAddr) -> bool {
        let before = self.inspect(roseshore_core::config::State::offset);
        let Some((records, end)) = self.ask_records(peers, addr, STREAM, before) else {
            return false;
        };
        if records.first().is_some_and(|it| it.offset == before) {
            self.accept(&records);
        } else if end > before {
            self.pull_snapshot(peers, addr);
        }
        self.stands(end);
        self.inspect(roseshore_core::config::State::offset) > before
    }

    fn pull_snapshot(&self, peers: &dyn Peers, addr: SocketAddr) {
        let mut from = 0;
        while let Some((records, end)) = self.ask_records(peers, addr, SNAPSHOTS, from) {
            let Some(last) = records.last() else { return };
            from = last.offset + 1;
            for it in &records {
                self.snapshot_part(&it.data);
            }
            if from >= end {
                return;
            }
        }
    }

    fn ask_records(
        &self,
        peers: &dyn Peers,
        addr: SocketAddr,
        stream: &str,
        from: Offset,
    ) -> Option<(Vec<Record>, Offset)> {
        let ask = PeerRequest::Records { stream: stream.to_owned(), from };
        let PeerReply::Records { records, end } = peers.ask(addr, &ask, self.settings.peer).ok()?
        else {
            return None;
        };
        let record = |(offset, time_ms, data)| Record { offset, time_ms, data };
        Some((records.into_iter().map(record).collect(), end))
    }
}

impl PeerHandler for FleetDriver {
    fn answer(&self, ask: &PeerRequest) -> Option<PeerReply> {
        let PeerRequest::Records { stream, from } = ask else { return None };
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
        let run = self.tail.run(from, end).into_iter();
        let records = run.map(|it| (it.offset, it.time_ms, it.data.clone()));
        PeerReply::Records { records: bounded(records), end }
    }

    /// Parts of a snapshot, numbered from 0; the snapshot is made when the first is asked for.
    fn snapshot(&mut self, from: Offset) -> PeerReply {
        if from == 0 {
            self.served = Snapshot::records(self.follower.state());
        }
        let parts = (0..).zip(&self.served).skip(from as usize);
        let records = bounded(parts.map(|(offset, data)| (offset, 0, data.clone())));
        let end = self.served.len() as Offset;
        if from + records.len() as Offset >= end {
            self.served = Vec::new();
        }
        PeerReply::Records { records, end }
    }
}

type Sent = (Offset, u64, String);

/// As many as fit into one reply; at least one.
fn bounded(records: impl Iterator<Item = Sent>) -> Vec<Sent> {
    let mut bytes = 0;
    let mut fits = move |it: &Sent| {
        let first = bytes == 0;
        bytes += it.2.len();
        first || bytes <= MAX_REPLY
    };
    records.take_while(|it| fits(it)).collect()
}
