//! The command language: exit codes, filters, and what people and programs are shown.

use roseshore::client::{Answer, CallError, Client};
use roseshore_core::prelude::*;
use std::net::SocketAddr;

/// Answers every path with one body, or not at all.
struct Canned(Option<&'static str>);

impl Client for Canned {
    fn call(
        &self,
        _: SocketAddr,
        _: &str,
        _: Option<String>,
        _: Duration,
    ) -> Result<Answer, CallError> {
        let body = self.0.ok_or_else(|| CallError::Unreached("refused".into()))?;
        Ok(Answer { status: 200, body: body.into() })
    }
}

struct Case {
    name: &'static str,
    args: &'static [&'static str],
    answer: Option<&'static str>,
    exit: u8,
    says: &'static str,
}

const LATE: &str = r#"{"rows":{"late":[{"origin":{"request":"q1","service":"advisories","organisation":"mirrors",
    "data_centre":"korangi","host":"kor-1"},"ended_ms":1000,"late_ms":2500,"verdict":"answered","resumed":1}]},
    "unasked":["lan-2"]}"#;
const ACCOUNT: &str = r#"{"rows":{"account":[{"week_ms":1782691200000,"service":"advisories","organisation":"mirrors",
    "answered":9,"late":2,"repeated":1,"refused":0,"unsettled":0}]}}"#;
const TRACE: &str = r#"{"request":"q1","spans":{"name":"request","start_us":0,"took_us":4000,"children":[
    {"name":"admit","start_us":10,"took_us":20,"children":[{"name":"wait","start_us":11,"took_us":null}]},
    {"name":"stage","start_us":40,"took_us":3900,"fields":["target=e0"]}]}}"#;
const STATUS: &str = r#"{"host":"kor-1","log":false,"daemons":[{"host":"kor-1","data_centre":"korangi",
    "state":"alive","offset":7,"digest":"00ff"}]}"#;

// One case a line.
#[rustfmt::skip]
const CASES: &[Case] = &[
    Case { name: "late rows", args: &["late", "service=advisories", "since=1h"], answer: Some(LATE), exit: 6, says: "2.500 s" },
    Case { name: "who was not asked", args: &["late"], answer: Some(LATE), exit: 6, says: "not asked, their rows are missing: `lan-2`" },
    Case { name: "JSON", args: &["--json", "late"], answer: Some(LATE), exit: 6, says: "\"unasked\": [\n    \"lan-2\"" },
    Case { name: "the account", args: &["account", "--week"], answer: Some(ACCOUNT), exit: 0, says: "2026-06-29" },
    Case { name: "a tree", args: &["explain", "q1"], answer: Some(TRACE), exit: 0, says: "│  └─ wait at 0.011 ms took open" },
    Case { name: "a tree's end", args: &["explain", "q1"], answer: Some(TRACE), exit: 0, says: "└─ stage at 0.040 ms took 3.900 ms target=e0" },
    Case { name: "status", args: &["status"], answer: Some(STATUS), exit: 0, says: "the log service does not answer there" },
    Case { name: "draining", args: &["drain", "127.0.0.1:9"], answer: Some(r#"{"host":"kor-1"}"#), exit: 0, says: "`kor-1` takes no new work" },
    Case { name: "draining a name", args: &["drain", "kor-1"], answer: None, exit: 2, says: "`kor-1` is not an address" },
    Case { name: "an unknown filter", args: &["running", "zone=x"], answer: Some(LATE), exit: 2, says: "`zone` is no filter" },
    Case { name: "a filter without a value", args: &["running", "service"], answer: Some(LATE), exit: 2, says: "`service` has no value" },
    Case { name: "a time that is none", args: &["refused", "since=long"], answer: Some(LATE), exit: 2, says: "`long` is not a time" },
    Case { name: "nobody there", args: &["running"], answer: None, exit: 4, says: "host `127.0.0.1:8080`: not reached" },
    Case { name: "an answer of another shape", args: &["status"], answer: Some("{}"), exit: 4, says: "answer not understood" },
    Case { name: "no such file", args: &["apply", "missing.toml"], answer: None, exit: 2, says: "file `missing.toml`" },
    Case { name: "a command not known", args: &["command", "c"], answer: Some(r#"{"command":"c","outcome":{"outcome":"unknown","message":"m"}}"#), exit: 3, says: "ask again" },
    Case { name: "not yet everywhere", args: &["command", "c"], answer: Some(r#"{"command":"c","outcome":{"outcome":"accepted","version":4,"in_force":["a"],"unconfirmed":["b"]}}"#), exit: 5, says: "not yet confirmed in `b`" },
];

#[test]
fn commands_show_and_exit() {
    for case in CASES {
        let args = ["roseshore"].iter().chain(case.args);
        let matches = roseshore::cli::command().try_get_matches_from(args).expect(case.name);
        let done = roseshore::run(&matches, &Canned(case.answer));
        let all = format!("{}{}", done.out, done.err);
        assert_eq!(done.exit as u8, case.exit, "{}: {all}", case.name);
        assert!(all.contains(case.says), "{}: {all}", case.name);
    }
}

#[test]
fn the_language_is_sound_and_its_help_names_every_exit() {
    let mut command = roseshore::cli::command();
    command.clone().debug_assert();
    let help = command.render_long_help().to_string();
    assert!((0..=6).all(|exit| help.contains(&format!("\n  {exit}  "))), "{help}");
}
