//! Membership: which daemons are alive and which hosts are being withdrawn.
//!
//! Two sources are merged. Heartbeats show that a daemon is alive and whether it is leaving. The
//! platform's host list shows, with a delay, which hosts exist and which are leaving. A host that is
//! leaving by either source gets no new work. A daemon is gone after
//! [`Settings::gone_unlisted`] of silence if it is absent from the list, and in any case after
//! [`Settings::gone_listed`]. Heartbeats of an older incarnation, and older ones of the same
//! incarnation, are ignored.
//!
//! States change only with events ([`Membership::on_heartbeat`], [`Membership::on_digest`],
//! [`Membership::on_host_list`], [`Membership::tick`]); queries return the states as of the last
//! event. If this process was paused, the time between two events jumps. That time does not count
//! as silence of other daemons, and the view is [`Membership::stale`] until
//! [`Settings::settle_time`] has passed.

mod digest_schedule;
mod hosts;
mod member;
mod rank;
mod settings;

pub use digest_schedule::{DigestCall, DigestSchedule};
pub use hosts::{HostTable, ListedHost};
pub use member::{Change, Heartbeat, Ignored, Member, MemberDigest, MemberState};
pub use rank::{Order, ranked, weight};
pub use settings::Settings;

use crate::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Another daemon.
#[derive(Clone, Debug)]
struct Daemon {
    /// Newest heartbeat; `None` for a listed host without one.
    heartbeat: Option<Heartbeat>,
    peer: SocketAddr,
    data_centre: DataCentreId,
    /// Time of the newest heartbeat; without one, since when the daemon is known.
    last_heard: Instant,
    state: MemberState,
}

/// Membership as seen by one daemon.
pub struct Membership {
    own: Heartbeat,
    peer: SocketAddr,
    settings: Settings,
    seeds: Vec<SocketAddr>,
    daemons: BTreeMap<HostId, Daemon>,
    hosts: HostTable,
    /// Number of other data centres in the host list.
    remote_centres: usize,
    /// Number of other daemons of the own data centre that are not gone, as of the last change.
    peers: usize,
    /// Hosts of those daemons that are alive.
    alive: Vec<HostId>,
    last_event: Instant,
    settled_at: Instant,
}

impl Membership {
    /// Creates a view that contains only the own daemon; `seeds` are configured addresses of peers.
    pub fn new(
        own: Heartbeat,
        peer: SocketAddr,
        seeds: Vec<SocketAddr>,
        settings: Settings,
        now: Instant,
    ) -> Membership {
        let settled_at = now + settings.settle_time;
        let hosts = HostTable::new(settings.retention);
        let daemons = BTreeMap::new();
        Membership {
            own,
            peer,
            settings,
            seeds,
            daemons,
            hosts,
            remote_centres: 0,
            peers: 0,
            alive: Vec::new(),
            last_event: now,
            settled_at,
        }
    }

    /// Processes a heartbeat received from `from`, and returns the changes of state.
    ///
    /// # Errors
    /// Why the heartbeat was ignored; the view is unchanged.
    pub fn on_heartbeat(
        &mut self,
        from: SocketAddr,
        heartbeat: Heartbeat,
        now: Instant,
    ) -> Result<Vec<Change>, Ignored> {
        self.detect_pause(now);
        if heartbeat.host == self.own.host {
            return Err(Ignored::OwnHost);
        }
        if !self.sender_matches(from, &heartbeat.host) {
            return Err(Ignored::UnknownSender);
        }
        let host = heartbeat.host.clone();
        self.accept(from, heartbeat, now, now)?;
        Ok(self.refresh_one(&host, now))
    }

    /// Processes the digest of another data centre, and returns the changes of state.
    ///
    /// Entries about the own data centre are ignored, because its daemons send heartbeats directly.
    pub fn on_digest(&mut self, entries: Vec<MemberDigest>, now: Instant) -> Vec<Change> {
        self.detect_pause(now);
        for entry in entries {
            if entry.beat.data_centre == self.own.data_centre {
                continue;
            }
            let Some(peer) = self.address(&entry.beat.host) else { continue };
            let age = Duration::from_millis(u64::from(entry.age_ms));
            let heard = now.checked_sub(age).unwrap_or(now);
            // An outdated entry is normal: several daemons send digests of the same data centre.
            let _ = self.accept(peer, entry.beat, heard, now);
        }
        self.refresh(now)
    }

    /// Processes the host list, and returns the changes of state; a list with an older version than
    /// the known one is ignored.
    pub fn on_host_list(
        &mut self,
        version: u64,
        hosts: Vec<ListedHost>,
        now: Instant,
    ) -> Vec<Change> {
        self.detect_pause(now);
        if !self.hosts.replace(version, hosts, now) {
            return Vec::new();
        }
        for (host, peer, data_centre) in self.hosts.daemons() {
            if *host == self.own.host {
                continue;
            }
            let fresh = Daemon {
                heartbeat: None,
                peer,
                data_centre: data_centre.clone(),
                last_heard: now,
                state: MemberState::Suspect,
            };
            self.daemons.entry(host.clone()).or_insert(fresh).peer = peer;
        }
        let remote = self.daemons.values().filter(|d| !self.is_local(d));
        self.remote_centres = remote.map(|d| &d.data_centre).collect::<BTreeSet<_>>().len();
        self.update_counts();
        self.refresh(now)
    }

    /// Returns the hosts without a daemon that are being withdrawn.
    pub fn leaving_targets(&self) -> BTreeSet<HostId> {
        self.hosts.leaving_targets()
    }

    /// Updates states for the time that has passed, and returns the changes; call it several times
    /// per [`Settings::pause_threshold`].
    pub fn tick(&mut self, now: Instant) -> Vec<Change> {
        self.detect_pause(now);
        self.refresh(now)
    }

    /// Returns the next heartbeat to send.
    pub fn next_heartbeat(&mut self, leaving: bool, offset: Offset, digest: u64) -> Heartbeat {
        self.own.sequence += 1;
        self.own.leaving = leaving;
        self.own.offset = offset;
        self.own.digest = digest;
        self.own.clone()
    }

    /// Returns the addresses that get heartbeats: every daemon of the own data centre that is listed
    /// or not gone, and seeds that no known daemon has as its address. Listed daemons always get
    /// them, because otherwise neither side would resume after a network partition.
    pub fn heartbeat_addrs(&self) -> Vec<SocketAddr> {
        let local = self.daemons.iter().filter(|(_, d)| self.is_local(d));
        let wanted = local.filter(|(h, d)| d.state != MemberState::Gone || self.hosts.contains(h));
        let mut peers: Vec<_> = wanted.map(|(_, d)| d.peer).collect();
        for seed in &self.seeds {
            if *seed != self.peer && !self.daemons.values().any(|d| d.peer == *seed) {
                peers.push(*seed);
            }
        }
        peers
    }

    /// Interval between heartbeats.
    pub fn period(&self) -> Duration {
        self.settings.period(self.peers)
    }

    /// Returns this daemon.
    pub fn own(&self) -> Member {
        let leaving = self.own.leaving || self.hosts.leaving(&self.own.host);
        Member {
            host: self.own.host.clone(),
            data_centre: self.own.data_centre.clone(),
            peer: self.peer,
            incarnation: self.own.incarnation,
            state: if leaving { MemberState::Leaving } else { MemberState::Alive },
            offset: self.own.offset,
            digest: self.own.digest,
        }
    }

    /// Returns every daemon that is not gone: first this one, then those of its data centre.
    pub fn all(&self) -> Vec<Member> {
        let known = self.daemons.iter().filter(|(_, d)| d.state != MemberState::Gone);
        let mut all: Vec<_> = known.map(|(host, d)| d.member(host)).collect();
        all.sort_by_key(|m| m.data_centre != self.own.data_centre);
        all.insert(0, self.own());
        all
    }

    /// Returns the alive daemons of the own data centre in rendezvous order for a subject.
    pub fn ranked(&self, subject: &str) -> Vec<Member> {
        let known = |host: &HostId| self.daemons.get(host).map(|d| d.member(host));
        let own = Some(self.own()).filter(|m| m.state == MemberState::Alive);
        ranked(subject, self.alive.iter().filter_map(known).chain(own).collect())
    }

    /// Returns this daemon's index in [`Membership::ranked`] for a subject; `None` while it is
    /// leaving.
    pub fn place(&self, subject: &str) -> Option<usize> {
        let own = &self.own;
        if self.leaving(&own.host) {
            return None;
        }
        let order = Order::new(subject);
        let mine = order.weight(&own.host);
        Some(self.alive.iter().filter(|host| order.weight(host) > mine).count())
    }

    /// Returns the daemons of other data centres that are listed or not gone.
    pub fn remote(&self) -> Vec<Member> {
        let remote = self.daemons.iter().filter(|(_, d)| !self.is_local(d));
        let wanted = remote.filter(|(h, d)| d.state != MemberState::Gone || self.hosts.contains(h));
        wanted.map(|(host, d)| d.member(host)).collect()
    }

    /// Whether a host takes no new work, by its heartbeat or by the host list.
    pub fn leaving(&self, host: &HostId) -> bool {
        let own = *host == self.own.host && self.own.leaving;
        let announced =
            self.daemons.get(host).and_then(|d| d.heartbeat.as_ref()).is_some_and(|b| b.leaving);
        own || announced || self.hosts.leaving(host)
    }

    /// Whether the view may be outdated, because this process has just started or was paused.
    pub fn stale(&self, now: Instant) -> bool {
        now < self.settled_at
            || now.saturating_duration_since(self.last_event) > self.settings.pause_threshold
    }

    /// Returns the digest for other data centres: the newest heartbeats of the own data centre with
    /// their ages.
    pub fn digest(&self, now: Instant) -> Vec<MemberDigest> {
        let mut entries = vec![MemberDigest { beat: self.own.clone(), age_ms: 0 }];
        entries[0].beat.leaving = self.leaving(&self.own.host);
        for daemon in self.daemons.values().filter(|d| self.is_local(d)) {
            let Some(heartbeat) = &daemon.heartbeat else { continue };
            if daemon.state == MemberState::Gone {
                continue;
            }
            let age_ms = now.saturating_duration_since(daemon.last_heard).as_millis() as u32;
            entries.push(MemberDigest { beat: heartbeat.clone(), age_ms });
        }
        entries
    }

    /// Updates `peers` and `alive` after a change of state.
    fn update_counts(&mut self) {
        let local = self.daemons.iter().filter(|(_, d)| self.is_local(d));
        let states: Vec<_> = local.map(|(host, d)| (host.clone(), d.state)).collect();
        self.peers = states.iter().filter(|(_, state)| *state != MemberState::Gone).count();
        let alive = states.into_iter().filter(|(_, state)| *state == MemberState::Alive);
        self.alive = alive.map(|(host, _)| host).collect();
    }

    fn is_local(&self, daemon: &Daemon) -> bool {
        daemon.data_centre == self.own.data_centre
    }

    /// Whether the sender's address is that of the host, or a seed if the host is unknown.
    fn sender_matches(&self, from: SocketAddr, host: &HostId) -> bool {
        match self.address(host) {
            Some(peer) => peer == from,
            None => self.seeds.contains(&from),
        }
    }

    fn address(&self, host: &HostId) -> Option<SocketAddr> {
        self.hosts.peer(host).or_else(|| self.daemons.get(host).map(|d| d.peer))
    }

    /// Stores a heartbeat unless it is older than the known one.
    fn accept(
        &mut self,
        peer: SocketAddr,
        heartbeat: Heartbeat,
        last_heard: Instant,
        now: Instant,
    ) -> Result<(), Ignored> {
        let data_centre = heartbeat.data_centre.clone();
        let fresh =
            Daemon { heartbeat: None, peer, data_centre, last_heard, state: MemberState::Gone };
        let daemon = self.daemons.entry(heartbeat.host.clone()).or_insert(fresh);
        if let Some(last) = &daemon.heartbeat {
            if heartbeat.incarnation < last.incarnation {
                return Err(Ignored::OldIncarnation);
            }
            if heartbeat.incarnation == last.incarnation && heartbeat.sequence <= last.sequence {
                return Err(Ignored::Duplicate);
            }
        }
        // Before the first heartbeat, `last_heard` is only the time since which the daemon is known.
        let known = daemon.heartbeat.as_ref().map(|_| daemon.last_heard);
        daemon.last_heard = known.map_or(last_heard, |known| known.max(last_heard)).min(now);
        daemon.peer = peer;
        daemon.data_centre.clone_from(&heartbeat.data_centre);
        daemon.heartbeat = Some(heartbeat);
        Ok(())
    }

    /// Excludes the time of a pause of this process from the silence of other daemons.
    fn detect_pause(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_event);
        self.last_event = self.last_event.max(now);
        if gap <= self.settings.pause_threshold {
            return;
        }
        for daemon in self.daemons.values_mut() {
            daemon.last_heard += gap;
        }
        self.settled_at = now + self.settings.settle_time;
    }

    fn refresh(&mut self, now: Instant) -> Vec<Change> {
        let local = self.settings.local_bounds(self.peers);
        let remote = self.settings.remote_bounds(self.remote_centres);
        let mut changes = Vec::new();
        for (host, daemon) in &mut self.daemons {
            let own = daemon.data_centre == self.own.data_centre;
            let bounds = if own { &local } else { &remote };
            changes.extend(daemon.update_state(host, &self.hosts, bounds, now));
        }
        self.hosts.prune(now);
        let keep = self.settings.retention;
        let hosts = &self.hosts;
        let recent = |d: &Daemon| now.saturating_duration_since(d.last_heard) < keep;
        self.daemons.retain(|host, d| recent(d) || hosts.contains(host));
        if !changes.is_empty() {
            self.update_counts();
        }
        changes
    }

    fn refresh_one(&mut self, host: &HostId, now: Instant) -> Vec<Change> {
        let bounds = self.settings.local_bounds(self.peers);
        let daemon = self.daemons.get_mut(host);
        let change = daemon.and_then(|d| d.update_state(host, &self.hosts, &bounds, now));
        if change.is_some() {
            self.update_counts();
        }
        change.into_iter().collect()
    }
}

impl Daemon {
    /// Updates the state, and returns the change if there is one.
    fn update_state(
        &mut self,
        host: &HostId,
        hosts: &HostTable,
        bounds: &settings::Bounds,
        now: Instant,
    ) -> Option<Change> {
        let to = self.state_at(host, hosts, bounds, now);
        let from = std::mem::replace(&mut self.state, to);
        (from != to).then(|| Change { host: host.clone(), from, to })
    }

    fn state_at(
        &self,
        host: &HostId,
        hosts: &HostTable,
        bounds: &settings::Bounds,
        now: Instant,
    ) -> MemberState {
        let silence = now.saturating_duration_since(self.last_heard);
        let absent = || !hosts.contains(host);
        if silence >= bounds.gone_listed || (silence >= bounds.gone_unlisted && absent()) {
            return MemberState::Gone;
        }
        if hosts.leaving(host) || self.heartbeat.as_ref().is_some_and(|b| b.leaving) {
            return MemberState::Leaving;
        }
        if self.heartbeat.is_none() || silence >= bounds.suspect {
            return MemberState::Suspect;
        }
        MemberState::Alive
    }

    fn member(&self, host: &HostId) -> Member {
        let heartbeat = self.heartbeat.as_ref();
        Member {
            host: host.clone(),
            data_centre: self.data_centre.clone(),
            peer: self.peer,
            incarnation: heartbeat.map_or(0, |b| b.incarnation),
            state: self.state,
            offset: heartbeat.map_or(0, |b| b.offset),
            digest: heartbeat.map_or(0, |b| b.digest),
        }
    }
}
