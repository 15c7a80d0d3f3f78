//! Bounds the memory that is held for others.
//!
//! What has to be given up, and how much of it, is decided in [`roseshore_core::gateway::memory`].

use super::exchange::Exchange;
use super::{EntryHost, Role, log_event};
use crate::slab::Key;
use roseshore_core::gateway::Fault;
use roseshore_core::gateway::failure::Blame;
use roseshore_core::gateway::memory::{Candidate, Holder, MemoryLimits, Relief, least_active};
use roseshore_core::prelude::*;

/// Time without progress after which a caller does not read its response.
const STALLED: Duration = Duration::from_secs(1);

/// Why a stream to such a caller ends.
const UNREAD: &str = "the caller does not read its response";

/// An unfinished answer.
struct Unfinished {
    exchange: Key,
    socket: Key,
    /// Memory that it takes.
    bytes: usize,
}

impl EntryHost {
    /// The limits of what is held for others.
    pub(super) fn memory_limits(&self) -> MemoryLimits {
        MemoryLimits::new(self.settings.memory)
    }

    /// Shows what is held, by kind of holder.
    pub(super) fn update_memory_gauges(&self) {
        for holder in Holder::ALL {
            metrics::gauge!("roseshore_memory_held_bytes", "holder" => holder.name())
                .set(self.net.account().used_by(holder) as f64);
        }
    }

    /// Gives up what exceeds the limits.
    pub(super) fn bound_memory(&mut self) {
        let limits = self.memory_limits();
        let account = self.net.account();
        if limits.reliefs(account).is_empty() && limits.total_excess(account).is_none() {
            return;
        }
        self.net.free_empty();
        let mut given_up = 0;
        for (relief, bytes) in limits.reliefs(self.net.account()) {
            given_up += self.give_up(relief, bytes);
        }
        for relief in Relief::ORDER {
            let Some(bytes) = limits.total_excess(self.net.account()) else { break };
            given_up += self.give_up(relief, bytes);
        }
        if given_up > 0 {
            let account = self.net.account();
            let held = Holder::ALL
                .map(|holder| format!("{}={}", holder.name(), account.used_by(holder)))
                .join(" ");
            log_event!(self, MemoryLow, "given_up={given_up} {held}");
        }
    }

    /// Gives up so many bytes, if there are as many; returns the number of requests, answers and
    /// connections that it ends.
    fn give_up(&mut self, relief: Relief, bytes: usize) -> usize {
        match relief {
            Relief::Receiving => {
                let chosen = least_active(self.incoming(), bytes);
                for key in &chosen {
                    self.refuse_incoming(*key);
                }
                chosen.len()
            }
            Relief::Stalled => {
                let stalled = self.now.checked_sub(STALLED);
                let mut unread = self.unread();
                unread.retain(|caller| stalled.is_some_and(|stalled| caller.active < stalled));
                self.close_unread(unread, bytes)
            }
            Relief::Unread => {
                let unread = self.unread();
                self.close_unread(unread, bytes)
            }
            Relief::Answers => self.give_up_answers(bytes),
        }
    }

    /// Callers whose requests are not complete, or that have sent the next one ahead.
    fn incoming(&mut self) -> Vec<Candidate<Key>> {
        let callers = self.roles.iter().filter_map(|(key, role)| match role {
            Role::Caller(caller) => Some((*key, caller.partial_bytes()?)),
            _ => None,
        });
        let callers: Vec<(Key, usize)> = callers.collect();
        let incoming = callers.into_iter().filter_map(|(key, partial)| {
            let socket = self.net.get(key)?;
            let bytes = partial + socket.input.charged();
            (bytes > 0).then_some(Candidate { key, bytes, active: socket.last_read() })
        });
        incoming.collect()
    }

    /// Callers that have not read all that was sent.
    fn unread(&mut self) -> Vec<Candidate<Key>> {
        let callers = self.roles.iter().filter(|(_, role)| matches!(role, Role::Caller(_)));
        let callers: Vec<Key> = callers.map(|(key, _)| *key).collect();
        let unread = callers.into_iter().filter_map(|key| {
            let socket = self.net.get(key).filter(|socket| !socket.flushed())?;
            Some(Candidate { key, bytes: socket.output_charged(), active: socket.last_write() })
        });
        unread.collect()
    }

    fn close_unread(&mut self, unread: Vec<Candidate<Key>>, bytes: usize) -> usize {
        let chosen = least_active(unread, bytes);
        for key in &chosen {
            if let Some(Role::Caller(caller)) = self.roles.get(key)
                && let Some(exchange) = caller.exchange()
            {
                self.record_cut(exchange, Code::MemoryFull, UNREAD);
                self.close_exchange(exchange, Code::MemoryFull.number(), UNREAD);
            }
            self.close_caller(*key, "unread");
        }
        chosen.len()
    }

    /// Gives up the largest unfinished answers, together so many bytes.
    fn give_up_answers(&mut self, bytes: usize) -> usize {
        let (mut freed, mut count) = (0, 0);
        while freed < bytes {
            let Some(largest) = self.largest_answer() else { break };
            freed += largest.bytes;
            count += 1;
            self.give_up_answer(&largest);
        }
        count
    }

    fn largest_answer(&self) -> Option<Unfinished> {
        let exchanges = self.exchanges.keys().into_iter();
        let sends = exchanges.flat_map(|key| {
            let sends = self.exchanges.get(key).into_iter().flat_map(Exchange::open_sends);
            sends.map(move |send| Unfinished {
                exchange: key,
                socket: send.socket,
                bytes: send.body.charged() + send.events.charged(),
            })
        });
        sends.filter(|answer| answer.bytes > 0).max_by_key(|answer| answer.bytes)
    }

    fn give_up_answer(&mut self, answer: &Unfinished) {
        let (key, used) = (answer.exchange, self.net.account().used_by(Holder::Answers));
        let Some(exchange) = self.exchanges.get_mut(key) else { return };
        let attempt = exchange.request_fields.attempt.clone();
        let place = exchange.standbys.iter().position(|send| send.socket == answer.socket);
        let standby = place.map(|place| exchange.standbys.remove(place));
        let limit = self.memory_limits().answers();
        log_event!(
            self,
            AnswerGivenUp,
            "request={attempt} bytes={} used={used} limit={limit}",
            answer.bytes
        );
        match standby {
            Some(send) => {
                self.record_fault(&send.target, Blame::Failed, Fault::Garbled);
                self.release_send(send, false);
            }
            None => self.send_failed(key, Fault::Garbled, None),
        }
    }
}
