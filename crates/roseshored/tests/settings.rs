//! Settings from flags and environment variables, as the process reads them.

use std::process::{Command, Output};

struct Case {
    name: &'static str,
    flags: &'static [&'static str],
    variables: &'static [(&'static str, &'static str)],
    status: i32,
    output: &'static [&'static str],
}

const HOST: &str = "--host=h1";
const DATA_CENTRE: &str = "--data-centre=a";
const PEER: &str = "--peer=127.0.0.1:9";
const LOG: &str = "--log=127.0.0.1:9";

const CASES: &[Case] = &[
    Case {
        name: "flags",
        flags: &[HOST, DATA_CENTRE, PEER, LOG],
        variables: &[],
        status: 0,
        output: &["can be used"],
    },
    Case {
        name: "variables",
        flags: &[],
        variables: &[
            ("HOST", "h1"),
            ("DATA_CENTRE", "a"),
            ("LOG", "127.0.0.1:9"),
            ("PEER", "127.0.0.1:9"),
            ("SEEDS", "127.0.0.1:8,127.0.0.1:9"),
            ("REQUESTS", "7"),
        ],
        status: 0,
        output: &["can be used"],
    },
    Case {
        name: "a flag overrides its variable",
        flags: &[HOST, DATA_CENTRE, PEER, LOG, "--poll-ms=100"],
        variables: &[("POLL_MS", "soon")],
        status: 0,
        output: &["can be used"],
    },
    Case {
        name: "no settings given",
        flags: &[],
        variables: &[],
        status: 2,
        output: &[
            "E104 4 of",
            "`--host` or `ROSESHORE_HOST`: given nothing",
            "--data-centre",
            "--log",
        ],
    },
    Case {
        name: "several invalid settings",
        flags: &[
            "--host=a b",
            DATA_CENTRE,
            "--listen=localhost:80",
            "--caller-ms=1",
            "--log-level=loud",
        ],
        variables: &[
            ("LOG", "nowhere"),
            ("SEEDS", "one,two"),
            ("REQUESTS", "0"),
            ("BODY_BYTES", "1e6"),
        ],
        status: 2,
        output: &[
            "E104 9 of",
            "given `a b`, allowed 1 to 64 letters",
            "`localhost:80`, allowed an IP number and a port",
            "`1`, allowed a whole number from 50 to 3600000",
            "`loud`, allowed one of `error`, `warn`",
            "`ROSESHORE_LOG`: given `nowhere`",
            "`ROSESHORE_REQUESTS`: given `0`",
            "`ROSESHORE_SEEDS`: given `one,two`, allowed IP numbers with ports",
            "`ROSESHORE_PEER`: given nothing",
            "`1e6`, allowed a whole number from 1024",
        ],
    },
    Case {
        name: "unknown flag",
        flags: &["--speed=1"],
        variables: &[],
        status: 2,
        output: &["--speed"],
    },
    Case {
        name: "help",
        flags: &["--help"],
        variables: &[],
        status: 0,
        output: &["ROSESHORE_DRAIN_MS", "Ends with 0"],
    },
];

fn run(case: &Case) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_roseshored"));
    command.env_clear().arg("--check").args(case.flags);
    for (name, value) in case.variables {
        command.env(format!("ROSESHORE_{name}"), value);
    }
    command.output().expect("run")
}

#[test]
fn settings() {
    for case in CASES {
        let output = run(case);
        let text = [output.stdout, output.stderr].concat();
        let text = String::from_utf8_lossy(&text);
        assert_eq!(output.status.code(), Some(case.status), "{}: {text}", case.name);
        for part in case.output {
            assert!(text.contains(part), "{}: no `{part}` in {text}", case.name);
        }
    }
}
