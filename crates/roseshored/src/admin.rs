//! The admin API for operators: the HTTP paths under `/v1/admin/`.
//!
//! The server passes every such request to [`handle`] as a [`Call`] and sends back the [`Answer`].
//! The bodies are JSON, defined in `roseshore_wire::admin`.

mod keys;

use crate::app::Drain;
use crate::fleets::FleetDriver;
use roseshore_core::config::{Command, CommandResult, FORMAT};
use roseshore_core::prelude::*;
use roseshore_ports::inside::{Keys, Member, MemberState, Members, QueryHandler};
use roseshore_wire::admin::{Config, Daemon, Drained, Outcome, Problem, Report, Status, Versioned};
use roseshore_wire::query::{Query, Rows};
use serde::Serialize;
use std::sync::Arc;

/// The prefix of all paths here.
pub const PREFIX: &str = "/v1/admin/";
/// Wait of a request that gives no `wait_ms`.
const DEFAULT_WAIT: Duration = Duration::from_secs(10);
/// Upper limit of `wait_ms`.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// The components that the admin API reads and changes.
#[derive(Clone)]
pub struct AdminApi {
    /// The configuration, with the commands that change it.
    pub fleets: Arc<FleetDriver>,
    /// The view of the daemons.
    pub members: Arc<dyn Members>,
    /// Answers queries about requests; `None` refuses them.
    pub queries: Option<Arc<dyn QueryHandler>>,
    /// The state of idempotency keys.
    pub keys: Arc<dyn Keys>,
    /// The drain state of this daemon.
    pub drain: Arc<Drain>,
}

/// One HTTP request to the admin API.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// The HTTP method, in upper case.
    pub method: &'a str,
    /// The path and query string, starting with [`PREFIX`].
    pub path: &'a str,
    /// The body.
    pub body: &'a [u8],
}

/// The response, of type `application/json`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

/// Handles one request; may block for its `wait_ms`, at most 30 s.
pub fn handle(admin_api: &AdminApi, call: &Call<'_>) -> Answer {
    let (path, query) = call.path.split_once('?').unwrap_or((call.path, ""));
    let path = path.strip_prefix(PREFIX).unwrap_or_default();
    match (call.method, path) {
        ("GET", "config") => admin_api.config(),
        ("GET", "status") => admin_api.status(),
        ("POST", "commands") => admin_api.command(call.body, wait_of(query)),
        ("POST", "query") => admin_api.query(call.body),
        ("POST", "drain") => admin_api.drain(),
        ("GET", "keys") => keys::show(&*admin_api.keys, query),
        ("POST", "keys/settle") => keys::settle(&*admin_api.keys, call.body),
        ("GET", other) if other.starts_with("commands/") => {
            admin_api.report(&other["commands/".len()..])
        }
        _ => problem(Code::UnknownPath, format!("no `{} {}` here", call.method, call.path)),
    }
}

impl AdminApi {
    fn config(&self) -> Answer {
        let config = self.fleets.inspect(|state| Config {
            offset: state.offset(),
            digest: state.digest(),
            objects: versioned(state),
        });
        answer(200, &config)
    }

    fn status(&self) -> Answer {
        let own = self.members.own();
        let (offset, digest) = self.fleets.inspect(|it| (it.offset(), it.digest()));
        let daemon = |it: Member| {
            let (offset, digest) =
                if it.host == own.host { (offset, digest) } else { (it.offset, it.digest) };
            Daemon {
                host: it.host,
                data_centre: it.data_centre,
                state: state_name(it.state).to_owned(),
                offset,
                digest: format!("{digest:016x}"),
            }
        };
        let mut all = self.members.all();
        if !all.iter().any(|it| it.host == own.host) {
            all.insert(0, own.clone());
        }
        let daemons = all.into_iter().map(daemon).collect();
        answer(200, &Status { host: own.host, log: self.fleets.healthy(), daemons })
    }

    fn command(&self, body: &[u8], wait: Duration) -> Answer {
        let command: Command = match serde_json::from_slice(body) {
            Ok(command) => command,
            Err(err) => return problem(Code::BadRequest, format!("no command: {err}")),
        };
        if let Some(message) = self.rejection(&command) {
            return problem(Code::CommandInvalid, message);
        }
        let until = Instant::now() + wait;
        let settled = self.fleets.submit(&command, until);
        let outcome = self.outcome(settled, until);
        answer(200, &Report { command: command.id, outcome })
    }

    /// Why a command is rejected without being appended, or `None` if it may be appended.
    fn rejection(&self, command: &Command) -> Option<String> {
        let own_offset = || self.fleets.inspect(roseshore_core::config::State::offset);
        if command.made_at > own_offset() {
            self.fleets.catch_up();
        }
        let offset = own_offset();
        if command.format != FORMAT {
            return Some(format!("this daemon takes commands of format {FORMAT}"));
        }
        if command.made_at > offset {
            return Some(format!(
                "the command was made at offset {}, this daemon stands at {offset}; ask another \
                 or wait a moment",
                command.made_at
            ));
        }
        None
    }

    fn report(&self, id: &str) -> Answer {
        let settled = self.fleets.inspect(|state| state.command_result(id));
        let settled = settled.unwrap_or_else(|| {
            // Reads the log to its end once, because this daemon may be behind.
            let log_read = self.fleets.catch_up();
            let again = self.fleets.inspect(|state| state.command_result(id));
            again.unwrap_or_else(|| CommandResult::Unknown(unknown_reason(log_read)))
        });
        let outcome = self.outcome(settled, Instant::now());
        answer(200, &Report { command: id.to_owned(), outcome })
    }

    fn outcome(&self, settled: CommandResult, until: Instant) -> Outcome {
        match settled {
            CommandResult::Accepted(version) => {
                let confirmation = self.fleets.wait_confirmed(&*self.members, version, until);
                let (in_force, unconfirmed) = (confirmation.in_force, confirmation.unconfirmed);
                Outcome::Accepted { version, in_force, unconfirmed }
            }
            CommandResult::Rejected(code, reason, message) => {
                Outcome::Rejected { code, reason, message }
            }
            CommandResult::Unknown(message) => Outcome::Unknown { message },
        }
    }

    fn query(&self, body: &[u8]) -> Answer {
        let query: Query = match serde_json::from_slice(body) {
            Ok(query) => query,
            Err(err) => return problem(Code::BadRequest, format!("no query: {err}")),
        };
        match &self.queries {
            Some(queries) => {
                let mut reply = queries.ask(&query);
                self.mark_advisory(&mut reply.rows);
                answer(200, &reply)
            }
            None => problem(Code::UnknownPath, "this daemon keeps no rows about requests"),
        }
    }

    /// Marks account rows of services that are declared advisory.
    fn mark_advisory(&self, rows: &mut Rows) {
        let Rows::Account(rows) = rows else { return };
        self.fleets.inspect(|state| {
            let services = &state.fleet().services;
            for row in rows {
                row.advisory = services.get(&row.service).is_some_and(|it| it.advisory);
            }
        });
    }

    fn drain(&self) -> Answer {
        self.drain.start();
        answer(200, &Drained { host: self.members.own().host })
    }
}

fn versioned(state: &roseshore_core::config::State) -> Vec<Versioned> {
    let objects = state.fleet().objects().into_iter();
    let with = |(key, object)| {
        let version = state.meta(&key)?.version;
        Some(Versioned { key, version, object })
    };
    objects.filter_map(with).collect()
}

fn unknown_reason(log_read: bool) -> String {
    if log_read {
        return "the log holds no such command up to now, as far back as it is remembered; an \
                append that is still under way may bring it"
            .into();
    }
    "this daemon does not know it, and the log service cannot be reached from here".into()
}

fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Leaving => "leaving",
        MemberState::Gone => "gone",
    }
}

fn wait_of(query: &str) -> Duration {
    let given = query.split('&').find_map(|it| it.strip_prefix("wait_ms="));
    let given = given.and_then(|it| it.parse().ok()).map(Duration::from_millis);
    given.unwrap_or(DEFAULT_WAIT).min(MAX_WAIT)
}

fn answer(status: u16, body: &impl Serialize) -> Answer {
    match serde_json::to_vec(body) {
        Ok(body) => Answer { status, body },
        Err(err) => problem(Code::Internal, err.to_string()),
    }
}

fn problem(code: Code, message: impl Into<String>) -> Answer {
    let body = Problem { code, message: message.into() };
    Answer { status: code.status(), body: serde_json::to_vec(&body).unwrap_or_default() }
}
