//! Loans of retries between hosts, for sends that this host's part of the retry budget does not
//! allow.
//!
//! Decisions are in [`retry_budget`](roseshore_core::gateway::quota::retry_budget) and
//! [`retry_loans`](roseshore_core::gateway::quota::retry_loans). Here, sends wait for a loan, and this host
//! answers the requests of others.

use super::in_flight::InFlightSend;
use super::{EntryHost, Timer, log_event};
use crate::slab::Key;
use roseshore_core::gateway::peers::{Datagram, RetryLoan, RetryLoanRequest, name_hash};
use roseshore_core::gateway::progress;
use roseshore_core::gateway::quota::pending_retries::RepeatedRequest;
use roseshore_core::gateway::quota::retry_budget::{Borrower, RetryUsage};
use roseshore_core::prelude::*;
use std::net::SocketAddr;

/// Longest time that a send waits for a loan: some round trips between data centres.
const MAX_LOAN_WAIT: Duration = Duration::from_millis(100);
/// Interval at which a waiting send tries again, and asks the next lender.
const LOAN_POLL_INTERVAL: Duration = Duration::from_millis(10);

impl EntryHost {
    /// Whether the retry budget permits a send; a retry is charged to it. A send after one whose
    /// connection was never established is not a retry, since that one reached no target.
    pub(super) fn charge_retry(&mut self, key: Key) -> bool {
        let now = self.now;
        let Some(exchange) = self.exchanges.get(key).filter(|e| e.sends > 0) else {
            return true;
        };
        let charged = exchange.reached_target;
        let service = exchange.service.name.clone();
        if charged && !self.retry_budget(&service).try_retry(now) {
            return false;
        }
        if let Some(exchange) = self.exchanges.get_mut(key) {
            exchange.loan_wait = None;
        }
        metrics::counter!("roseshore_retries_total", "charged" => charged.to_string()).increment(1);
        let usage = self.usage_text(key);
        log_event!(self, RetryMade, "charged={charged} {usage}");
        true
    }

    /// Records that a request is sent again and charged for it, with the copies of it that may still
    /// arrive.
    pub(super) fn record_retry(&mut self, key: Key) {
        let Some(exchange) = self.exchanges.get(key) else { return };
        if exchange.sends < 2 || !exchange.reached_target {
            return;
        }
        let copies = exchange.open_sends().filter_map(InFlightSend::pending_copy).collect();
        let request = (key.to_number(), exchange.request_fields.attempt.as_str());
        self.pending_retries.record(request, &exchange.service.name, copies, self.now);
    }

    /// Counts the retries from now on that may still arrive, and logs those that were late.
    pub(super) fn postpone_retries(&mut self) {
        let now = self.now;
        let postponed = self.pending_retries.postpone(|copy| self.targets.has_read(copy), now);
        for (service, retry) in postponed {
            self.retry_budget(&service).postpone(retry, now);
        }
        for request in self.pending_retries.take_late() {
            let RepeatedRequest { attempt, service, retries, .. } = &request;
            let (count, delay) = (retries.len(), request.delay().as_millis());
            metrics::counter!("roseshore_retries_late_total").increment(count as u64);
            log_event!(
                self,
                RetriesLate,
                "request={attempt} service={service} retries={count} late_ms={delay}"
            );
        }
    }

    /// Whether the next send of a request still waits for a retry. Ends the request if the wait is
    /// over.
    pub(super) fn awaits_loan(&mut self, key: Key) -> bool {
        let now = self.now;
        let Some(exchange) = self.exchanges.get(key) else { return true };
        let Some(until) = exchange.loan_wait else { return false };
        let service = exchange.service.name.clone();
        if self.retry_budget(&service).has_retry(now) {
            return false;
        }
        if now < until {
            self.poll_for_loan(key, until);
        } else {
            metrics::counter!("roseshore_retries_denied_total").increment(1);
            self.retry_budget(&service).record_denial(now);
            let usage = self.usage_text(key);
            log_event!(self, RetryDenied, "{usage}");
            self.end_without(key, Code::RetryBudget, "no more sends may be repeated");
        }
        true
    }

    /// Whether the retry budget permits to repeat a request whose send is still in flight. If not,
    /// asks other hosts for a loan, while the request goes on waiting for its send.
    pub(super) fn may_repeat(&mut self, key: Key) -> bool {
        let now = self.now;
        let Some(exchange) = self.exchanges.get_mut(key) else { return false };
        let service = exchange.service.name.clone();
        let lapsed = exchange.loan_wait.is_some_and(|until| now >= until);
        if self.retry_budget(&service).has_retry(now) {
            return true;
        }
        if lapsed {
            self.retry_budget(&service).record_denial(now);
        }
        let Some(exchange) = self.exchanges.get_mut(key) else { return false };
        if lapsed || exchange.loan_wait.is_none() {
            exchange.loan_wait = Some(now + MAX_LOAN_WAIT);
        }
        self.loans_wanted = true;
        false
    }

    /// Whether a request that a full target refused may be sent again.
    pub(super) fn may_retry_full(&mut self, key: Key) -> bool {
        let now = self.now;
        let Some(exchange) = self.exchanges.get(key) else { return false };
        let (service, started) = (exchange.service.name.clone(), exchange.delivery.started);
        progress::may_retry_full(started, &self.retry_budget(&service).supply(now))
    }

    /// Makes a send wait for a loan of a retry; its request ends if that takes too long.
    pub(super) fn wait_for_loan(&mut self, key: Key) {
        let until = self.now + MAX_LOAN_WAIT;
        let Some(exchange) = self.exchanges.get_mut(key) else { return };
        let until = *exchange.loan_wait.get_or_insert(until);
        self.poll_for_loan(key, until);
    }

    /// Requests loans in this iteration of the event loop, and again when the timer fires.
    fn poll_for_loan(&mut self, key: Key, until: Instant) {
        self.loans_wanted = true;
        self.set_timer(until.min(self.now + LOAN_POLL_INTERVAL), Timer::Exchange(key));
    }

    /// The retry budget of a request's service, as text of a log line.
    fn usage_text(&mut self, key: Key) -> String {
        let now = self.now;
        let Some(exchange) = self.exchanges.get(key) else { return String::new() };
        let (service, started) = (exchange.service.name.clone(), exchange.delivery.started);
        let attempt = exchange.request_fields.attempt.clone();
        let RetryUsage { requests, hosts, made, local, lent, pool, borrowed, late } =
            self.retry_budget(&service).usage(now);
        format!(
            "request={attempt} service={service} started={started} made={made} local={local:.1} \
             lent={lent} pool={pool:.1} borrowed={borrowed} late={late} requests={requests} \
             hosts={hosts}"
        )
    }

    /// Asks for the loans that sends of this and other hosts wait for. This is done once per
    /// iteration of the event loop, when all sends that wait are known.
    pub(super) fn request_loans(&mut self) {
        if !std::mem::take(&mut self.loans_wanted) {
            return;
        }
        let now = self.now;
        let lenders = self.peers.lenders(now);
        let services: Vec<ServiceId> = self.retry_budgets.keys().cloned().collect();
        for service in services {
            let mut waiting = self.waiting_for_loan(&service).len();
            if waiting > 0 {
                waiting += self.retry_budget(&service).late(now);
            }
            let waiting = u16::try_from(waiting).unwrap_or(u16::MAX);
            let hash = name_hash(&service);
            for (lender, request) in self.retry_loans.requests(hash, waiting, &lenders, now) {
                self.send_message(lender, &Datagram::AskRetries(request));
            }
        }
    }

    /// The exchanges of a service whose next send waits for a loan.
    fn waiting_for_loan(&self, service: &str) -> Vec<Key> {
        let now = self.now;
        let waits = |key: &Key| {
            let exchange = self.exchanges.get(*key);
            let exchange = exchange.filter(|exchange| exchange.service.name == service);
            exchange.is_some_and(|e| e.loan_wait.is_some_and(|end| e.send.is_none() || now < end))
        };
        self.exchanges.keys().into_iter().filter(waits).collect()
    }

    /// Answers another host's request for retries.
    pub(super) fn answer_loan_request(&mut self, from: SocketAddr, request: &RetryLoanRequest) {
        let borrower = self.peers.borrower(from, self.now);
        let mut budgets = self.retry_budgets.iter_mut();
        let budget = budgets.find(|(name, _)| name_hash(name) == request.service);
        let budget = budget.map(|(_, budget)| budget);
        let loan = self.retry_loans.answer(from, request, borrower, budget, self.now);
        let RetryLoan { granted, .. } = loan;
        log_event!(
            self,
            RetriesLent,
            "to={from} borrower={borrower:?} wanted={} granted={granted}",
            request.wanted
        );
        metrics::counter!("roseshore_retries_lent_total").increment(u64::from(granted));
        self.send_message(from, &Datagram::LendRetries(loan));
        self.loans_wanted |= borrower == Borrower::Near && granted < request.wanted;
    }

    /// Applies a lender's reply, and continues the sends that wait for it.
    pub(super) fn apply_loan(&mut self, loan: &RetryLoan) {
        if !self.retry_loans.apply(loan) {
            return;
        }
        let service = self.retry_budgets.keys().find(|name| name_hash(name) == loan.service);
        let Some(service) = service.cloned() else { return };
        let now = self.now;
        self.retry_budget(&service).borrow(loan.granted, now);
        metrics::counter!("roseshore_retries_borrowed_total").increment(u64::from(loan.granted));
        self.loans_wanted = true;
        for key in self.waiting_for_loan(&service) {
            if !self.retry_budget(&service).has_retry(now) {
                return;
            }
            if self.exchanges.get(key).is_some_and(|exchange| exchange.send.is_some()) {
                self.check_exchange(key);
            } else {
                self.dispatch(key);
            }
        }
    }
}
