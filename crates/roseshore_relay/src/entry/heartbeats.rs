//! Heartbeats between hosts: loads, failures, and how far each host has read the store.

use super::fatal::BY_PEER;
use super::{EntryHost, log_event};
use rand::RngExt;
use roseshore_core::gateway::RetryBudget;
use roseshore_core::gateway::fatal::MIN_URGENT_GAP;
use roseshore_core::gateway::paces::{EnginePace, PaceReport};
use roseshore_core::gateway::peers::{Datagram, Heartbeat, LocalState, ServiceCounts, name_hash};
use roseshore_core::gateway::quota::retry_budget::counted_time;
use roseshore_core::gateway::targets::ReportChanges;
use roseshore_core::prelude::*;
use roseshore_wire::frame::{self, MAX_DATAGRAM};
use std::net::SocketAddr;

/// Shortest interval between aggregations of the other hosts' heartbeats. A speaker among sixty
/// hosts receives three hundred heartbeats per second, and a single one hardly changes the sum that
/// a choice of target depends on.
const VIEW_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of paces in a heartbeat; more do not fit a datagram with the other contents.
const MAX_PACE_REPORTS: usize = 12;

impl EntryHost {
    /// Handles received datagrams.
    pub(super) fn receive_datagrams(&mut self) {
        let mut joined = false;
        while let Some((from, bytes)) = self.net.receive_datagram() {
            match frame::decode(bytes) {
                Ok(Datagram::Beat(heartbeat)) => joined |= self.apply_heartbeat(from, *heartbeat),
                Ok(Datagram::Ask(request)) => self.answer_permit_request(from, &request),
                Ok(Datagram::Grant(grant)) => self.apply_grant(&grant),
                Ok(Datagram::AskRetries(request)) => self.answer_loan_request(from, &request),
                Ok(Datagram::LendRetries(loan)) => self.apply_loan(&loan),
                Ok(Datagram::AskReach(query)) => self.answer_reach_query(from, &query),
                Ok(Datagram::Reached(reply)) => self.apply_reach_reply(from, &reply),
                Err(err) => {
                    let why = err.to_string();
                    log_event!(self, DatagramSkipped, "from={from} why={why:?}");
                }
            }
        }
        if joined {
            // A new host gets the state of this one at once.
            self.fatal.repeat_blocked(self.now);
            self.send_heartbeats();
        }
        self.aggregate_peers();
    }

    /// Applies a heartbeat; returns whether its sender has just joined.
    fn apply_heartbeat(&mut self, from: SocketAddr, mut heartbeat: Heartbeat) -> bool {
        let (now, config, list) = (self.now, heartbeat.config, heartbeat.list);
        let holdings = std::mem::take(&mut heartbeat.holds);
        let paces = std::mem::take(&mut heartbeat.paces);
        let fatal = std::mem::take(&mut heartbeat.fatal);
        let limits = heartbeat.limits.clone();
        let Some(heard) = self.peers.receive(from, heartbeat, now) else { return false };
        if heard.joined {
            log_event!(self, HostJoined, "host={from} near={} config_version={config}", heard.near);
        }
        for holding in holdings {
            self.apply_holding_report(holding);
        }
        for report in paces {
            if let Some(pace) = EnginePace::from_report(&report, now) {
                self.targets.record_pace(report.target, pace);
            }
        }
        for report in &fatal {
            self.apply_fatal_report(report, BY_PEER);
        }
        self.apply_limit_reports(from, &limits);
        let known = self.config_version();
        if let Some(proven) = heard.config_proven.filter(|_| config == known && known > 0) {
            self.config_lease.renew(proven);
        }
        if config > known && !self.request_copy(from) && !self.copy_expected() && self.may_read() {
            self.read_config_now();
        }
        self.compare_list(from, list, heard.list_proven);
        heard.joined
    }

    /// Whether a copy of a newer configuration is expected soon, and the wait has not been too
    /// long.
    fn copy_expected(&self) -> bool {
        let most = self.store_sync.policy.copy_wait(self.peers.read_rank(self.now));
        let overdue = |since| self.now.saturating_duration_since(since) >= most;
        self.copies.expected(self.now) && !self.newer_configs.outdated_since().is_some_and(overdue)
    }

    /// Aggregates the loads that other hosts reported.
    fn aggregate_peers(&mut self) {
        let now = self.now;
        if self.peers_viewed.is_some_and(|at| now.saturating_duration_since(at) < VIEW_INTERVAL) {
            return;
        }
        self.peers_viewed = Some(now);
        let view = self.peers.view(now);
        let changes = self.targets.set_remote_loads(&view.loads, now);
        self.log_reports(&changes);
        self.room_changed();
        if !changes.down.is_empty() {
            self.recheck_doubtful();
        }
    }

    /// Logs what other hosts report about targets where it has changed.
    fn log_reports(&mut self, changes: &ReportChanges) {
        for (down, ids) in [(true, &changes.down), (false, &changes.back)] {
            if ids.is_empty() {
                continue;
            }
            let hashes: Vec<_> = ids.iter().filter_map(|id| self.targets.hash(id)).collect();
            let by = self.peers.reporting_down(&hashes, self.now);
            let by: Vec<String> = by.iter().map(SocketAddr::to_string).collect();
            let (count, by) = (ids.len(), by.join(","));
            log_event!(
                self,
                TargetsReported,
                "down={down} count={count} by={by} targets={}",
                ids.join(",")
            );
        }
    }

    /// The paces of engines to report to other hosts. Only speakers report them, since the other
    /// hosts of a data centre hear only their speakers.
    fn pace_reports(&mut self) -> Vec<PaceReport> {
        if !self.peers.speaking() {
            return Vec::new();
        }
        self.targets.pace_reports(MAX_PACE_REPORTS, self.rng.random::<u32>() as usize, self.now)
    }

    /// The requests of each service that this host has counted.
    fn service_counts(&mut self) -> Vec<ServiceCounts> {
        let now = self.now;
        let report = |(service, budget): (&ServiceId, &mut RetryBudget)| ServiceCounts {
            service: name_hash(service),
            requests: budget.requests(now),
        };
        self.retry_budgets.iter_mut().map(report).collect()
    }

    /// Updates which retries this host may lend.
    pub(super) fn update_retry_pools(&mut self) {
        let counted = counted_time(self.settings.bounds.retry_window);
        self.peers.update_lending(counted, self.now);
        for (service, budget) in &mut self.retry_budgets {
            let pool = self.peers.retry_pool(name_hash(service), self.now);
            budget.set_pool(self.peers.sharing_hosts(self.now), pool, self.now);
            metrics::gauge!("roseshore_retry_allowance", "service" => service.clone())
                .set(budget.usage(self.now).allowed());
        }
    }

    /// Sends heartbeats now, to the hosts of this data centre or, with `all`, to all hosts.
    pub(super) fn heartbeat_now(&mut self, all: bool) {
        self.peers.make_due(all);
        self.send_heartbeats();
    }

    /// Requests an urgent heartbeat to all hosts: at the end of this iteration of the event loop,
    /// or as soon as the interval between urgent heartbeats allows.
    pub(super) fn heartbeat_soon(&mut self) {
        self.urgent_pending = true;
    }

    /// Sends a pending urgent heartbeat if it is due.
    pub(super) fn send_urgent(&mut self) {
        let overdue = |at| self.now.saturating_duration_since(at) >= MIN_URGENT_GAP;
        if self.urgent_pending && self.urgent_sent.is_none_or(overdue) {
            self.urgent_pending = false;
            self.urgent_sent = Some(self.now);
            self.heartbeat_now(true);
        }
    }

    /// Sends the heartbeats that are due.
    pub(super) fn send_heartbeats(&mut self) {
        let age = self.config_lease.age(self.now);
        let own = LocalState {
            leaving: self.stopping_since.is_some(),
            reading: !self.store_sync.outage.is_down(),
            config: self.config_version(),
            config_proven: age.and_then(|age| self.now.checked_sub(age)),
            list: self.list_version(),
            list_proven: self.store_sync.outage.last_confirmed(),
            loads: self.targets.load_reports(),
            home: self.targets.in_data_centre(&self.settings.data_centre),
            refuted: self.targets.refuted(),
            counts: self.service_counts(),
            holdings: self.holding_reports(),
            paces: self.pace_reports(),
            fatal: self.fatal.reports(self.now),
            limits: self.limit_reports(),
            demand: self.demand.meter.reports(self.now),
        };
        let due = self.peers.due(&own, self.now);
        self.log_speaking();
        for (to, heartbeat) in due {
            self.send_message(to, &Datagram::Beat(Box::new(heartbeat)));
        }
    }

    /// Sends a datagram to another host.
    pub(super) fn send_message(&mut self, to: SocketAddr, message: &Datagram) {
        match frame::encode(message, MAX_DATAGRAM) {
            Ok(bytes) => self.net.send_datagram(to, &bytes),
            Err(err) => {
                let why = err.to_string();
                log_event!(self, DatagramSkipped, "to={to} why={why:?}");
            }
        }
    }

    /// Logs when this host becomes a speaker of its data centre, or stops being one.
    fn log_speaking(&mut self) {
        let speaks = self.peers.speaking();
        if speaks != self.was_speaking {
            self.was_speaking = speaks;
            let rank = self.peers.rank_in_centre(self.now);
            let near = self.peers.near_alive(self.now);
            log_event!(self, SpeakingChanged, "speaks={speaks} place={rank} near={near}");
        }
    }
}
