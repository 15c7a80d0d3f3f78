//! Tables and lines for people.

use crate::{Done, Exit};
use comfy_table::{Table, presets};
use roseshore_core::declare::Diff;
use roseshore_core::prelude::*;
use roseshore_core::wall;
use roseshore_wire::admin::{KeyReport, KeyState, Outcome, Report, Settle, Settled, Status};
use roseshore_wire::query::{AccountRow, Origin, Reply, Rows};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::fmt::Write as _;

/// A request's spans.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Trace {
    request: RequestId,
    pub(crate) spans: Span,
}

/// One span of a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Span {
    name: String,
    start_us: u64,
    took_us: Option<u64>,
    #[serde(default)]
    fields: Vec<String>,
    #[serde(default)]
    children: Vec<Span>,
}

/// A difference that is not sent.
pub(crate) fn difference(diff: &Diff, json: bool) -> Done {
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
    Done::new(Exit::Good, json, &value, text)
}

/// What became of a command.
pub(crate) fn report(report: &Report, json: bool) -> Done {
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
            (if unconfirmed.is_empty() { Exit::Good } else { Exit::Unconfirmed }, text)
        }
        Outcome::Rejected { code, message, .. } => (
            Exit::Rejected,
            format!("command `{id}` rejected, nothing changed ({code}): {message}"),
        ),
        Outcome::Unknown { message } => (
            Exit::Unknown,
            format!(
                "whether command `{id}` took effect is not known: {message}\nask again with \
                 `roseshore command {id}`"
            ),
        ),
    };
    Done::new(exit, json, report, text)
}

/// Rows about requests.
pub(crate) fn rows(reply: &Reply, json: bool) -> Done {
    let mut text = table_of(&reply.rows).to_string();
    if !reply.unasked.is_empty() {
        let hosts: Vec<String> = reply.unasked.iter().map(|it| format!("`{it}`")).collect();
        let _ = write!(text, "\nnot asked, their rows are missing: {}", hosts.join(", "));
    }
    if reply.cut {
        text.push_str("\nmore rows were left out; narrow the filter");
    }
    Done::new(completeness(reply), json, reply, text)
}

fn table_of(rows: &Rows) -> Table {
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
    let heads = |more: &[&'static str]| [&ORIGIN[..], more].concat();
    match rows {
        Rows::Running(rows) => table(
            &heads(&["begun", "time left"]),
            rows.iter().map(|it| {
                [origin(&it.origin), vec![time(it.begun_ms), millis(it.left_ms)]].concat()
            }),
        ),
        Rows::Late(rows) => table(
            &heads(&["ended", "late by", "verdict", "re-routes"]),
            rows.iter().map(|it| {
                let late = millis(it.late_ms.cast_signed());
                let more =
                    [time(it.ended_ms), late, it.verdict.name().into(), it.resumed.to_string()];
                [origin(&it.origin), more.to_vec()].concat()
            }),
        ),
        Rows::Refused(rows) => table(
            &heads(&["ended", "verdict", "code", "why"]),
            rows.iter().map(|it| {
                let code = it.code;
                let more = [
                    time(it.ended_ms),
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

/// Advisory services first; a `*` marks them.
fn account(rows: &[AccountRow]) -> Table {
    let heads = [
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
        let mark = if it.advisory { "*" } else { "" };
        let service = format!("{}{mark}", it.service);
        let counts = [it.answered, it.late, it.repeated, it.refused, it.unsettled, it.missed];
        let mut cells = vec![date(it.week_ms), service, it.organisation.clone()];
        cells.extend(counts.iter().map(u64::to_string));
        cells
    };
    table(&heads, rows.into_iter().map(cells))
}

/// What is known of a key.
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
            time(*since_ms),
            time(*until_ms)
        ),
        KeyState::Unknown { host, since_ms } => {
            format!("not known whether it ran; so said {} at {}", by(host), time(*since_ms))
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

/// What became of a word on a key.
pub(crate) fn settled(settle: &Settle, settled: &Settled, json: bool) -> Done {
    let (exit, text) = match settled {
        Settled::Taken { offset } if settle.ran => {
            (Exit::Good, format!("recorded at offset {offset}: `{}` ran", settle.key))
        }
        Settled::Taken { offset } => {
            (Exit::Good, format!("recorded at offset {offset}: `{}` may be sent again", settle.key))
        }
        Settled::Rejected { code, message } => {
            (Exit::Rejected, format!("rejected, nothing changed: {code}: {message}"))
        }
        Settled::Unknown { message } => (
            Exit::Unknown,
            format!("not known whether it took effect: {message}; look with `roseshore key`"),
        ),
    };
    Done::new(exit, json, settled, text)
}

/// The daemons.
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

/// A request's spans, each with its start and length.
pub(crate) fn tree(span: &Span) -> String {
    let mut out = String::new();
    branch(&mut out, span, "", "");
    out
}

fn branch(out: &mut String, span: &Span, head: &str, below: &str) {
    let took = span.took_us.map_or_else(|| "open".into(), micros);
    let fields = span.fields.join(" ");
    let start = micros(span.start_us);
    let _ = writeln!(out, "{head}{} at {start} took {took} {fields}", span.name);
    for (index, child) in span.children.iter().enumerate() {
        let last = index + 1 == span.children.len();
        let (fork, rail) = if last { ("└─ ", "   ") } else { ("├─ ", "│  ") };
        branch(out, child, &format!("{below}{fork}"), &format!("{below}{rail}"));
    }
}

fn table(heads: &[&str], rows: impl Iterator<Item = Vec<String>>) -> Table {
    let mut table = Table::new();
    table.load_style(presets::UTF8_HORIZONTAL_ONLY);
    table.set_header(heads.to_vec());
    for row in rows {
        table.add_row(row);
    }
    table
}

fn micros(us: u64) -> String {
    format!("{:.3} ms", us as f64 / 1000.0)
}

fn millis(ms: i64) -> String {
    format!("{:.3} s", ms as f64 / 1000.0)
}

fn time(ms: u64) -> String {
    humantime::format_rfc3339_millis(wall::time(ms)).to_string()
}

fn date(ms: u64) -> String {
    time(ms).chars().take(10).collect()
}

/// How complete an answer is.
fn completeness(reply: &Reply) -> Exit {
    if reply.unasked.is_empty() { Exit::Good } else { Exit::Partial }
}
