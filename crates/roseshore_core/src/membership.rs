//! Which daemons there are, and which hosts are being taken away.
//!
//! Two sources are merged. Heartbeats say that a daemon lives and whether it is leaving; the
//! platform's host list says, late, which hosts exist and which are leaving. Leaving in either
//! means no new work. Gone needs silence past a bound and absence from the list, or silence past a
//! longer bound. A heartbeat of an older life, or an older one of the same life, changes nothing.
//!
//! States change only by events ([`Membership::on_heartbeat`], [`Membership::on_digest`],
//! [`Membership::on_host_list`], [`Membership::tick`]); queries read the states as of the last event. A
//! process that was paused sees a jump between two ticks: the silence of that time was its own, so
//! it is not held against others, and the view is [`Membership::stale`] until it has settled.

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

#[derive(Clone, Debug)]
struct Daemon {
    beat: Option<Heartbeat>,
    peer: SocketAddr,
    data_centre: DataCentreId,
    heard: Instant,
    state: MemberState,
}

/// The view of one daemon.
pub struct Membership {
    own: Heartbeat,
    peer: SocketAddr,
    settings: Settings,
    seeds: Vec<SocketAddr>,
    daemons: BTreeMap<HostId, Daemon>,
    hosts: HostTable,
    /// Other data centres in the host list.
    centres: usize,
    /// Other daemons of the own data centre that are not gone, as of the last change.
    peers: usize,
    /// Those of them that are alive.
    alive: Vec<HostId>,
    ticked: Instant,
    settled: Instant,
}

impl Membership {
    /// A view that knows only its own daemon; `seeds` are peers' addresses known from settings.
    pub fn new(
        own: Heartbeat,
        peer: SocketAddr,
        seeds: Vec<SocketAddr>,
        settings: Settings,
        now: Instant,
    ) -> Membership {
        let settled = now + settings.settle;
        let hosts = HostTable::new(settings.remember);
        let daemons = BTreeMap::new();
        Membership {
            own,
            peer,
            settings,
            seeds,
            daemons,
            hosts,
            centres: 0,
            peers: 0,
            alive: Vec::new(),
            ticked: now,
            settled,
        }
    }

    /// Takes a heartbeat that came from `from`.
    ///
    /// # Errors
    /// Why it was ignored; the view is unchanged then.
    pub fn on_heartbeat(
        &mut self,
        from: SocketAddr,
        beat: Heartbeat,
        now: Instant,
    ) -> Result<Vec<Change>, Ignored> {
        self.wake(now);
        if beat.host == self.own.host {
            return Err(Ignored::OwnHost);
        }
        if !self.bound(from, &beat.host) {
            return Err(Ignored::UnknownSender);
        }
        let host = beat.host.clone();
        self.take(from, beat, now, now)?;
        Ok(self.refresh_one(&host, now))
    }

    /// Takes the digest of another data centre.
    ///
    /// Entries about own data centre are ignored: they are heard of directly or not at all.
    pub fn on_digest(&mut self, notes: Vec<MemberDigest>, now: Instant) -> Vec<Change> {
        self.wake(now);
        for note in notes {
            if note.beat.data_centre == self.own.data_centre {
                continue;
            }
            let Some(peer) = self.address(&note.beat.host) else { continue };
            let age = Duration::from_millis(u64::from(note.age_ms));
            let heard = now.checked_sub(age).unwrap_or(now);
            // An old note is the ordinary case here: two speakers tell the same.
            let _ = self.take(peer, note.beat, heard, now);
        }
        self.refresh(now)
    }

    /// Takes the host list; one with an older version than known is ignored.
    pub fn on_host_list(
        &mut self,
        version: u64,
        hosts: Vec<ListedHost>,
        now: Instant,
    ) -> Vec<Change> {
        self.wake(now);
        if !self.hosts.replace(version, hosts, now) {
            return Vec::new();
        }
        for (host, peer, data_centre) in self.hosts.daemons() {
            if *host == self.own.host {
                continue;
            }
            let fresh = Daemon {
                beat: None,
                peer,
                data_centre: data_centre.clone(),
                heard: now,
                state: MemberState::Suspect,
            };
            self.daemons.entry(host.clone()).or_insert(fresh).peer = peer;
        }
        let far = self.daemons.values().filter(|d| !self.near(d));
        self.centres = far.map(|d| &d.data_centre).collect::<BTreeSet<_>>().len();
        self.count();
        self.refresh(now)
    }

    /// The hosts without a daemon that are being taken away.
    pub fn leaving_targets(&self) -> BTreeSet<HostId> {
        self.hosts.leaving_targets()
    }

    /// Lets time pass; called several times in a [`Settings::pause`].
    pub fn tick(&mut self, now: Instant) -> Vec<Change> {
        self.wake(now);
        self.refresh(now)
    }

    /// The next heartbeat to send.
    pub fn beat(&mut self, leaving: bool, offset: Offset, digest: u64) -> Heartbeat {
        self.own.sequence += 1;
        self.own.leaving = leaving;
        self.own.offset = offset;
        self.own.digest = digest;
        self.own.clone()
    }

    /// Where heartbeats go: every daemon of the own data centre that is listed or not gone, and the
    /// seeds among the others. Listed ones get them for ever: after a cut, somebody must begin.
    pub fn heartbeat_addrs(&self) -> Vec<SocketAddr> {
        let near = self.daemons.iter().filter(|(_, d)| self.near(d));
        let wanted = near.filter(|(h, d)| d.state != MemberState::Gone || self.hosts.contains(h));
        let mut peers: Vec<_> = wanted.map(|(_, d)| d.peer).collect();
        for seed in &self.seeds {
            if *seed != self.peer && !self.daemons.values().any(|d| d.peer == *seed) {
                peers.push(*seed);
            }
        }
        peers
    }

    /// How often heartbeats are sent.
    pub fn period(&self) -> Duration {
        self.settings.period(self.peers)
    }

    /// This daemon.
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

    /// Every daemon that is not gone, this one first, then its data centre's.
    pub fn all(&self) -> Vec<Member> {
        let known = self.daemons.iter().filter(|(_, d)| d.state != MemberState::Gone);
        let mut all: Vec<_> = known.map(|(host, d)| d.member(host)).collect();
        all.sort_by_key(|m| m.data_centre != self.own.data_centre);
        all.insert(0, self.own());
        all
    }

    /// The alive daemons of the own data centre in rendezvous order for a subject.
    pub fn ranked(&self, subject: &str) -> Vec<Member> {
        let known = |host: &HostId| self.daemons.get(host).map(|d| d.member(host));
        let own = Some(self.own()).filter(|m| m.state == MemberState::Alive);
        ranked(subject, self.alive.iter().filter_map(known).chain(own).collect())
    }

    /// This daemon's place in [`Membership::ranked`] for a subject; `None` while it is leaving.
    pub fn place(&self, subject: &str) -> Option<usize> {
        let own = &self.own;
        if self.leaving(&own.host) {
            return None;
        }
        let order = Order::new(subject);
        let mine = order.weight(&own.host);
        Some(self.alive.iter().filter(|host| order.weight(host) > mine).count())
    }

    /// The daemons of other data centres that are listed or not gone.
    pub fn far(&self) -> Vec<Member> {
        let far = self.daemons.iter().filter(|(_, d)| !self.near(d));
        let wanted = far.filter(|(h, d)| d.state != MemberState::Gone || self.hosts.contains(h));
        wanted.map(|(host, d)| d.member(host)).collect()
    }

    /// Whether either source says that a host takes no new work.
    pub fn leaving(&self, host: &HostId) -> bool {
        let own = *host == self.own.host && self.own.leaving;
        let said = self.daemons.get(host).and_then(|d| d.beat.as_ref()).is_some_and(|b| b.leaving);
        own || said || self.hosts.leaving(host)
    }

    /// Whether this daemon has just begun or woken and may not know who else lives.
    pub fn stale(&self, now: Instant) -> bool {
        now < self.settled || now.saturating_duration_since(self.ticked) > self.settings.pause
    }

    /// The digest for other data centres: the last heartbeats of own data centre, with ages.
    pub fn digest(&self, now: Instant) -> Vec<MemberDigest> {
        let mut notes = vec![MemberDigest { beat: self.own.clone(), age_ms: 0 }];
        notes[0].beat.leaving = self.leaving(&self.own.host);
        for daemon in self.daemons.values().filter(|d| self.near(d)) {
            let Some(beat) = &daemon.beat else { continue };
            if daemon.state == MemberState::Gone {
                continue;
            }
            let age_ms = now.saturating_duration_since(daemon.heard).as_millis() as u32;
            notes.push(MemberDigest { beat: beat.clone(), age_ms });
        }
        notes
    }

    /// Counts anew after a change of state.
    fn count(&mut self) {
        let near = self.daemons.iter().filter(|(_, d)| self.near(d));
        let states: Vec<_> = near.map(|(host, d)| (host.clone(), d.state)).collect();
        self.peers = states.iter().filter(|(_, state)| *state != MemberState::Gone).count();
        let alive = states.into_iter().filter(|(_, state)| *state == MemberState::Alive);
        self.alive = alive.map(|(host, _)| host).collect();
    }

    fn near(&self, daemon: &Daemon) -> bool {
        daemon.data_centre == self.own.data_centre
    }

    fn bound(&self, from: SocketAddr, host: &HostId) -> bool {
        match self.address(host) {
            Some(peer) => peer == from,
            None => self.seeds.contains(&from),
        }
    }

    fn address(&self, host: &HostId) -> Option<SocketAddr> {
        self.hosts.peer(host).or_else(|| self.daemons.get(host).map(|d| d.peer))
    }

    fn take(
        &mut self,
        peer: SocketAddr,
        beat: Heartbeat,
        heard: Instant,
        now: Instant,
    ) -> Result<(), Ignored> {
        let data_centre = beat.data_centre.clone();
        let fresh = Daemon { beat: None, peer, data_centre, heard, state: MemberState::Gone };
        let daemon = self.daemons.entry(beat.host.clone()).or_insert(fresh);
        if let Some(last) = &daemon.beat {
            if beat.incarnation < last.incarnation {
                return Err(Ignored::OldIncarnation);
            }
            if beat.incarnation == last.incarnation && beat.sequence <= last.sequence {
                return Err(Ignored::Duplicate);
            }
        }
        // Before the first heartbeat, `heard` is only the time since which it is known.
        let known = daemon.beat.as_ref().map(|_| daemon.heard);
        daemon.heard = known.map_or(heard, |known| known.max(heard)).min(now);
        daemon.peer = peer;
        daemon.data_centre.clone_from(&beat.data_centre);
        daemon.beat = Some(beat);
        Ok(())
    }

    fn wake(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.ticked);
        self.ticked = self.ticked.max(now);
        if gap <= self.settings.pause {
            return;
        }
        for daemon in self.daemons.values_mut() {
            daemon.heard += gap;
        }
        self.settled = now + self.settings.settle;
    }

    fn refresh(&mut self, now: Instant) -> Vec<Change> {
        let near = self.settings.near(self.peers);
        let far = self.settings.far(self.centres);
        let mut changes = Vec::new();
        for (host, daemon) in &mut self.daemons {
            let own = daemon.data_centre == self.own.data_centre;
            let bounds = if own { &near } else { &far };
            changes.extend(daemon.judge(host, &self.hosts, bounds, now));
        }
        self.hosts.forget(now);
        let keep = self.settings.remember;
        let hosts = &self.hosts;
        let recent = |d: &Daemon| now.saturating_duration_since(d.heard) < keep;
        self.daemons.retain(|host, d| recent(d) || hosts.contains(host));
        if !changes.is_empty() {
            self.count();
        }
        changes
    }

    fn refresh_one(&mut self, host: &HostId, now: Instant) -> Vec<Change> {
        let bounds = self.settings.near(self.peers);
        let daemon = self.daemons.get_mut(host);
        let change = daemon.and_then(|d| d.judge(host, &self.hosts, &bounds, now));
        if change.is_some() {
            self.count();
        }
        change.into_iter().collect()
    }
}

impl Daemon {
    /// Settles the state, and says so if it changed.
    fn judge(
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
        let silence = now.saturating_duration_since(self.heard);
        let absent = || !hosts.contains(host);
        if silence >= bounds.longest || (silence >= bounds.gone && absent()) {
            return MemberState::Gone;
        }
        if hosts.leaving(host) || self.beat.as_ref().is_some_and(|b| b.leaving) {
            return MemberState::Leaving;
        }
        if self.beat.is_none() || silence >= bounds.suspect {
            return MemberState::Suspect;
        }
        MemberState::Alive
    }

    fn member(&self, host: &HostId) -> Member {
        let beat = self.beat.as_ref();
        Member {
            host: host.clone(),
            data_centre: self.data_centre.clone(),
            peer: self.peer,
            incarnation: beat.map_or(0, |b| b.incarnation),
            state: self.state,
            offset: beat.map_or(0, |b| b.offset),
            digest: beat.map_or(0, |b| b.digest),
        }
    }
}
