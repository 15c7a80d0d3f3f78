//! Exchanges copies of store data between hosts, so that not every host reads the store.

use super::probes::proof_age;
use super::{EntryHost, Role, Timer, log_event};
use crate::slab::Key;
use roseshore_core::gateway::copies::{
    COPY_TIMEOUT, ConfigCopy, Contents, CopyOutcome, CopyRequest, Extent, StoreCopy,
};
use roseshore_core::gateway::peers::PeerRequest;
use roseshore_core::prelude::*;
use roseshore_wire::frame;
use std::net::SocketAddr;

/// Maximum bytes of a request for a copy or a tunnel.
const MAX_REQUEST: usize = 4 << 10;

impl EntryHost {
    /// Requests the store data that another host has and this one lacks. Returns whether the
    /// request was sent.
    pub(super) fn request_copy(&mut self, from: SocketAddr) -> bool {
        let Some(own) = self.settings.peer_addr else { return false };
        let Some(until) = self.copies.start(self.now) else { return false };
        let request = PeerRequest::Copy(CopyRequest { from: own, known: self.extent() });
        let mut bytes = Vec::new();
        let asked = frame::write(&mut bytes, &request).map_err(|err| err.to_string());
        let socket = asked.and_then(|()| self.net.connect(from).map_err(|err| err.to_string()));
        match socket {
            Ok(socket) => {
                self.roles.insert(socket, Role::CopySource(from, 0));
                // A copy is decoded once it is whole.
                if let Some(copy) = self.net.get(socket) {
                    copy.set_max_input(2 * frame::MAX_FRAME);
                }
                self.net.send(socket, &bytes);
                self.set_timer(until, Timer::Copy(socket));
                true
            }
            Err(why) => {
                self.copies.finish(CopyOutcome::Failed, self.now);
                log_event!(self, CopyFailed, "host={from} why={why:?}");
                false
            }
        }
    }

    /// Handles input of the host that was asked for a copy, or the end of its connection.
    pub(super) fn handle_copy_reply(&mut self, key: Key) {
        let Some(socket) = self.net.get(key) else { return };
        self.liveness.link.record_transfer(socket.input.len(), self.now);
        let ended = socket.ended.is_some();
        match socket.input.edit(frame::take::<StoreCopy>) {
            Ok(Some(copy)) => {
                self.close(key);
                self.copy_received(copy);
            }
            Ok(None) if !ended => {}
            Ok(None) => self.copy_failed(key, "the connection ended before the copy was complete"),
            Err(err) => self.copy_failed(key, &err.to_string()),
        }
    }

    /// Handles a time-out while waiting for the next bytes of a copy, or for a host's request for
    /// one.
    pub(super) fn copy_timed_out(&mut self, key: Key) {
        let received = self.net.get(key).map_or(0, |socket| socket.input.len());
        match self.roles.get_mut(&key) {
            Some(Role::PeerRequester) => self.close(key),
            Some(Role::CopySource(_, known)) if received > *known => {
                // The copy is still arriving: 600 kB take 0.25 s on a narrow link without other
                // traffic.
                *known = received;
                self.set_timer(self.now + COPY_TIMEOUT, Timer::Copy(key));
            }
            _ => self.copy_failed(key, "no further data before the time-out"),
        }
    }

    /// Reads the store, as a copy could not be received.
    fn copy_failed(&mut self, key: Key, why: &str) {
        let Some(Role::CopySource(from, _)) = self.roles.get(&key) else { return };
        let from = *from;
        self.close(key);
        self.copies.finish(CopyOutcome::Failed, self.now);
        log_event!(self, CopyFailed, "host={from} why={why:?}");
        self.read_streams_now();
    }

    /// Applies a copy, or asks the host that was named instead.
    fn copy_received(&mut self, copy: StoreCopy) {
        if !copy.is_empty() {
            self.copies.finish(CopyOutcome::Received, self.now);
            return self.apply_copy(copy);
        }
        let Some(other) = copy.instead else {
            return self.copies.finish(CopyOutcome::Refused, self.now);
        };
        self.copies.finish(CopyOutcome::Redirected, self.now);
        self.request_copy(other);
    }

    /// What this host knows of the store.
    fn contents(&self) -> Contents {
        Contents { config: self.config_version(), digest: self.list_version().digest }
    }

    /// A copy of the configuration.
    fn config_copy(&self) -> ConfigCopy {
        ConfigCopy {
            bytes: self.store_sync.config_bytes.clone(),
            next: self.store_sync.config_position(),
            age: proof_age(self.config_lease.age(self.now)),
        }
    }

    /// How far this host knows the store.
    fn extent(&self) -> Extent {
        Extent { config: self.config_version(), list: self.store_sync.list_base() }
    }

    /// Applies the configuration and the list of targets of a copy.
    fn apply_copy(&mut self, copy: StoreCopy) {
        if let Some(config) = copy.config {
            self.apply_config_copy(config);
        }
        if let Some(list) = copy.list {
            self.apply_list_copy(list);
            // The heartbeat tells hosts that were turned away elsewhere that they can ask this one.
            self.heartbeat_now(false);
        }
        if self.peers.newest_config(self.now) > self.config_version() && self.may_read() {
            self.read_config_now();
        }
        self.update_readiness();
    }

    /// Applies the configuration of a copy.
    fn apply_config_copy(&mut self, copy: ConfigCopy) {
        let before = self.config_version();
        self.apply_config(copy.bytes);
        if self.config_version() == before {
            // It was not newer, or it cannot be read. Its proof is not one of the configuration in
            // force.
            return;
        }
        self.store_sync.set_config_position(copy.next);
        if let Some(proven) = self.copies.proven_at(copy.age) {
            self.confirm_config(proven);
        }
    }

    /// Handles the request of a host for a copy or a tunnel.
    pub(super) fn handle_peer_request(&mut self, key: Key) {
        let Some(socket) = self.net.get(key) else {
            // It was closed after its output had been written.
            self.roles.remove(&key);
            return;
        };
        self.liveness.link.record_transfer(socket.unwritten(), self.now);
        let ended = socket.ended.is_some();
        match socket.input.edit(|input| frame::take_short::<PeerRequest>(input, MAX_REQUEST)) {
            Ok(Some(PeerRequest::Copy(request))) => self.send_copy(key, request),
            Ok(Some(PeerRequest::Tunnel(request))) => self.accept_tunnel(key, request),
            Ok(None) if !ended => {}
            Ok(None) => self.close(key),
            Err(err) => {
                let why = err.to_string();
                log_event!(self, DatagramSkipped, "door=copies why={why:?}");
                self.close(key);
            }
        }
    }

    /// Sends a host what it lacks of the store data.
    fn send_copy(&mut self, key: Key, request: CopyRequest) {
        let extent = self.extent();
        let CopyRequest { from, known } = request;
        let newer = extent.config > known.config;
        let further = self.store_sync.list_position().is_some_and(|next| next > known.list);
        let copy = StoreCopy {
            config: newer.then(|| self.config_copy()),
            list: further.then(|| self.list_copy(known.list)).flatten(),
            instead: None,
        };
        let mut bytes = Vec::new();
        let mut written = frame::write(&mut bytes, &copy);
        if written.is_ok() && !copy.is_empty() {
            if self.copies.take_budget(bytes.len(), self.now) {
                self.copies.record_recipient(from, self.contents());
            } else {
                let instead = self.copies.redirect(self.contents(), from);
                bytes.clear();
                written = frame::write(&mut bytes, &StoreCopy { instead, ..StoreCopy::default() });
            }
        }
        if let Err(err) = written {
            let why = err.to_string();
            log_event!(self, CopyFailed, "asker=true why={why:?}");
            return self.close(key);
        }
        self.net.send(key, &bytes);
        self.close_flushed(key);
    }
}
