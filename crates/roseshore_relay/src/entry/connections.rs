//! Closes connections that keep others from being taken.

use super::{EntryHost, Role, log_event};
use crate::net::Endpoint;
use crate::slab::Key;
use roseshore_core::gateway::connections::ConnectionLimits;
use roseshore_core::gateway::memory::{Candidate, least_active};
use roseshore_core::prelude::*;

impl EntryHost {
    pub(super) fn connection_limits(&self) -> ConnectionLimits {
        ConnectionLimits::new(self.net.connections().1)
    }

    /// Closes callers for a new one if there are too many connections. Returns whether there is room
    /// for it.
    pub(super) fn make_room_for_caller(&mut self) -> bool {
        let limits = self.connection_limits();
        if self.net.connections().0 <= limits.with_callers() {
            return true;
        }
        // All callers are looked at, which is done once for those that connect at the same time.
        if self.no_room_at == Some(self.now) {
            return false;
        }
        let (mut fresh, mut kept) = (Vec::new(), Vec::new());
        let keys: Vec<Key> = self.roles.keys().copied().collect();
        for key in keys {
            match self.replaceable(key) {
                Some((true, caller)) => fresh.push(caller),
                Some((false, caller)) => kept.push(caller),
                None => {}
            }
        }
        for key in limits.closed(fresh, kept) {
            // A request that has come since the last poll is served.
            self.net.read_arrived(key);
            self.handle_caller(key);
            if self.replaceable(key).is_some() {
                self.close_caller(key, "connections_full");
                self.replaced += 1;
            }
        }
        let has_room = self.net.connections().0 <= limits.with_callers();
        self.no_room_at = (!has_room).then_some(self.now);
        has_room
    }

    /// A caller without a request in progress whose connection may be closed for a new caller, and
    /// whether it never sent a whole request.
    fn replaceable(&mut self, key: Key) -> Option<(bool, Candidate<Key>)> {
        let Some(Role::Caller(caller)) = self.roles.get(&key) else { return None };
        let fresh = caller.is_replaceable()?;
        let socket = self.net.get(key).filter(|socket| fresh || socket.flushed())?;
        let active = socket.last_read().max(socket.last_write());
        Some((fresh, Candidate { key, bytes: 0, active }))
    }

    /// Closes the probes that have done nothing for longest, if there are too many of their kind.
    pub(super) fn make_room_for_probe(&mut self, endpoint: Endpoint, new: Key) {
        let limits = self.connection_limits();
        if self.net.accepted(endpoint) <= limits.probes() {
            return;
        }
        let is_same = |role: &Role| match endpoint {
            Endpoint::Probes => matches!(role, Role::Probe),
            _ => matches!(role, Role::Metrics),
        };
        let same = self.roles.iter().filter(|(key, role)| **key != new && is_same(role));
        let same: Vec<Key> = same.map(|(key, _)| *key).collect();
        let candidates = same.into_iter().filter_map(|key| {
            let active = self.net.get(key)?.last_read();
            Some(Candidate { key, bytes: 1, active })
        });
        for key in least_active(candidates.collect(), limits.probes_closed()) {
            self.close(key);
            self.replaced += 1;
        }
    }

    /// Logs how many connections were closed, or not taken, since the last tick.
    pub(super) fn log_connections_full(&mut self) {
        let (closed, refused) = (std::mem::take(&mut self.replaced), self.net.take_refused());
        metrics::counter!("roseshore_connections_refused_total").increment(refused as u64);
        if closed + refused > 0 {
            let (open, max) = self.net.connections();
            log_event!(
                self,
                ConnectionsFull,
                "closed={closed} refused={refused} connections={open} max={max}"
            );
        }
    }
}
