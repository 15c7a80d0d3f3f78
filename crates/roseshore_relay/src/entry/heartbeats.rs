//! Heartbeats between hosts: loads, failures, and what each has read of the store.

use super::fatal::HEARD;
use super::{EntryHost, note};
use roseshore_core::gateway::RetryBudget;
use roseshore_core::gateway::fatal::MIN_URGENT_GAP;
use roseshore_core::gateway::paces::{EnginePace, PaceReport};
use roseshore_core::gateway::peers::{Datagram, Heartbeat, LocalState, ServiceCounts, name_hash};
use roseshore_core::prelude::*;
use roseshore_wire::frame::{self, MAX_DATAGRAM};
use std::net::SocketAddr;

/// Between two additions of what the others have told: a speaker of sixty hosts hears three hundred
/// heartbeats a second, and what each changes matters to a choice only with the others.
const VIEW_EVERY: Duration = Duration::from_millis(20);

/// A newer configuration that no copy has brought for so long is read: refusals begin at 0.7 s, and
/// a copy of 250 kB reaches the last of sixty hosts in 0.9 s.
const COPY_PATIENCE: Duration = Duration::from_millis(500);

/// Paces that a heartbeat tells of; more do not fit a datagram beside the rest.
const PACES_TOLD: usize = 12;

impl EntryHost {
    /// Takes the datagrams that came.
    pub(super) fn hear(&mut self) {
        let mut joined = false;
        while let Some((from, bytes)) = self.net.receive_datagram() {
            match frame::decode(bytes) {
                Ok(Datagram::Beat(beat)) => joined |= self.hear_beat(from, *beat),
                Ok(Datagram::Ask(ask)) => self.hear_ask(from, &ask),
                Ok(Datagram::Grant(grant)) => self.hear_grant(&grant),
                Err(err) => {
                    let why = err.to_string();
                    note!(self, DatagramSkipped, "from={from} why={why:?}");
                }
            }
        }
        if joined {
            // Who is new hears at once what others have.
            self.fatal.repeat_blocked(self.now);
            self.beat();
        }
        self.view_others();
    }

    /// Takes a heartbeat; returns whether its sender has just joined.
    fn hear_beat(&mut self, from: SocketAddr, mut beat: Heartbeat) -> bool {
        let (now, config, list) = (self.now, beat.config, beat.list);
        let holds = std::mem::take(&mut beat.holds);
        let paces = std::mem::take(&mut beat.paces);
        let fatal = std::mem::take(&mut beat.fatal);
        let limits = beat.limits.clone();
        let Some(heard) = self.peers.receive(from, beat, now) else { return false };
        if heard.joined {
            note!(self, HostJoined, "host={from} near={} config_version={config}", heard.near);
        }
        for hold in holds {
            self.take_hold(hold);
        }
        for note in paces {
            if let Some(pace) = EnginePace::from_report(&note, now) {
                self.targets.record_pace(note.target, pace);
            }
        }
        for note in &fatal {
            self.hear_fatal(note, HEARD);
        }
        self.hear_limits(from, &limits);
        let known = self.config_version();
        if let Some(proven) = heard.config_proven.filter(|_| config == known && known > 0) {
            self.currency.renew(proven);
        }
        if config > known && !self.ask_copy(from) && !self.awaits_copy() {
            self.read_config_now();
        }
        self.compare_list(from, list, heard.list_proven);
        heard.joined
    }

    /// Whether a copy of a newer configuration is soon to be had, and has not been for long.
    fn awaits_copy(&self) -> bool {
        let late = |since| self.now.saturating_duration_since(since) >= COPY_PATIENCE;
        self.copies.expected(self.now) && !self.outdated.is_some_and(late)
    }

    /// Adds up what the other hosts have told.
    fn view_others(&mut self) {
        let now = self.now;
        if self.viewed.is_some_and(|at| now.saturating_duration_since(at) < VIEW_EVERY) {
            return;
        }
        self.viewed = Some(now);
        let view = self.peers.view(now);
        self.targets.set_remote_loads(&view.loads);
        for (service, allowance) in &mut self.allowances {
            allowance.set_peer_counts(view.counted(name_hash(service)), view.reporting, view.hosts);
        }
    }

    /// What engines reported of their pace, from who speaks for others: these hear only their speakers.
    fn paces(&self) -> Vec<PaceReport> {
        if !self.peers.speaking() {
            return Vec::new();
        }
        self.targets.pace_reports(PACES_TOLD, self.now)
    }

    fn counts(&mut self) -> Vec<ServiceCounts> {
        let now = self.now;
        let note = |(service, allowance): (&ServiceId, &mut RetryBudget)| {
            let counted = allowance.counts(now);
            let (requests, repeats) = (counted.requests, counted.retries);
            ServiceCounts { service: name_hash(service), requests, repeats }
        };
        self.allowances.iter_mut().map(note).collect()
    }

    /// Tells the own data centre, or all hosts, at once.
    pub(super) fn beat_now(&mut self, all: bool) {
        self.peers.make_due(all);
        self.beat();
    }

    /// Tells all hosts before this turn of the loop is over, or as soon as such news may be told again.
    pub(super) fn tell_soon(&mut self) {
        self.urgent = true;
    }

    /// Tells what does not wait.
    pub(super) fn tell_urgent(&mut self) {
        let late = |at| self.now.saturating_duration_since(at) >= MIN_URGENT_GAP;
        if self.urgent && self.told_urgent.is_none_or(late) {
            self.urgent = false;
            self.told_urgent = Some(self.now);
            self.beat_now(true);
        }
    }

    /// Sends the heartbeats that are due.
    pub(super) fn beat(&mut self) {
        let age = self.currency.age(self.now);
        let own = LocalState {
            leaving: self.stopping.is_some(),
            reading: !self.following.outage.is_down(),
            config: self.config_version(),
            config_proven: age.and_then(|age| self.now.checked_sub(age)),
            list: self.list_mark(),
            list_proven: self.following.outage.last_confirmed(),
            loads: self.targets.load_reports(),
            counts: self.counts(),
            holdings: self.holds(),
            paces: self.paces(),
            fatal: self.fatal.reports(self.now),
            limits: self.limit_notes(),
        };
        let due = self.peers.due(&own, self.now);
        self.judge_speaking();
        for (to, beat) in due {
            self.send_message(to, &Datagram::Beat(Box::new(beat)));
        }
    }

    /// Sends a datagram to another host.
    pub(super) fn send_message(&mut self, to: SocketAddr, message: &Datagram) {
        match frame::encode(message, MAX_DATAGRAM) {
            Ok(bytes) => self.net.send_datagram(to, &bytes),
            Err(err) => {
                let why = err.to_string();
                note!(self, DatagramSkipped, "to={to} why={why:?}");
            }
        }
    }

    /// Tells when this host begins, or ends, to speak for its data centre.
    fn judge_speaking(&mut self) {
        let speaks = self.peers.speaking();
        if speaks != self.speaking {
            self.speaking = speaks;
            let place = self.peers.rank_in_centre(self.now);
            let near = self.peers.near_alive(self.now);
            note!(self, SpeakingChanged, "speaks={speaks} place={place} near={near}");
        }
    }
}
