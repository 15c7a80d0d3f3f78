//! Showing what the system says of itself.

use crate::cli::{self, Scope};
use crate::client::{self, Client};
use crate::show::{self, Trace};
use crate::{Done, Exit};
use clap::ArgMatches;
use roseshore_core::prelude::*;
use roseshore_core::wall;
use roseshore_wire::admin::{Drained, Status};
use roseshore_wire::query::{Filter, Query, Topic};

const LIMIT: Duration = Duration::from_secs(10);
const WEEK: Duration = Duration::from_hours(7 * 24);

/// Runs `running`, `late`, `refused` and `account`.
pub fn rows(client: &dyn Client, scope: &Scope, topic: &str, args: &ArgMatches) -> Done {
    let topic = match topic {
        "running" => Topic::Running,
        "late" => Topic::Late,
        "refused" => Topic::Refused,
        _ => Topic::Account,
    };
    let words = args.get_many::<String>("FILTER").unwrap_or_default();
    let mut filter = match filter(words, SystemTime::now()) {
        Ok(filter) => filter,
        Err(message) => return Done::failed(Exit::Usage, &message),
    };
    if topic == Topic::Account && args.get_flag("week") {
        filter.since_ms = Some(before(SystemTime::now(), WEEK));
    }
    let body = serde_json::to_string(&Query { topic, filter }).unwrap_or_default();
    let reply = client::first(client, &scope.hosts, "/v1/admin/query", Some(&body), LIMIT);
    match reply {
        Ok(reply) => show::rows(&reply, scope.json),
        Err(message) => Done::failed(Exit::Unreachable, &message),
    }
}

/// Reads words such as `service=NAME` and `since=1h`.
///
/// # Errors
/// A message that names the word that is wrong.
pub fn filter<'a>(
    words: impl Iterator<Item = &'a String>,
    now: SystemTime,
) -> Result<Filter, String> {
    let mut out = Filter::default();
    for word in words {
        let (name, value) = word.split_once('=').unwrap_or((word, ""));
        let value = || (!value.is_empty()).then(|| value.to_owned());
        let given = value().ok_or_else(|| format!("`{word}` has no value; write `name=value`"))?;
        match name {
            "service" => out.service = Some(given),
            "organisation" => out.organisation = Some(given),
            "data-centre" => out.data_centre = Some(given),
            "since" => out.since_ms = Some(before(now, cli::duration(&given)?)),
            _ => {
                return Err(format!(
                    "`{name}` is no filter; use `service`, `organisation`, `data-centre` or `since`"
                ));
            }
        }
    }
    Ok(out)
}

fn before(now: SystemTime, ago: Duration) -> u64 {
    wall::millis(now).saturating_sub(ago.as_millis() as u64)
}

/// Runs `explain`: asks every host, since only the one that took the request knows it.
pub fn explain(client: &dyn Client, scope: &Scope, request: &str) -> Done {
    let path = format!("/v1/trace/{request}");
    match client::first::<Trace>(client, &scope.hosts, &path, None, LIMIT) {
        Ok(trace) => Done::new(Exit::Good, scope.json, &trace, show::tree(&trace.spans)),
        Err(message) => {
            let message = format!("no host asked knows request `{request}`:\n{message}");
            Done::failed(Exit::Unknown, &message)
        }
    }
}

/// Runs `status`.
pub fn status(client: &dyn Client, scope: &Scope) -> Done {
    match client::first::<Status>(client, &scope.hosts, "/v1/admin/status", None, LIMIT) {
        Ok(status) => Done::new(Exit::Good, scope.json, &status, show::status(&status)),
        Err(message) => Done::failed(Exit::Unreachable, &message),
    }
}

/// Runs `drain`.
pub fn drain(client: &dyn Client, scope: &Scope, host: &str) -> Done {
    let host = match cli::host(host) {
        Ok(host) => host,
        Err(message) => return Done::failed(Exit::Usage, &message),
    };
    let body = String::new();
    match client::first::<Drained>(client, &[host], "/v1/admin/drain", Some(&body), LIMIT) {
        Ok(drained) => {
            let text =
                format!("`{}` takes no new work and finishes what is in flight", drained.host);
            Done::new(Exit::Good, scope.json, &drained, text)
        }
        Err(message) => Done::failed(Exit::Unreachable, &message),
    }
}
