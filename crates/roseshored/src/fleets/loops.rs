//! The two threads of the driver: one reads the log and writes snapshots, one pulls from peers.

use super::FleetDriver;
use super::source::ReadProgress;
use crate::event;
use roseshore_core::config::{
    Peer, PeerSelector, ReadAction, Reader, SNAPSHOTS, Snapshot, SnapshotAction, SnapshotSchedule,
    Tail, Transition, diverged,
};
use roseshore_core::prelude::*;
use roseshore_core::wall;
use roseshore_ports::inside::{Member, MemberState, Members};
use roseshore_ports::outside::{CallResult, Peers};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;

/// The subject of the rendezvous order in which daemons read the log.
pub(super) const SUBJECT: &str = "config";

impl FleetDriver {
    /// Starts the threads.
    ///
    /// # Errors
    /// When a thread cannot be started.
    pub fn start(
        self: &Arc<Self>,
        members: Arc<dyn Members>,
        peers: Arc<dyn Peers>,
    ) -> std::io::Result<Vec<JoinHandle<()>>> {
        let spawn = |name: &str, run: Box<dyn FnOnce() + Send>| {
            std::thread::Builder::new().name(name.to_owned()).spawn(run)
        };
        let (own, all) = (Arc::clone(self), Arc::clone(&members));
        let log_thread = spawn("config-log", Box::new(move || own.log_loop(&*all)))?;
        let own = Arc::clone(self);
        let peer_thread =
            spawn("config-peers", Box::new(move || own.peer_loop(&*members, &*peers)))?;
        Ok(vec![log_thread, peer_thread])
    }

    fn running(&self) -> bool {
        !self.stopped.load(Ordering::SeqCst)
    }

    fn log_loop(&self, members: &dyn Members) {
        let mut reader = Reader::new(self.settings.reader.clone(), Instant::now());
        let mut schedule = SnapshotSchedule::new(self.settings.snapshots.clone(), Instant::now());
        while self.running() {
            let rank = rank(members);
            match reader.next(Instant::now(), rank) {
                ReadAction::Read { wait } => self.read_once(&mut reader, wait),
                ReadAction::Wait { until } => self.sleep(until),
            }
            if reader.healthy() {
                self.maintain_snapshots(&mut schedule, rank == Some(0));
            }
        }
    }

    fn read_once(&self, reader: &mut Reader, wait: Duration) {
        let transition = match self.read_log(wait) {
            Ok(ReadProgress::Trimmed) => {
                reader.answered(Instant::now(), false);
                self.sleep(Instant::now() + self.settings.tick);
                None
            }
            Ok(progress) => reader.answered(Instant::now(), progress == ReadProgress::More),
            Err(err) => {
                let transition = reader.failed(Instant::now(), rand::random());
                if transition.is_some() {
                    event!(Event::LogLost, "stream=config: {err}");
                }
                transition
            }
        };
        if transition == Some(Transition::Recovered) {
            event!(Event::LogBack, "stream=config");
        }
        self.healthy.store(reader.healthy(), Ordering::SeqCst);
    }

    /// Sleeps until `until`, but at most one tick, because the rank may change meanwhile.
    fn sleep(&self, until: Instant) {
        let left = until.saturating_duration_since(Instant::now());
        std::thread::sleep(left.min(self.settings.tick));
    }

    fn maintain_snapshots(&self, schedule: &mut SnapshotSchedule, first: bool) {
        let offset = self.inspect(roseshore_core::config::State::offset);
        let done = match schedule.next(Instant::now(), first, offset) {
            SnapshotAction::Nothing => return,
            SnapshotAction::CheckNewest => {
                self.newest_snapshot().map(|it| schedule.found(Instant::now(), it))
            }
            SnapshotAction::Write => {
                self.write_snapshot().map(|at| schedule.written(Instant::now(), at))
            }
        };
        if done.is_err() {
            schedule.failed(Instant::now());
        }
    }

    /// The offset and age of the newest snapshot in the log.
    fn newest_snapshot(&self) -> CallResult<Option<(Offset, Duration)>> {
        let Some((end, _)) = self.snapshot_bounds()? else { return Ok(None) };
        let found = self.log.read(SNAPSHOTS, end - 1, 1, Duration::ZERO)?;
        Ok(found.records.last().and_then(|it| {
            let tail = Tail::read(&it.data)?;
            let written = wall::time(it.time_ms);
            Some((tail.offset, written.elapsed().unwrap_or_default()))
        }))
    }

    fn write_snapshot(&self) -> CallResult<Offset> {
        let (offset, records) = self.inspect(|it| (it.offset(), Snapshot::records(it)));
        self.log.append(SNAPSHOTS, &records)?;
        event!(Event::SnapshotWritten, "offset={offset} records={}", records.len());
        Ok(offset)
    }

    fn peer_loop(&self, members: &dyn Members, peers: &dyn Peers) {
        let mut selector = PeerSelector::default();
        let mut logged = BTreeSet::new();
        while self.running() {
            let all = others(members);
            let (offset, digest) = self.inspect(|it| (it.offset(), it.digest()));
            let known: Vec<Peer> = all.iter().map(|it| as_peer(it, members)).collect();
            for it in diverged(offset, digest, &known) {
                if logged.insert((it.host.clone(), offset)) {
                    event!(
                        Event::ConfigDiverged,
                        "peer=`{}` offset={offset} own={digest:016x} theirs={:016x}",
                        it.host,
                        it.digest
                    );
                }
            }
            logged.retain(|(_, at)| *at == offset);
            let choice = selector.next(offset, &known);
            let member = choice.and_then(|peer| all.iter().find(|it| it.host == peer.host));
            let advanced = member.map(|it| self.pull(peers, it.peer));
            if let Some(advanced) = advanced {
                selector.record(advanced);
            }
            if advanced != Some(true) {
                self.sleep(Instant::now() + self.settings.tick);
            }
        }
    }
}

/// This daemon's rank in rendezvous order.
fn rank(members: &dyn Members) -> Option<usize> {
    let own = members.own().host;
    members.ranked(SUBJECT).iter().position(|it| it.host == own)
}

/// The other daemons that are not gone and whose incarnation is known.
fn others(members: &dyn Members) -> Vec<Member> {
    let own = members.own().host;
    let mut all = members.all();
    all.retain(|it| it.host != own && it.state != MemberState::Gone && it.incarnation > 0);
    all
}

fn as_peer(it: &Member, members: &dyn Members) -> Peer {
    Peer {
        host: it.host.clone(),
        local: it.data_centre == members.own().data_centre,
        offset: it.offset,
        digest: it.digest,
    }
}
