//! Queries about requests and daemons, and draining of daemons.

use crate::cli::{self, GlobalArgs};
use crate::client::{self, Client};
use crate::show::{self, Trace};
use crate::{CommandOutput, ExitStatus};
use clap::ArgMatches;
use roseshore_core::prelude::*;
use roseshore_core::wall;
use roseshore_wire::admin::{Drained, Status};
use roseshore_wire::query::{Filter, Query, Topic};

const TIMEOUT: Duration = Duration::from_secs(10);
const WEEK: Duration = Duration::from_hours(7 * 24);

/// Runs `running`, `late`, `refused` and `account`.
pub fn rows(
    client: &dyn Client,
    globals: &GlobalArgs,
    topic: &str,
    args: &ArgMatches,
) -> CommandOutput {
    let topic = match topic {
        "running" => Topic::Running,
        "late" => Topic::Late,
        "refused" => Topic::Refused,
        _ => Topic::Account,
    };
    let words = args.get_many::<String>("FILTER").unwrap_or_default();
    let mut filter = match filter(words, SystemTime::now()) {
        Ok(filter) => filter,
        Err(message) => return CommandOutput::failed(ExitStatus::Usage, &message),
    };
    if topic == Topic::Account && args.get_flag("week") {
        filter.since_ms = Some(millis_before(SystemTime::now(), WEEK));
    }
    let body = serde_json::to_string(&Query { topic, filter }).unwrap_or_default();
    let reply =
        client::first_answer(client, &globals.hosts, "/v1/admin/query", Some(&body), TIMEOUT);
    match reply {
        Ok(reply) => show::rows(&reply, globals.json),
        Err(message) => CommandOutput::failed(ExitStatus::Unreachable, &message),
    }
}

/// Parses filter arguments such as `service=NAME` and `since=1h`.
///
/// # Errors
/// A message that names the invalid argument.
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
            "since" => out.since_ms = Some(millis_before(now, cli::parse_duration(&given)?)),
            _ => {
                return Err(format!(
                    "`{name}` is no filter; use `service`, `organisation`, `data-centre` or `since`"
                ));
            }
        }
    }
    Ok(out)
}

/// The Unix time in milliseconds that lies `ago` before `now`.
fn millis_before(now: SystemTime, ago: Duration) -> u64 {
    wall::millis(now).saturating_sub(ago.as_millis() as u64)
}

/// Runs `explain`. Queries the hosts in order, since only the one that accepted the request has its
/// spans.
pub fn explain(client: &dyn Client, globals: &GlobalArgs, request: &str) -> CommandOutput {
    let path = format!("/v1/trace/{request}");
    match client::first_answer::<Trace>(client, &globals.hosts, &path, None, TIMEOUT) {
        Ok(trace) => {
            CommandOutput::new(ExitStatus::Success, globals.json, &trace, show::tree(&trace.spans))
        }
        Err(message) => {
            let message = format!("no host asked knows request `{request}`:\n{message}");
            CommandOutput::failed(ExitStatus::Unknown, &message)
        }
    }
}

/// Runs `status`.
pub fn status(client: &dyn Client, globals: &GlobalArgs) -> CommandOutput {
    match client::first_answer::<Status>(client, &globals.hosts, "/v1/admin/status", None, TIMEOUT)
    {
        Ok(status) => {
            CommandOutput::new(ExitStatus::Success, globals.json, &status, show::status(&status))
        }
        Err(message) => CommandOutput::failed(ExitStatus::Unreachable, &message),
    }
}

/// Runs `drain`.
pub fn drain(client: &dyn Client, globals: &GlobalArgs, host: &str) -> CommandOutput {
    let host = match cli::parse_host(host) {
        Ok(host) => host,
        Err(message) => return CommandOutput::failed(ExitStatus::Usage, &message),
    };
    let body = String::new();
    match client::first_answer::<Drained>(client, &[host], "/v1/admin/drain", Some(&body), TIMEOUT)
    {
        Ok(drained) => {
            let text =
                format!("`{}` takes no new work and finishes what is in flight", drained.host);
            CommandOutput::new(ExitStatus::Success, globals.json, &drained, text)
        }
        Err(message) => CommandOutput::failed(ExitStatus::Unreachable, &message),
    }
}
