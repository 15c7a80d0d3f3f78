//! Bounds the memory that unfinished answers take.

use super::exchange::Exchange;
use super::{EntryHost, log_event};
use crate::slab::Key;
use roseshore_core::gateway::Fault;
use roseshore_core::gateway::failure::Blame;
use roseshore_core::gateway::memory::answers_limit;
use roseshore_core::prelude::*;

/// An unfinished answer.
struct Unfinished {
    exchange: Key,
    socket: Key,
    /// Memory that it takes.
    bytes: usize,
}

impl EntryHost {
    /// Gives up the largest unfinished answers while all of them take too much memory: one that
    /// never ends becomes the largest in the end.
    pub(super) fn bound_answers(&mut self) {
        let limit = answers_limit(self.settings.memory);
        while self.answers.used() > limit {
            let Some(largest) = self.largest_answer() else { return };
            self.give_up_answer(&largest, limit);
        }
    }

    fn largest_answer(&self) -> Option<Unfinished> {
        let exchanges = self.exchanges.keys().into_iter();
        let sends = exchanges.flat_map(|key| {
            let sends = self.exchanges.get(key).into_iter().flat_map(Exchange::open_sends);
            sends.map(move |send| Unfinished {
                exchange: key,
                socket: send.socket,
                bytes: send.body.charged(),
            })
        });
        sends.filter(|answer| answer.bytes > 0).max_by_key(|answer| answer.bytes)
    }

    fn give_up_answer(&mut self, answer: &Unfinished, limit: usize) {
        let (key, used) = (answer.exchange, self.answers.used());
        let Some(exchange) = self.exchanges.get_mut(key) else { return };
        let attempt = exchange.request_fields.attempt.clone();
        let place = exchange.standbys.iter().position(|send| send.socket == answer.socket);
        let standby = place.map(|place| exchange.standbys.remove(place));
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
