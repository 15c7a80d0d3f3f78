//! Tests of the platform's states with given times, and of the fakes as programs.

use roseshore_core::prelude::*;
use roseshore_fakes::platform::hosts::HostsState;
use roseshore_fakes::platform::log::{LogState, Retention};
use roseshore_fakes::platform::weights::WeightsState;
use roseshore_wire::platform::{Host, HostState, Trimmed};
use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};

const SECOND: Duration = Duration::from_secs(1);

fn one() -> Vec<String> {
    vec!["r".to_owned()]
}

#[test]
fn appends_refill_with_time_and_not_beyond_the_burst() {
    let t0 = Instant::now();
    let mut log = LogState::new(20.0, Retention::default(), t0);
    let mut taken =
        |now: Instant| (0..100).filter(|_| log.append("s", one(), now, 0).is_some()).count();
    assert_eq!(taken(t0), 2, "the burst");
    assert_eq!(taken(t0 + SECOND / 20), 1, "one more");
    assert_eq!(taken(t0 + 100 * SECOND), 2, "never more than the burst");
}

#[test]
fn records_go_when_they_are_too_old_and_times_never_fall() {
    let t0 = Instant::now();
    let keep = Retention { count: None, age: Some(SECOND) };
    let mut log = LogState::new(1000.0, keep, t0);
    for time_ms in [1000, 500, 3000] {
        log.append("s", one(), t0, time_ms).unwrap();
    }
    let times: Vec<u64> =
        log.read("s", 0, 9, 2000).unwrap().records.iter().map(|r| r.time_ms).collect();
    assert_eq!(times, [1000, 1000, 3000]);
    assert_eq!(log.read("s", 0, 9, 2001), Err(Trimmed { oldest: 2, end: 3 }));
}

#[test]
fn the_host_list_shows_changes_after_the_lag() {
    let t0 = Instant::now();
    let (data_centre, state) = ("clifton".to_owned(), HostState::Live);
    let host = Host { host: "h".to_owned(), data_centre, state, peer: None };
    let mut hosts = HostsState::new(vec![host], t0);
    assert!(hosts.leave("h", t0 + SECOND));
    let shown = |at: Duration| hosts.shown(t0 + at, 2 * SECOND).hosts[0].state;
    assert_eq!(shown(SECOND), HostState::Live, "before the first list's lag is over");
    assert_eq!(shown(Duration::from_millis(2999)), HostState::Live);
    assert_eq!(shown(3 * SECOND), HostState::Leaving);
    assert_eq!(hosts.shown(t0 + 3 * SECOND, 2 * SECOND).version, 1);
}

#[test]
fn fetches_of_weights_queue() {
    let t0 = Instant::now();
    let mut weights = WeightsState::new(100, t0);
    assert_eq!(weights.take(100, t0), t0 + SECOND);
    assert_eq!(weights.take(200, t0), t0 + 3 * SECOND);
    assert_eq!(weights.report(t0 + SECOND).backlog, 200);
    assert_eq!(weights.take(100, t0 + 10 * SECOND), t0 + 11 * SECOND);
}

const HOSTS: &str = r#"[{"host":"h","data_centre":"d","state":"live","peer":null}]"#;

/// The process of a fake, ended by its id when the test ends.
struct Program {
    child: Child,
    addr: String,
}

impl Program {
    fn start(path: &str, args: &[&str]) -> Program {
        let mut child = Command::new(path).args(args).stdout(Stdio::piped()).spawn().unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
        let addr = line.trim().strip_prefix("listening ").expect("one line with the address");
        Program { child, addr: addr.to_owned() }
    }

    fn get(&self, path: &str) -> String {
        let url = format!("http://{}{path}", self.addr);
        ureq::get(url).call().unwrap().body_mut().read_to_string().unwrap()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn programs_take_their_settings() {
    struct Case {
        name: &'static str,
        path: &'static str,
        args: &'static [&'static str],
        ask: &'static str,
        reply: &'static str,
    }
    let (platform, service) =
        (env!("CARGO_BIN_EXE_fake_platform"), env!("CARGO_BIN_EXE_fake_service"));
    let cases = [
        Case {
            name: "hosts",
            path: platform,
            args: &["--lag-ms", "0", "--hosts", HOSTS],
            ask: "/v1/hosts",
            reply: r#"{"version":0,"hosts":[{"host":"h","data_centre":"d","state":"live","peer":null}]}"#,
        },
        Case {
            name: "weight rate",
            path: platform,
            args: &["--weight-rate", "5"],
            ask: "/v1/weights",
            reply: r#"{"rate":5,"backlog":0}"#,
        },
        Case {
            name: "record",
            path: service,
            args: &["--record", "certs:card-1={\"a\":1}"],
            ask: "/v1/lookup/certs/card-1",
            reply: r#"{"a":1}"#,
        },
        Case {
            name: "generated record",
            path: service,
            args: &["--source", "main"],
            ask: "/v1/lookup/main/pkg-7",
            reply: r#"{"name":"pkg-7","version":"1.7.0"}"#,
        },
    ];
    for case in cases {
        let program = Program::start(case.path, case.args);
        assert_eq!(program.get(case.ask), case.reply, "{}", case.name);
    }
}

#[test]
fn a_replica_told_to_die_ends() {
    let mut program = Program::start(env!("CARGO_BIN_EXE_fake_service"), &[]);
    // The reply may be lost when the process exits.
    let _ = ureq::post(format!("http://{}/_fault", program.addr)).send(r#"{"die":true}"#);
    assert_eq!(program.child.wait().unwrap().code(), Some(70));
}
