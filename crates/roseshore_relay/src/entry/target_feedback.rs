//! Takes what targets say of themselves, in whatever answer it comes.
//!
//! Each answer of a target passes here first: to a request, to one whose caller got another answer, to a
//! report or an order. What follows is decided in [`Targets`](roseshore_core::gateway::Targets).

use super::{EntryHost, note};
use crate::slab::Key;
use roseshore_core::gateway::peers::TargetHash;
use roseshore_core::prelude::*;
use roseshore_ports::entry::{Answered, CallReply};
use std::net::SocketAddr;

/// The statuses by which a target turns a request away for a time that it names.
const TURNED_AWAY: [u16; 2] = [429, 503];
/// The status by which another target than the one meant answers.
pub(super) const MISDIRECTED: u16 = 421;

impl EntryHost {
    /// Takes what a target says beside its answer to a request.
    pub(super) fn heed_answer(&mut self, key: Key, status: u16, said: &Answered) {
        if status == MISDIRECTED && said.faulty.is_none() {
            // Whoever it is that answers there, it is not the target that was meant.
            return;
        }
        let Some(exchange) = self.exchanges.get(key) else { return };
        let Some(send) = &exchange.send else { return };
        let by = format!("request={}", exchange.asked.attempt);
        let life = |id: &TargetId| send.lives.iter().find(|(known, _)| known == id).cloned();
        let first = life(&send.target);
        let faulty = said.faulty.and_then(|addr| send.at(addr)).and_then(|(id, _)| life(id));
        let later = faulty.filter(|faulty| Some(faulty) != first.as_ref());
        // An answer to an earlier request tells nothing of when its own was sent.
        let own = said.attempt.as_ref().is_none_or(|attempt| *attempt == exchange.asked.attempt);
        let asked = Some(send.sent).filter(|_| own);
        if let Some((id, mark)) = first {
            self.heed(&id, mark, status, said, &by);
            self.heed_limit(&id, mark, said.limit, asked, &by);
        }
        if let Some((id, mark)) = later {
            // The first target tells what a later one of the path wants; it leaves itself, if anyone.
            let rest = Answered { rest: said.rest, ..Answered::default() };
            self.heed(&id, mark, status, &rest, &by);
        }
    }

    /// Takes what a target says beside its answer to a call.
    pub(super) fn heed_reply(&mut self, id: &TargetId, reply: &CallReply) {
        let said = self.platform.answered(&reply.fields);
        if let Some(mark) = self.targets.hash(id).filter(|_| reply.status != MISDIRECTED) {
            self.heed(id, mark, reply.status, &said, "call");
            // Whether such an answer would name a limit is not known: without one it shows nothing.
            self.heed_limit(id, mark, said.limit, None, "call");
        }
    }

    fn heed(&mut self, id: &str, mark: TargetHash, status: u16, said: &Answered, by: &str) {
        let now = self.now;
        if said.leaving && self.targets.mark_leaving(mark, now) {
            note!(self, TargetLeft, "target={id} state=leaving by=answer {by}");
        }
        let Some(rest) = said.rest.filter(|_| TURNED_AWAY.contains(&status)) else { return };
        if let Some(given) = self.targets.pause(mark, rest, now) {
            let (asked, given) = (rest.as_millis(), given.as_millis());
            let text = format!("target={id} status={status} rest_ms={given} asked_ms={asked} {by}");
            note!(self, TargetRests, "{text}");
        }
    }

    /// Where a target may be called now, if it takes anything from this host.
    pub(super) fn callable(&self, id: &str) -> Option<SocketAddr> {
        let target = self.targets.get(id).filter(|t| t.accepts_work(self.now));
        target.map(|t| t.record.addr)
    }
}
