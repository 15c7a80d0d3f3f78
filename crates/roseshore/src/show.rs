//! Formats results as text.

use crate::{CommandOutput, ExitStatus};
use comfy_table::{Table, presets};
use roseshore_core::declare::Diff;
use roseshore_core::prelude::*;
use roseshore_core::wall;
use roseshore_wire::admin::{KeyReport, KeyState, Outcome, Report, Settle, Settled, Status};
use roseshore_wire::query::{AccountRow, Origin, Reply, Rows};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::fmt::Write as _;

/// The spans of a request, as the entry host returns them.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Trace {
    request: RequestId,
    pub(crate) spans: Span,
}

/// A span of a request with its child spans.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Span {
    name: String,
    /// Start in microseconds since the start of the request.
    start_us: u64,
    /// Duration in microseconds; `None` while the span is open.
    took_us: Option<u64>,
    #[serde(default)]
    fields: Vec<String>,
    #[serde(default)]
    children: Vec<Span>,
}

/// Formats a difference that was not submitted.
pub(crate) fn difference(diff: &Diff, json: bool) -> CommandOutput {
    let value = json!({ "changes": diff.changes, "undeclared": diff.undeclared });
    let mut text = diff.lines.join("\n");
    if diff.changes.is_empty() {
        text = "nothing to change".into();
    }
    if !diff.undeclared.is_empty() {
        let count = diff.undeclared.len();
        let _ = write!(
            text,
            "\n{count} objects in force are not declared and stay; delete them with `--prune`"
        );
    }
    CommandOutput::new(ExitStatus::Success, json, &value, text)
}

/// Formats the outcome of a command.
pub(crate) fn report(report: &Report, json: bool) -> CommandOutput {
    let id = &report.command;
    let list = |ids: &[DataCentreId]| {
        ids.iter().map(|it| format!("`{it}`")).collect::<Vec<_>>().join(", ")
    };
    let (exit, text) = match &report.outcome {
        Outcome::Accepted { version, in_force, unconfirmed } => {
            let mut text = format!("command `{id}` accepted at version {version}");
            if !in_force.is_empty() {
                let _ = write!(text, "\nin force in {}", list(in_force));
            }
            if !unconfirmed.is_empty() {
                let _ = write!(
                    text,
                    "\nnot yet confirmed in {}; ask again with `roseshore command {id}`",
                    list(unconfirmed)
                );
            }
            (
                if unconfirmed.is_empty() { ExitStatus::Success } else { ExitStatus::Unconfirmed },
                text,
            )
        }
        Outcome::Rejected { code, message, .. } => (
            ExitStatus::Rejected,
            format!("command `{id}` rejected, nothing changed ({code}): {message}"),
        ),
        Outcome::Unknown { message } => (
            ExitStatus::Unknown,
            format!(
                "whether command `{id}` took effect is not known: {message}\nask again with \
                 `roseshore command {id}`"
            ),
        ),
    };
    CommandOutput::new(exit, json, report, text)
}

/// Formats the rows of a query.
pub(crate) fn rows(reply: &Reply, json: bool) -> CommandOutput {
    let mut text = rows_table(&reply.rows).to_string();
    if !reply.unasked.is_empty() {
        let hosts: Vec<String> = reply.unasked.iter().map(|it| format!("`{it}`")).collect();
        let _ = write!(text, "\nnot asked, their rows are missing: {}", hosts.join(", "));
    }
    if reply.cut {
        text.push_str("\nmore rows were left out; narrow the filter");
    }
    CommandOutput::new(exit_status(reply), json, reply, text)
}

fn rows_table(rows: &Rows) -> Table {
    const ORIGIN: [&str; 5] = ["request", "service", "organisation", "data centre", "host"];
    let origin = |it: &Origin| {
        vec![
            it.request.clone(),
            it.service.clone(),
            it.organisation.clone(),
            it.data_centre.clone(),
            it.host.clone(),
        ]
    };
    let headers = |more: &[&'static str]| [&ORIGIN[..], more].concat();
    match rows {
        Rows::Running(rows) => table(
            &headers(&["begun", "time left"]),
            rows.iter().map(|it| {
                [origin(&it.origin), vec![format_time(it.begun_ms), format_seconds(it.left_ms)]]
                    .concat()
            }),
        ),
        Rows::Late(rows) => table(
            &headers(&["ended", "late by", "verdict", "re-routes"]),
            rows.iter().map(|it| {
                let late = format_seconds(it.late_ms.cast_signed());
                let more = [
                    format_time(it.ended_ms),
                    late,
                    it.verdict.name().into(),
                    it.resumed.to_string(),
                ];
                [origin(&it.origin), more.to_vec()].concat()
            }),
        ),
        Rows::Refused(rows) => table(
            &headers(&["ended", "verdict", "code", "why"]),
            rows.iter().map(|it| {
                let code = it.code;
                let more = [
                    format_time(it.ended_ms),
                    it.verdict.name().into(),
                    code.to_string(),
                    code.summary().into(),
                ];
                [origin(&it.origin), more.to_vec()].concat()
            }),
        ),
        Rows::Account(rows) => account(rows),
    }
}

/// Lists advisory services first, marked with a `*`.
fn account(rows: &[AccountRow]) -> Table {
    let headers = [
        "week",
        "service",
        "organisation",
        "answered",
        "late",
        "repeated",
        "refused",
        "unsettled",
        "missed",
    ];
    let mut rows: Vec<&AccountRow> = rows.iter().collect();
    rows.sort_by_key(|it| !it.advisory);
    let cells = |it: &AccountRow| {
        let marker = if it.advisory { "*" } else { "" };
        let service = format!("{}{marker}", it.service);
        let counts = [it.answered, it.late, it.repeated, it.refused, it.unsettled, it.missed];
        let mut cells = vec![format_date(it.week_ms), service, it.organisation.clone()];
        cells.extend(counts.iter().map(u64::to_string));
        cells
    };
    table(&headers, rows.into_iter().map(cells))
}

/// Formats the state of a key.
pub(crate) fn key(report: &KeyReport) -> String {
    let by =
        |host: &Option<HostId>| host.as_ref().map_or("nobody known".into(), |it| format!("`{it}`"));
    let state = match &report.state {
        KeyState::Free if !report.complete => {
            "no record kept; it may be older than the record of keys reaches".into()
        }
        KeyState::Free => "free".into(),
        KeyState::Held { host, since_ms, until_ms } => format!(
            "held by {} since {}, which does not dispatch it after {}",
            by(host),
            format_time(*since_ms),
            format_time(*until_ms)
        ),
        KeyState::Unknown { host, since_ms } => {
            format!("not known whether it ran; so said {} at {}", by(host), format_time(*since_ms))
        }
        KeyState::Settled { verdict, offset } => {
            format!("settled at offset {offset}: {}", verdict.name())
        }
        KeyState::Ran => "ran, its answer is not recorded".into(),
    };
    let mut text = format!("`{}` {state}; as of offset {}", report.key, report.offset);
    if let Some(word) = &report.word {
        let ran = if word.ran { "ran" } else { "not run" };
        let _ = write!(
            text,
            "\nword of `{}` at offset {}: {ran}, {}",
            word.operator, word.offset, word.note
        );
    }
    if !report.current {
        text.push_str("\nthe log could not be read to its end; ask again or another host");
    }
    text
}

/// Formats the outcome of settling a key.
pub(crate) fn settled(settle: &Settle, settled: &Settled, json: bool) -> CommandOutput {
    let (exit, text) = match settled {
        Settled::Taken { offset } if settle.ran => {
            (ExitStatus::Success, format!("recorded at offset {offset}: `{}` ran", settle.key))
        }
        Settled::Taken { offset } => (
            ExitStatus::Success,
            format!("recorded at offset {offset}: `{}` may be sent again", settle.key),
        ),
        Settled::Rejected { code, message } => {
            (ExitStatus::Rejected, format!("rejected, nothing changed: {code}: {message}"))
        }
        Settled::Unknown { message } => (
            ExitStatus::Unknown,
            format!("not known whether it took effect: {message}; look with `roseshore key`"),
        ),
    };
    CommandOutput::new(exit, json, settled, text)
}

/// Formats the table of daemons.
pub(crate) fn status(status: &Status) -> String {
    let daemons = table(
        &["host", "data centre", "state", "config", "digest"],
        status.daemons.iter().map(|it| {
            let offset = it.offset.to_string();
            vec![
                it.host.clone(),
                it.data_centre.clone(),
                it.state.clone(),
                offset,
                it.digest.clone(),
            ]
        }),
    );
    let log = if status.log { "answers" } else { "does not answer" };
    format!("{daemons}\nas seen by `{}`; the log service {log} there", status.host)
}

/// Formats the spans of a request as a tree, each with its start and duration.
pub(crate) fn tree(span: &Span) -> String {
    let mut out = String::new();
    write_span(&mut out, span, "", "");
    out
}

/// Writes a span and its children. `head` precedes the span itself, `below` its children.
fn write_span(out: &mut String, span: &Span, head: &str, below: &str) {
    let took = span.took_us.map_or_else(|| "open".into(), format_millis);
    let fields = span.fields.join(" ");
    let start = format_millis(span.start_us);
    let _ = writeln!(out, "{head}{} at {start} took {took} {fields}", span.name);
    for (index, child) in span.children.iter().enumerate() {
        let last = index + 1 == span.children.len();
        let (fork, rail) = if last { ("└─ ", "   ") } else { ("├─ ", "│  ") };
        write_span(out, child, &format!("{below}{fork}"), &format!("{below}{rail}"));
    }
}

fn table(headers: &[&str], rows: impl Iterator<Item = Vec<String>>) -> Table {
    let mut table = Table::new();
    table.load_style(presets::UTF8_HORIZONTAL_ONLY);
    table.set_header(headers.to_vec());
    for row in rows {
        table.add_row(row);
    }
    table
}

fn format_millis(us: u64) -> String {
    format!("{:.3} ms", us as f64 / 1000.0)
}

fn format_seconds(ms: i64) -> String {
    format!("{:.3} s", ms as f64 / 1000.0)
}

fn format_time(ms: u64) -> String {
    humantime::format_rfc3339_millis(wall::time(ms)).to_string()
}

fn format_date(ms: u64) -> String {
    format_time(ms).chars().take(10).collect()
}

/// [`ExitStatus::Partial`] if some hosts could not be queried.
fn exit_status(reply: &Reply) -> ExitStatus {
    if reply.unasked.is_empty() { ExitStatus::Success } else { ExitStatus::Partial }
}
