//! Whom a host asks for a loan of retries, and when.
//!
//! A host whose part of the [retry budget](super::retry_budget) is spent asks the lenders of its data
//! centre. A lender that has too few for them asks the other lenders of its data centre and those of
//! the others, and lends what it gets when its hosts ask again. A request is for all sends that wait
//! for a retry of one service; a few are in progress at a time, so that a dead lender delays none.

use super::retry_budget::{Borrower, RetryBudget};
use crate::gateway::hashes::TargetHash;
use crate::gateway::peers::{RetryLoan, RetryLoanRequest};
use crate::prelude::*;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// Time after which a request is sent once more: replies take some milliseconds between data centres.
const REPEAT_AFTER: Duration = Duration::from_millis(10);
/// Time after which a repeated request is given up: one iteration of a busy host's event loop.
const REPEAT_TIMEOUT: Duration = Duration::from_millis(25);
/// How long a lender that did not reply is not asked again.
const SILENT_BACKOFF: Duration = Duration::from_millis(300);
/// Pause after a round in which the lenders did not have enough.
const ROUND_PAUSE: Duration = Duration::from_millis(10);
/// How long a lender remembers what its hosts lacked; those that still need it ask again.
const SHORTAGE_VALIDITY: Duration = Duration::from_millis(50);
/// How long a lender remembers a loan, to repeat the reply if it was lost.
const REPLY_VALIDITY: Duration = Duration::from_millis(200);
/// Requests in progress at a time for one service.
const MAX_PENDING: usize = 3;

/// A request in progress.
#[derive(Clone, Copy, Debug)]
struct Pending {
    request: RetryLoanRequest,
    lender: SocketAddr,
    until: Instant,
    repeated: bool,
}

/// The last loan to another host.
#[derive(Clone, Copy, Debug)]
struct Reply {
    loan: RetryLoan,
    at: Instant,
}

/// Requests for one service.
#[derive(Clone, Debug, Default)]
struct ServiceLoans {
    pending: Vec<Pending>,
    /// Lenders asked in this round.
    asked: Vec<SocketAddr>,
    /// When the next round may begin.
    next_round: Option<Instant>,
    /// What hosts that asked this one lacked, and when.
    shortages: BTreeMap<SocketAddr, (u16, Instant)>,
}

/// The requests of one host for loans.
#[derive(Clone, Debug, Default)]
pub struct RetryLoans {
    services: HashMap<TargetHash, ServiceLoans>,
    /// The last reply to each host that asked this one, by service.
    replies: HashMap<(SocketAddr, TargetHash), Reply>,
    /// Lenders that did not reply, and when they were given up.
    silent: HashMap<SocketAddr, Instant>,
    last_number: u64,
    /// The lender with which the next round begins.
    turn: usize,
}

impl RetryLoans {
    /// Starts with the lender of this turn, so that hosts do not all ask the same one first.
    pub fn new(turn: usize) -> RetryLoans {
        RetryLoans { turn, ..RetryLoans::default() }
    }

    /// The requests to send now, and to whom. `waiting` is the number of sends of this host that wait
    /// for a retry.
    pub fn requests(
        &mut self,
        service: TargetHash,
        waiting: u16,
        lenders: &[SocketAddr],
        now: Instant,
    ) -> Vec<(SocketAddr, RetryLoanRequest)> {
        std::iter::from_fn(|| self.next_request(service, waiting, lenders, now)).collect()
    }

    fn next_request(
        &mut self,
        service: TargetHash,
        waiting: u16,
        lenders: &[SocketAddr],
        now: Instant,
    ) -> Option<(SocketAddr, RetryLoanRequest)> {
        let loans = self.services.entry(service).or_default();
        if let Some(repeated) = loans.repeat(&mut self.silent, now) {
            return Some(repeated);
        }
        let given_up = |at: &Instant| now.saturating_duration_since(*at) < SILENT_BACKOFF;
        self.silent.retain(|_, at| given_up(at));
        let requested = total(loans.pending.iter().map(|pending| pending.request.wanted));
        let wanted = loans.shortage(now).saturating_add(waiting).saturating_sub(requested);
        let free = MAX_PENDING.saturating_sub(loans.pending.len());
        if wanted == 0 || free == 0 || loans.next_round.is_some_and(|at| now < at) {
            return None;
        }
        let (turned, first) = lenders.split_at(self.turn.checked_rem(lenders.len()).unwrap_or(0));
        let skipped = |lender: &SocketAddr| {
            loans.asked.contains(lender)
                || self.silent.contains_key(lender)
                || loans.pending.iter().any(|pending| pending.lender == *lender)
        };
        let Some(lender) = first.iter().chain(turned).copied().find(|l| !skipped(l)) else {
            loans.asked.clear();
            loans.next_round = Some(now + ROUND_PAUSE);
            self.turn = self.turn.wrapping_add(1);
            return None;
        };
        loans.asked.push(lender);
        self.last_number += 1;
        let wanted = wanted.div_ceil(free as u16);
        let request = RetryLoanRequest { number: self.last_number, service, wanted };
        let until = now + REPEAT_AFTER;
        loans.pending.push(Pending { request, lender, until, repeated: false });
        Some((lender, request))
    }

    /// Applies the reply to a request. Returns whether the request is in progress; the loan of a late
    /// reply is not used.
    pub fn apply(&mut self, loan: &RetryLoan) -> bool {
        let Some(loans) = self.services.get_mut(&loan.service) else { return false };
        let before = loans.pending.len();
        loans.pending.retain(|p| p.request.number != loan.number);
        loans.pending.len() < before
    }

    /// Answers another host's request from the budget of the service, if there is one here. A
    /// repeated request gets the earlier reply; its retries are not lent again.
    pub fn answer(
        &mut self,
        from: SocketAddr,
        request: &RetryLoanRequest,
        borrower: Borrower,
        budget: Option<&mut RetryBudget>,
        now: Instant,
    ) -> RetryLoan {
        let RetryLoanRequest { number, service, wanted } = *request;
        self.replies.retain(|_, reply| now.saturating_duration_since(reply.at) < REPLY_VALIDITY);
        let earlier = self.replies.get(&(from, service)).map(|reply| reply.loan);
        if let Some(loan) = earlier.filter(|loan| loan.number == number) {
            return loan;
        }
        // Nothing is kept for services that this host does not serve.
        let Some(budget) = budget else { return RetryLoan { number, service, granted: 0 } };
        let granted = budget.lend(wanted, borrower, now);
        if borrower == Borrower::Near {
            let shortages = &mut self.services.entry(service).or_default().shortages;
            shortages.insert(from, (wanted - granted, now));
        }
        let loan = RetryLoan { number, service, granted };
        self.replies.insert((from, service), Reply { loan, at: now });
        loan
    }
}

impl ServiceLoans {
    /// A request that has to be sent once more. Gives up those that were repeated in vain.
    fn repeat(
        &mut self,
        silent: &mut HashMap<SocketAddr, Instant>,
        now: Instant,
    ) -> Option<(SocketAddr, RetryLoanRequest)> {
        self.pending.retain(|pending| {
            let given_up = pending.repeated && now >= pending.until;
            if given_up {
                silent.insert(pending.lender, now);
            }
            !given_up
        });
        let overdue = self.pending.iter_mut().find(|pending| now >= pending.until)?;
        (overdue.repeated, overdue.until) = (true, now + REPEAT_TIMEOUT);
        Some((overdue.lender, overdue.request))
    }

    /// What the hosts that asked recently lacked.
    fn shortage(&mut self, now: Instant) -> u16 {
        let recent = |at| now.saturating_duration_since(at) < SHORTAGE_VALIDITY;
        self.shortages.retain(|_, (_, at)| recent(*at));
        total(self.shortages.values().map(|(lacked, _)| *lacked))
    }
}

fn total(counts: impl Iterator<Item = u16>) -> u16 {
    counts.fold(0, u16::saturating_add)
}
