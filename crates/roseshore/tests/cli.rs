//! Tests the command line: exit codes, filters, and output as text and as JSON.

use roseshore::client::{Answer, CallError, Client};
use roseshore_core::prelude::*;
use std::net::SocketAddr;

/// Client that answers every path with one body, or refuses the connection.
struct FixedAnswer(Option<&'static str>);

impl Client for FixedAnswer {
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
const ADVISORY: &str = r#"{"rows":{"account":[{"week_ms":1782691200000,"service":"a-notes","organisation":"mirrors",
    "answered":9,"late":2,"repeated":1,"refused":0,"unsettled":0},{"week_ms":1782691200000,"service":"z-advisories",
    "organisation":"mirrors","answered":9,"late":2,"repeated":1,"refused":0,"unsettled":0,"missed":4,"advisory":true}]}}"#;
const TRACE: &str = r#"{"request":"q1","spans":{"name":"request","start_us":0,"took_us":4000,"children":[
    {"name":"admit","start_us":10,"took_us":20,"children":[{"name":"wait","start_us":11,"took_us":null}]},
    {"name":"stage","start_us":40,"took_us":3900,"fields":["target=e0"]}]}}"#;
const STATUS: &str = r#"{"host":"kor-1","log":false,"daemons":[{"host":"kor-1","data_centre":"korangi",
    "state":"alive","offset":7,"digest":"00ff"}]}"#;

const FREE: &str = r#"{"key":"o/s/k","offset":7,"current":true,"complete":true,"state":{"state":"free"},"word":null}"#;
const STALE: &str = r#"{"key":"o/s/k","offset":7,"current":false,"complete":true,"state":{"state":"free"},"word":null}"#;
const HELD: &str = r#"{"key":"o/s/k","offset":7,"current":true,"complete":true,"word":null,
    "state":{"state":"held","host":"kor-1","since_ms":1782691200000,"until_ms":1782691260000}}"#;
const KEY: &[&str] = &["key", "o", "s", "k"];
const SETTLE: &[&str] =
    &["settle", "o", "s", "k", "--not-run", "--note", "looked", "--operator", "op"];

// One case per line.
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
    Case { name: "a free key", args: KEY, answer: Some(FREE), exit: 0, says: "`o/s/k` free; as of offset 7" },
    Case { name: "a held key", args: KEY, answer: Some(HELD), exit: 0, says: "held by `kor-1` since 2026-06-29" },
    Case { name: "a key, log out", args: KEY, answer: Some(STALE), exit: 3, says: "could not be read" },
    Case { name: "nobody to ask about a key", args: KEY, answer: None, exit: 4, says: "not reached" },
    Case { name: "settled", args: SETTLE, answer: Some(r#"{"outcome":"taken","offset":9}"#), exit: 0, says: "may be sent again" },
    Case { name: "not settled", args: SETTLE, answer: Some(r#"{"outcome":"rejected","code":"CommandConflict","message":"m"}"#), exit: 1, says: "RS701: m" },
    Case { name: "perhaps settled", args: SETTLE, answer: Some(r#"{"outcome":"unknown","message":"m"}"#), exit: 3, says: "roseshore key" },
    Case { name: "nobody to settle", args: SETTLE, answer: None, exit: 4, says: "not reached" },
    Case { name: "not yet everywhere", args: &["command", "c"], answer: Some(r#"{"command":"c","outcome":{"outcome":"accepted","version":4,"in_force":["a"],"unconfirmed":["b"]}}"#), exit: 5, says: "not yet confirmed in `b`" },
];

#[test]
fn commands_show_and_exit() {
    for case in CASES {
        let args = ["roseshore"].iter().chain(case.args);
        let matches = roseshore::cli::command().try_get_matches_from(args).expect(case.name);
        let done = roseshore::run(&matches, &FixedAnswer(case.answer));
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

/// Client that loses the reply to `settle`. It then reports the key in the state of the first field,
/// by a decision of the operator in the second.
struct Lost(&'static str, &'static str);

impl Client for Lost {
    fn call(
        &self,
        _: SocketAddr,
        path: &str,
        body: Option<String>,
        _: Duration,
    ) -> Result<Answer, CallError> {
        if body.is_some() {
            return Err(CallError::Lost("cut".into()));
        }
        assert_eq!(path, "/v1/admin/keys?organisation=o&service=s&key=a%2Fb%26c", "encoded");
        let Lost(state, operator) = self;
        let body = format!(
            r#"{{"key":"k","offset":7,"current":true,"complete":true,"state":{{"state":"{state}"}},
            "word":{{"operator":"{operator}","note":"looked","ran":false,"offset":6}}}}"#
        );
        Ok(Answer { status: 200, body: body.into() })
    }
}

#[test]
fn a_lost_reply_is_made_up_for_by_looking() {
    struct Case {
        name: &'static str,
        state: &'static str,
        operator: &'static str,
        exit: u8,
    }
    let cases = [
        Case { name: "own word stands", state: "free", operator: "op", exit: 0 },
        Case { name: "another's word stands", state: "free", operator: "other", exit: 3 },
        Case { name: "own word, run since", state: "ran", operator: "op", exit: 3 },
    ];
    for case in cases {
        let args = ["roseshore", "settle", "o", "s", "a/b&c", "--not-run", "--note", "looked"];
        let args = args.into_iter().chain(["--operator", "op"]);
        let matches = roseshore::cli::command().try_get_matches_from(args).expect(case.name);
        let done = roseshore::run(&matches, &Lost(case.state, case.operator));
        assert_eq!(done.exit as u8, case.exit, "{}: {}", case.name, done.out);
    }
}

#[test]
fn advisory_services_come_first_in_the_account() {
    let matches =
        roseshore::cli::command().try_get_matches_from(["roseshore", "account", "--week"]);
    let done = roseshore::run(&matches.expect("a command"), &FixedAnswer(Some(ADVISORY)));
    let places = ["missed", "z-advisories*", "a-notes"].map(|it| done.out.find(it));
    assert!(places[0].is_some() && places.is_sorted(), "{places:?}: {}", done.out);
}
