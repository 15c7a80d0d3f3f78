//! Copies of what other hosts have read of the store: asked for, and given.

use super::{EntryHost, Role, Timer, note};
use crate::slab::Key;
use roseshore_core::gateway::copies::{COPY_TIMEOUT, CopyOutcome, CopyRequest, Extent, StoreCopy};
use roseshore_core::prelude::*;
use roseshore_wire::frame;
use std::net::SocketAddr;

impl EntryHost {
    /// Asks a host for what it has read beyond this one; whether it was asked.
    pub(super) fn ask_copy(&mut self, from: SocketAddr) -> bool {
        let Some(own) = self.settings.peer_addr else { return false };
        let Some(until) = self.copies.start(self.now) else { return false };
        let request = CopyRequest { from: own, known: self.extent() };
        let mut bytes = Vec::new();
        let asked = frame::write(&mut bytes, &request).map_err(|err| err.to_string());
        let socket = asked.and_then(|()| self.net.connect(from).map_err(|err| err.to_string()));
        match socket {
            Ok(socket) => {
                self.roles.insert(socket, Role::CopySource(from, 0));
                self.net.send(socket, &bytes);
                self.arm(until, Timer::Copy(socket));
                true
            }
            Err(why) => {
                self.copies.finish(CopyOutcome::Failed, self.now);
                note!(self, CopyFailed, "host={from} why={why:?}");
                false
            }
        }
    }

    /// The host that was asked said something, or its connection ended.
    pub(super) fn pump_source(&mut self, key: Key) {
        let Some(socket) = self.net.get(key) else { return };
        let ended = socket.ended.is_some();
        match frame::take::<StoreCopy>(&mut socket.input) {
            Ok(Some(copy)) => {
                self.close(key);
                self.copy_came(copy);
            }
            Ok(None) if !ended => {}
            Ok(None) => self.copy_failed(key, "the connection ended"),
            Err(err) => self.copy_failed(key, &err.to_string()),
        }
    }

    /// The time for the next bytes of a copy, or for a host to say what it asks for, is over.
    pub(super) fn copy_timed_out(&mut self, key: Key) {
        let came = self.net.get(key).map_or(0, |socket| socket.input.len());
        match self.roles.get_mut(&key) {
            Some(Role::CopyAsker) => self.close(key),
            Some(Role::CopySource(_, known)) if came > *known => {
                // A large copy over a narrow link: 600 kB take 0.25 s where nothing else is sent.
                *known = came;
                self.arm(self.now + COPY_TIMEOUT, Timer::Copy(key));
            }
            _ => self.copy_failed(key, "no answer in time"),
        }
    }

    /// A copy did not come: the store is read.
    fn copy_failed(&mut self, key: Key, why: &str) {
        let Some(Role::CopySource(from, _)) = self.roles.get(&key) else { return };
        let from = *from;
        self.close(key);
        self.copies.finish(CopyOutcome::Failed, self.now);
        note!(self, CopyFailed, "host={from} why={why:?}");
        self.read_now();
    }

    fn copy_came(&mut self, copy: StoreCopy) {
        if !copy.is_empty() {
            self.copies.finish(CopyOutcome::Received, self.now);
            return self.take_copy(copy);
        }
        let Some(other) = copy.instead else {
            return self.copies.finish(CopyOutcome::Refused, self.now);
        };
        self.copies.finish(CopyOutcome::Redirected, self.now);
        self.ask_copy(other);
    }

    /// How much of the store is known here.
    fn extent(&self) -> Extent {
        Extent { config: self.config_version(), list: self.following.list_known() }
    }

    fn take_copy(&mut self, copy: StoreCopy) {
        if let Some(config) = copy.config {
            self.take_config(config);
        }
        if let Some(list) = copy.list {
            self.list_copied(list);
            // Those that were turned away ask here next.
            self.beat_now(false);
        }
        if self.peers.newest_config(self.now) > self.config_version() {
            self.read_config_now();
        }
        self.judge_ready();
    }

    /// A host asks for a copy.
    pub(super) fn pump_asker(&mut self, key: Key) {
        let Some(socket) = self.net.get(key) else {
            // It was closed when its last bytes had left.
            self.roles.remove(&key);
            return;
        };
        let ended = socket.ended.is_some();
        let request = match frame::take::<CopyRequest>(&mut socket.input) {
            Ok(Some(request)) => request,
            Ok(None) if !ended => return,
            Ok(None) => return self.close(key),
            Err(err) => {
                let why = err.to_string();
                note!(self, DatagramSkipped, "door=copies why={why:?}");
                return self.close(key);
            }
        };
        let extent = self.extent();
        let CopyRequest { from, known } = request;
        let newer = extent.config > known.config;
        let further = self.following.list_next().is_some_and(|next| next > known.list);
        let copy = StoreCopy {
            config: newer.then(|| self.following.config_bytes.clone()),
            list: further.then(|| self.list_copy(known.list)).flatten(),
            instead: None,
        };
        let mut bytes = Vec::new();
        let mut written = frame::write(&mut bytes, &copy);
        if written.is_ok() && !copy.is_empty() {
            if self.copies.take_budget(bytes.len(), self.now) {
                self.copies.record_recipient(from, extent);
            } else {
                let instead = self.copies.redirect(extent, from);
                bytes.clear();
                written = frame::write(&mut bytes, &StoreCopy { instead, ..StoreCopy::default() });
            }
        }
        if let Err(err) = written {
            let why = err.to_string();
            note!(self, CopyFailed, "asker=true why={why:?}");
            return self.close(key);
        }
        self.net.send(key, &bytes);
        self.finish_socket(key);
    }
}
