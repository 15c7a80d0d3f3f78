//! Keeps the record of requests and answers operators' questions about them.
//!
//! [`LedgerDriver`] implements the `Ledger` port and answers peers' queries about this daemon;
//! [`QueryFanout`] asks every daemon and merges the rows; [`account`] writes this daemon's parts
//! of the weekly account to the log and reads the whole of it.

pub mod account;
mod rows;

use crate::ledger::account::Account;
use parking_lot::Mutex;
use roseshore_core::ledger::history::{
    EndedRequest, RequestHistory, RequestMeta, RequestState, RunningRequest,
};
use roseshore_core::prelude::*;
use roseshore_ports::inside::{
    Ledger, Member, MemberState, Members, PeerHandler, QueryHandler, RequestEnd, RequestInfo,
};
use roseshore_ports::outside::Peers;
use roseshore_wire::peer;
use roseshore_wire::query::{Query, Reply, Rows, Topic};
use std::sync::Arc;
use std::thread;

/// How long a daemon has to answer a query.
const ASK_LIMIT: Duration = Duration::from_secs(2);
/// Daemons that are asked at once.
const ASKERS: usize = 16;

/// The record of one daemon's requests.
pub struct LedgerDriver {
    host: HostId,
    data_centre: DataCentreId,
    book: Mutex<RequestHistory>,
    account: Arc<Account>,
}

impl LedgerDriver {
    /// An empty record.
    pub fn new(own: &Member, account: Arc<Account>) -> LedgerDriver {
        let (host, data_centre) = (own.host.clone(), own.data_centre.clone());
        LedgerDriver { host, data_centre, book: Mutex::default(), account }
    }

    /// This daemon's rows for a query.
    pub fn local(&self, query: &Query) -> Reply {
        let book = self.book.lock();
        let origin = rows::Place { host: &self.host, data_centre: &self.data_centre };
        rows::of_book(&book, &origin, query)
    }
}

impl Ledger for LedgerDriver {
    fn begun(&self, ask: &RequestInfo) {
        let running = RunningRequest {
            meta: whose(ask),
            started: wall(ask.arrived),
            deadline: wall(ask.deadline),
        };
        self.book.lock().begin(running);
    }

    fn ended(&self, end: &RequestEnd) {
        let ended = EndedRequest {
            meta: whose(&end.ask),
            ended_at: wall(end.ended),
            late_by: end.ended.saturating_duration_since(end.ask.deadline),
            verdict: end.verdict,
            code: end.code,
            repeated: end.repeated,
            caller_left: end.caller_left,
            reroutes: end.resumed,
            missed: end.missed(),
        };
        self.account.ended(&ended);
        self.book.lock().end(ended);
    }

    fn find(&self, id: &str) -> Option<RequestState> {
        self.book.lock().find(id)
    }
}

impl PeerHandler for LedgerDriver {
    fn answer(&self, ask: &peer::PeerRequest) -> Option<peer::PeerReply> {
        let peer::PeerRequest::Query { query } = ask else { return None };
        let reply = match serde_json::from_str::<Query>(query) {
            Ok(query) => serde_json::to_string(&self.local(&query)),
            Err(err) => return Some(peer::PeerReply::Unable { reason: err.to_string() }),
        };
        Some(match reply {
            Ok(rows) => peer::PeerReply::Rows { rows },
            Err(err) => peer::PeerReply::Unable { reason: err.to_string() },
        })
    }
}

/// Asks every daemon of the system.
pub struct QueryFanout {
    ledger: Arc<LedgerDriver>,
    account: Arc<Account>,
    members: Arc<dyn Members>,
    peers: Arc<dyn Peers>,
}

impl QueryFanout {
    /// An asker over the members that this daemon knows.
    pub fn new(
        ledger: Arc<LedgerDriver>,
        account: Arc<Account>,
        members: Arc<dyn Members>,
        peers: Arc<dyn Peers>,
    ) -> QueryFanout {
        QueryFanout { ledger, account, members, peers }
    }

    /// The other daemons that may have rows.
    fn others(&self, query: &Query) -> Vec<Member> {
        let own = self.members.own().host;
        let wanted = |dc: &DataCentreId| query.filter.data_centre.as_ref().is_none_or(|w| w == dc);
        let all = self.members.all().into_iter();
        all.filter(|m| m.host != own && m.state != MemberState::Gone && wanted(&m.data_centre))
            .collect()
    }

    /// Asks the members side by side, so that silent ones cost one limit and not one each.
    fn ask_all(&self, query: &Query, others: Vec<Member>) -> Vec<(HostId, Option<Reply>)> {
        let Ok(text) = serde_json::to_string(query) else { return Vec::new() };
        let ask = peer::PeerRequest::Query { query: text };
        let (jobs, queue) = flume::unbounded::<Member>();
        let (results, replies) = flume::unbounded();
        let askers = ASKERS.min(others.len());
        for member in others {
            // The queue has no bound and its reader lives on, so this cannot fail.
            drop(jobs.send(member));
        }
        drop(jobs);
        thread::scope(|scope| {
            for _ in 0..askers {
                let (queue, results, ask) = (queue.clone(), results.clone(), &ask);
                scope.spawn(move || {
                    for member in queue {
                        let reply = self.peers.ask(member.peer, ask, ASK_LIMIT);
                        drop(results.send((member.host, reply.ok().and_then(read))));
                    }
                });
            }
        });
        drop(results);
        replies.into_iter().collect()
    }
}

impl QueryHandler for QueryFanout {
    fn ask(&self, query: &Query) -> Reply {
        if query.topic == Topic::Account {
            return self.account.reply(query);
        }
        let mut whole = self.ledger.local(query);
        for (host, reply) in self.ask_all(query, self.others(query)) {
            match reply {
                Some(reply) => rows::join(&mut whole, reply),
                None => whole.unasked.push(host),
            }
        }
        whole.unasked.sort();
        whole
    }
}

fn read(reply: peer::PeerReply) -> Option<Reply> {
    match reply {
        peer::PeerReply::Rows { rows } => serde_json::from_str(&rows).ok(),
        _ => None,
    }
}

fn whose(ask: &RequestInfo) -> RequestMeta {
    RequestMeta {
        request: ask.request.clone(),
        service: ask.service.clone(),
        organisation: ask.organisation.clone(),
    }
}

/// The wall clock's time of an instant, by the difference to now.
fn wall(instant: Instant) -> SystemTime {
    let now = Instant::now();
    let wall = SystemTime::now();
    if instant >= now { wall + (instant - now) } else { wall - (now - instant) }
}

/// An empty reply about a topic.
pub(crate) fn empty(topic: Topic) -> Reply {
    let rows = match topic {
        Topic::Running => Rows::Running(Vec::new()),
        Topic::Late => Rows::Late(Vec::new()),
        Topic::Refused => Rows::Refused(Vec::new()),
        Topic::Account => Rows::Account(Vec::new()),
    };
    Reply { rows, unasked: Vec::new(), cut: false }
}
