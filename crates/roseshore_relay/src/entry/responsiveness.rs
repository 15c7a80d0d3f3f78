//! Sends requests again only over engines that respond.
//!
//! When a whole service is stopped for a moment, another path is as silent as the present one, and
//! what fails elsewhere meanwhile meets stopped engines as well. A request that is sent again there
//! uses up a retry, arrives when the engines go on, and is then given time that its caller no longer
//! has. So the engines of the path of a retry have to have sent something since it was decided, or, if
//! the request was only refused, shortly before. Those that have not are asked for a report.

use super::calls::Purpose;
use super::choice::Choice;
use super::exchange::Exchange;
use super::in_flight::InFlightSend;
use super::pace_polling::REPORT_TIMEOUT;
use super::{EntryHost, Timer, log_event};
use crate::slab::Key;
use roseshore_core::gateway::targets::ResponseWait;
use roseshore_core::prelude::*;

/// Interval at which a request whose next path does not respond is looked at again.
const RESPONSE_POLL_INTERVAL: Duration = Duration::from_millis(50);

impl EntryHost {
    /// Whether a request that is to be sent again waits for the engines of a choice to respond.
    pub(super) fn awaits_response(&mut self, key: Key, choice: &Choice) -> bool {
        let again = self.exchanges.get(key).is_some_and(Exchange::is_repeated);
        if !again {
            return false;
        }
        if self.responds(key, choice) {
            // If it has to wait for a permit or a loan now, the engines have to respond anew.
            if let Some(exchange) = self.exchanges.get_mut(key) {
                exchange.response_wait = None;
            }
            return false;
        }
        self.set_timer(self.now + RESPONSE_POLL_INTERVAL, Timer::Exchange(key));
        true
    }

    /// Whether all engines of a choice show that they work; true for a plain service. Asks those that
    /// do not for a report; the request is looked at again when one of them replies.
    pub(super) fn responds(&mut self, key: Key, choice: &Choice) -> bool {
        let now = self.now;
        let path: Vec<TargetId> = choice.path.iter().map(|(id, ..)| id.clone()).collect();
        let Some(exchange) = self.exchanges.get_mut(key) else { return false };
        let may_have_run = exchange.verdict != Verdict::NotRun;
        let since = may_have_run.then(|| *exchange.response_wait.get_or_insert(now));
        let wait = ResponseWait { since, silent_since: exchange.silent_since() };
        let unresponsive = self.targets.unresponsive(&path, wait, now);
        if unresponsive.is_empty() {
            return true;
        }
        self.log_held_move(key, || {
            format!("path={} unresponsive={}", path.join(","), unresponsive.join(","))
        });
        let open = |waiting: &Key| *waiting != key && self.exchanges.get(*waiting).is_some();
        self.pace_polling.awaited_by.retain(open);
        self.pace_polling.awaited_by.push(key);
        for id in unresponsive {
            if let Some(addr) =
                self.call_address(&id).filter(|_| self.targets.record_ask(&id, wait, now))
            {
                let request = self.platform.report();
                self.call(Purpose::Pace(id), addr, &request, REPORT_TIMEOUT);
            }
        }
        false
    }

    /// Whether the target of the send in flight may not have read it yet.
    pub(super) fn is_unread(&self, key: Key) -> bool {
        let send = self.exchanges.get(key).and_then(|exchange| exchange.send.as_ref());
        let copy = send.and_then(InFlightSend::pending_copy);
        copy.is_some_and(|copy| !self.targets.has_read(&copy))
    }

    /// Whether a silent request may be sent elsewhere, as far as its target has read it or few copies
    /// of others were left behind unread.
    pub(super) fn may_leave_copy(&mut self, key: Key) -> bool {
        let hosts = self.peers.known_hosts(self.now);
        let may_leave = !self.is_unread(key) || self.moves.may_leave_unread(hosts);
        if !may_leave {
            self.log_held_move(key, || "path=- unread=true".to_owned());
        }
        may_leave
    }

    /// Logs and counts, once for each request, that it is not sent elsewhere yet.
    fn log_held_move(&mut self, key: Key, why: impl FnOnce() -> String) {
        let Some(exchange) = self.exchanges.get_mut(key) else { return };
        if std::mem::replace(&mut exchange.move_held, true) {
            return;
        }
        let attempt = exchange.request_fields.attempt.clone();
        metrics::counter!("roseshore_moves_held_total").increment(1);
        log_event!(self, MoveHeld, "request={attempt} {}", why());
    }

    /// Records that a target replied to a call, and looks at the requests that wait for that.
    pub(super) fn call_answered(&mut self, id: &str) {
        let now = self.now;
        self.targets.record_response(id, now);
        for key in std::mem::take(&mut self.pace_polling.awaited_by) {
            self.set_timer(now, Timer::Exchange(key));
        }
    }
}
