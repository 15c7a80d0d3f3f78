//! Records requests and answers operators' queries about them.
//!
//! [`LedgerDriver`] implements the `Ledger` port and answers peers' queries about this daemon;
//! [`QueryFanout`] queries every daemon and merges the rows; [`account`] writes this daemon's deltas
//! of the weekly account to the log and reads the account back from there.

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

/// Timeout of a query to another daemon.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);
/// Daemons that are queried concurrently.
const QUERY_THREADS: usize = 16;

/// The history of one daemon's requests.
pub struct LedgerDriver {
    host: HostId,
    data_centre: DataCentreId,
    history: Mutex<RequestHistory>,
    account: Arc<Account>,
}

impl LedgerDriver {
    /// Creates a ledger with an empty history.
    pub fn new(own: &Member, account: Arc<Account>) -> LedgerDriver {
        let (host, data_centre) = (own.host.clone(), own.data_centre.clone());
        LedgerDriver { host, data_centre, history: Mutex::default(), account }
    }

    /// This daemon's own rows for a query.
    pub fn local(&self, query: &Query) -> Reply {
        let history = self.history.lock();
        let location = rows::Location { host: &self.host, data_centre: &self.data_centre };
        rows::from_history(&history, &location, query)
    }
}

impl Ledger for LedgerDriver {
    fn begun(&self, request: &RequestInfo) {
        let running = RunningRequest {
            meta: request_meta(request),
            started: wall_time(request.arrived),
            deadline: wall_time(request.deadline),
        };
        self.history.lock().begin(running);
    }

    fn ended(&self, end: &RequestEnd) {
        let ended = EndedRequest {
            meta: request_meta(&end.ask),
            ended_at: wall_time(end.ended),
            late_by: end.ended.saturating_duration_since(end.ask.deadline),
            verdict: end.verdict,
            code: end.code,
            repeated: end.repeated,
            caller_left: end.caller_left,
            reroutes: end.resumed,
            missed: end.missed(),
        };
        self.account.ended(&ended);
        self.history.lock().end(ended);
    }

    fn find(&self, id: &str) -> Option<RequestState> {
        self.history.lock().find(id)
    }
}

impl PeerHandler for LedgerDriver {
    fn answer(&self, request: &peer::PeerRequest) -> Option<peer::PeerReply> {
        let peer::PeerRequest::Query { query } = request else { return None };
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

/// Sends queries to every known daemon and merges the replies.
pub struct QueryFanout {
    ledger: Arc<LedgerDriver>,
    account: Arc<Account>,
    members: Arc<dyn Members>,
    peers: Arc<dyn Peers>,
}

impl QueryFanout {
    /// Creates a fan-out over the members that this daemon knows.
    pub fn new(
        ledger: Arc<LedgerDriver>,
        account: Arc<Account>,
        members: Arc<dyn Members>,
        peers: Arc<dyn Peers>,
    ) -> QueryFanout {
        QueryFanout { ledger, account, members, peers }
    }

    /// The other daemons that may have rows for the query.
    fn others(&self, query: &Query) -> Vec<Member> {
        let own = self.members.own().host;
        let wanted = |dc: &DataCentreId| query.filter.data_centre.as_ref().is_none_or(|w| w == dc);
        let all = self.members.all().into_iter();
        all.filter(|m| m.host != own && m.state != MemberState::Gone && wanted(&m.data_centre))
            .collect()
    }

    /// Queries the members concurrently, so that unresponsive ones do not cost one timeout each.
    fn query_all(&self, query: &Query, others: Vec<Member>) -> Vec<(HostId, Option<Reply>)> {
        let Ok(text) = serde_json::to_string(query) else { return Vec::new() };
        let request = peer::PeerRequest::Query { query: text };
        let (jobs, queue) = flume::unbounded::<Member>();
        let (results, replies) = flume::unbounded();
        let threads = QUERY_THREADS.min(others.len());
        for member in others {
            // The queue is unbounded and its receiver is still alive, so this cannot fail.
            drop(jobs.send(member));
        }
        drop(jobs);
        thread::scope(|scope| {
            for _ in 0..threads {
                let (queue, results, request) = (queue.clone(), results.clone(), &request);
                scope.spawn(move || {
                    for member in queue {
                        let reply = self.peers.ask(member.peer, request, QUERY_TIMEOUT);
                        drop(results.send((member.host, reply.ok().and_then(parse_rows))));
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
        let mut merged = self.ledger.local(query);
        for (host, reply) in self.query_all(query, self.others(query)) {
            match reply {
                Some(reply) => rows::merge(&mut merged, reply),
                None => merged.unasked.push(host),
            }
        }
        merged.unasked.sort();
        merged
    }
}

fn parse_rows(reply: peer::PeerReply) -> Option<Reply> {
    match reply {
        peer::PeerReply::Rows { rows } => serde_json::from_str(&rows).ok(),
        _ => None,
    }
}

fn request_meta(request: &RequestInfo) -> RequestMeta {
    RequestMeta {
        request: request.request.clone(),
        service: request.service.clone(),
        organisation: request.organisation.clone(),
    }
}

/// Converts an instant to wall-clock time, by its difference from now.
fn wall_time(instant: Instant) -> SystemTime {
    let now = Instant::now();
    let wall_now = SystemTime::now();
    if instant >= now { wall_now + (instant - now) } else { wall_now - (now - instant) }
}

/// An empty reply for a topic.
pub(crate) fn empty(topic: Topic) -> Reply {
    let rows = match topic {
        Topic::Running => Rows::Running(Vec::new()),
        Topic::Late => Rows::Late(Vec::new()),
        Topic::Refused => Rows::Refused(Vec::new()),
        Topic::Account => Rows::Account(Vec::new()),
    };
    Reply { rows, unasked: Vec::new(), cut: false }
}
