//! The daemon's settings, by flags and environment variables.
//!
//! One table gives each setting its flag, its variable `ROSESHORE_…`, its default, its bounds and
//! its line of help. All of them are read before anything starts, and one message names every one
//! that is wrong.

use clap::{Arg, ArgAction, ArgMatches, Command};
use quick_error::quick_error;
use roseshore_core::prelude::*;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// What a setting may be.
enum Kind {
    /// A name of letters, digits, `-`, `_` and `.`.
    Name,
    /// `IP:PORT`.
    Addr,
    /// Several of `IP:PORT`, with commas between them.
    Addrs,
    /// A whole number.
    Count(RangeInclusive<u64>),
    /// One of a few words.
    Choice(&'static [&'static str]),
}

/// One row of the table.
struct Setting {
    flag: &'static str,
    default: Option<&'static str>,
    required: bool,
    kind: Kind,
    help: &'static str,
}

const fn row(
    flag: &'static str,
    default: Option<&'static str>,
    kind: Kind,
    help: &'static str,
) -> Setting {
    Setting { flag, default, required: false, kind, help }
}

const fn must(flag: &'static str, kind: Kind, help: &'static str) -> Setting {
    Setting { flag, default: None, required: true, kind, help }
}

const HOUR: u64 = 3_600_000;
const LEVELS: &[&str] = &["error", "warn", "info", "debug", "trace"];
const FORMATS: &[&str] = &["full", "bare"];

const TABLE: &[Setting] = &[
    must("host", Kind::Name, "This machine, as the host list names it"),
    must("data-centre", Kind::Name, "The data centre it is in"),
    row("listen", Some("0.0.0.0:8080"), Kind::Addr, "Where callers are heard, IP:PORT"),
    must("peer", Kind::Addr, "Where daemons reach this one, UDP and TCP, IP:PORT"),
    row("seeds", None, Kind::Addrs, "Other daemons' --peer, for a start without the host list"),
    must("log", Kind::Addr, "The platform's log service, IP:PORT"),
    row("host-list", None, Kind::Addr, "The platform's host list, IP:PORT [that of --log]"),
    row("weight-store", None, Kind::Addr, "The platform's weight store, IP:PORT [that of --log]"),
    row("connections", Some("1024"), Kind::Count(1..=65_536), "Connections of callers at once"),
    row("requests", Some("512"), Kind::Count(1..=65_536), "Requests worked on at once"),
    row("body-bytes", Some("1048576"), Kind::Count(1024..=67_108_864), "Longest body of a request"),
    row("caller-ms", Some("10000"), Kind::Count(50..=HOUR), "Time to send one whole request"),
    row("idle-ms", Some("60000"), Kind::Count(50..=HOUR), "Time a kept connection may lie idle"),
    row("write-ms", Some("10000"), Kind::Count(50..=HOUR), "Time a caller may block one write"),
    row("drain-ms", Some("600000"), Kind::Count(0..=24 * HOUR), "Longest wait for work in flight"),
    row(
        "grace-ms",
        Some("1000"),
        Kind::Count(0..=HOUR),
        "Shortest time refusals are given when leaving",
    ),
    row(
        "heartbeat-ms",
        Some("200"),
        Kind::Count(20..=10_000),
        "Between heartbeats to other daemons",
    ),
    row(
        "host-list-ms",
        Some("500"),
        Kind::Count(20..=60_000),
        "Between readings of the platform's host list",
    ),
    row("poll-ms", Some("250"), Kind::Count(20..=60_000), "Between polls of a target's load"),
    row("traces", Some("1024"), Kind::Count(0..=65_536), "Requests whose spans are kept"),
    row("log-level", Some("info"), Kind::Choice(LEVELS), "What is logged"),
    row("log-format", Some("full"), Kind::Choice(FORMATS), "Lines with time and level, or bare"),
];

quick_error! {
    /// Why the daemon does not start.
    #[derive(Debug)]
    pub enum SettingsError {
        /// One or more settings are wrong.
        Invalid(all: Vec<InvalidSetting>) {
            display("{}", list(all))
        }
        /// Help, the version, or a flag that does not exist.
        Usage(err: clap::Error) {
            display("{err}")
        }
    }
}

/// A setting that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSetting {
    /// The flag, without dashes.
    pub flag: &'static str,
    /// What was given, `None` for nothing.
    pub given: Option<String>,
    /// What is allowed.
    pub allowed: String,
}

fn list(all: &[InvalidSetting]) -> String {
    let mut text = format!("{} of the settings cannot be used:", all.len());
    for wrong in all {
        let given = wrong.given.as_ref().map_or("nothing".to_owned(), |it| format!("`{it}`"));
        let variable = variable(wrong.flag);
        let _ = write!(
            text,
            "\n  `--{}` or `{variable}`: given {given}, allowed {}",
            wrong.flag, wrong.allowed
        );
    }
    text
}

/// The settings of one daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This machine.
    pub host: HostId,
    /// Where it is.
    pub data_centre: DataCentreId,
    /// Where callers are heard.
    pub listen: SocketAddr,
    /// Where daemons reach this one, UDP and TCP.
    pub peer: SocketAddr,
    /// Daemons known before the host list has been read.
    pub seeds: Vec<SocketAddr>,
    /// The log service.
    pub log: SocketAddr,
    /// The host list.
    pub host_list: SocketAddr,
    /// The weight store.
    pub weight_store: SocketAddr,
    /// Connections of callers at once.
    pub connections: usize,
    /// Requests worked on at once.
    pub requests: usize,
    /// Longest body of a request, bytes.
    pub body_bytes: usize,
    /// Time to send one whole request.
    pub read_timeout: Duration,
    /// Time a kept connection may lie idle.
    pub idle_timeout: Duration,
    /// Time a caller may block one write.
    pub write_timeout: Duration,
    /// Longest wait for work in flight when leaving.
    pub drain_timeout: Duration,
    /// Shortest time in which refusals are given when leaving.
    pub grace: Duration,
    /// Between heartbeats.
    pub heartbeat: Duration,
    /// Between readings of the host list.
    pub list_interval: Duration,
    /// Between polls of a target.
    pub poll: Duration,
    /// Requests whose spans are kept.
    pub traces: usize,
    /// What is logged.
    pub log_level: log::LevelFilter,
    /// Whether lines are logged without time and level.
    pub bare_log: bool,
    /// Whether only the settings are to be checked.
    pub check: bool,
}

impl Settings {
    /// Reads flags (the program's name first) and, for those not given, environment variables.
    ///
    /// # Errors
    /// Every wrong setting at once, or what `clap` has to say.
    pub fn read<I: IntoIterator<Item = String>>(args: I) -> Result<Settings, SettingsError> {
        let matches = command().try_get_matches_from(args).map_err(SettingsError::Usage)?;
        let wrong = check(&matches);
        if !wrong.is_empty() {
            return Err(SettingsError::Invalid(wrong));
        }
        Ok(Settings::collect(&Values { matches }))
    }

    fn collect(values: &Values) -> Settings {
        let log = values.addr("log").unwrap_or(UNSET);
        Settings {
            host: values.text("host"),
            data_centre: values.text("data-centre"),
            listen: values.addr("listen").unwrap_or(UNSET),
            peer: values.addr("peer").unwrap_or(UNSET),
            seeds: values.addrs("seeds"),
            log,
            host_list: values.addr("host-list").unwrap_or(log),
            weight_store: values.addr("weight-store").unwrap_or(log),
            connections: values.count("connections") as usize,
            requests: values.count("requests") as usize,
            body_bytes: values.count("body-bytes") as usize,
            read_timeout: values.millis("caller-ms"),
            idle_timeout: values.millis("idle-ms"),
            write_timeout: values.millis("write-ms"),
            drain_timeout: values.millis("drain-ms"),
            grace: values.millis("grace-ms"),
            heartbeat: values.millis("heartbeat-ms"),
            list_interval: values.millis("host-list-ms"),
            poll: values.millis("poll-ms"),
            traces: values.count("traces") as usize,
            log_level: values.text("log-level").parse().unwrap_or(log::LevelFilter::Info),
            bare_log: values.text("log-format") == "bare",
            check: values.matches.get_flag("check"),
        }
    }
}

const UNSET: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Values that [`check`] has passed.
struct Values {
    matches: ArgMatches,
}

impl Values {
    fn get(&self, flag: &str) -> Option<&str> {
        self.matches.get_one::<String>(flag).map(String::as_str)
    }

    fn text(&self, flag: &str) -> String {
        self.get(flag).unwrap_or_default().to_owned()
    }

    fn addr(&self, flag: &str) -> Option<SocketAddr> {
        self.get(flag)?.parse().ok()
    }

    fn addrs(&self, flag: &str) -> Vec<SocketAddr> {
        let parts = self.get(flag).unwrap_or_default().split(',');
        parts.filter_map(|it| it.parse().ok()).collect()
    }

    fn count(&self, flag: &str) -> u64 {
        self.get(flag).and_then(|it| it.parse().ok()).unwrap_or_default()
    }

    fn millis(&self, flag: &str) -> Duration {
        Duration::from_millis(self.count(flag))
    }
}

/// The daemon's command line.
pub fn command() -> Command {
    let check = Arg::new("check")
        .long("check")
        .action(ArgAction::SetTrue)
        .help("Check the settings and end: 0 if they can be used, 2 if not");
    Command::new("roseshored")
        .version(clap::crate_version!())
        .args_override_self(true)
        .about("Routes requests to model pipelines, lookup and plain services")
        .after_help("Ends with 0 after a drain, 1 when it cannot start, 2 for wrong settings.")
        .args(TABLE.iter().map(arg))
        .arg(check)
}

fn arg(setting: &Setting) -> Arg {
    let arg = Arg::new(setting.flag)
        .long(setting.flag)
        .env(variable(setting.flag))
        .value_name(shape(&setting.kind))
        .help(setting.help);
    match setting.default {
        Some(default) => arg.default_value(default),
        None => arg,
    }
}

/// The environment variable of a flag.
fn variable(flag: &str) -> String {
    format!("ROSESHORE_{}", flag.replace('-', "_").to_uppercase())
}

fn shape(kind: &Kind) -> &'static str {
    match kind {
        Kind::Name => "NAME",
        Kind::Addr => "IP:PORT",
        Kind::Addrs => "IP:PORT,…",
        Kind::Count(_) => "N",
        Kind::Choice(_) => "WORD",
    }
}

fn check(matches: &ArgMatches) -> Vec<InvalidSetting> {
    let mut wrong = Vec::new();
    for setting in TABLE {
        let given = matches.get_one::<String>(setting.flag);
        let fits = match given {
            Some(text) => fits(&setting.kind, text),
            None => !setting.required,
        };
        if !fits {
            let allowed = allowed(&setting.kind);
            wrong.push(InvalidSetting { flag: setting.flag, given: given.cloned(), allowed });
        }
    }
    wrong
}

fn fits(kind: &Kind, text: &str) -> bool {
    match kind {
        Kind::Name => is_name(text),
        Kind::Addr => text.parse::<SocketAddr>().is_ok(),
        Kind::Addrs => text.split(',').all(|it| it.parse::<SocketAddr>().is_ok()),
        Kind::Count(range) => text.parse().is_ok_and(|it| range.contains(&it)),
        Kind::Choice(words) => words.contains(&text),
    }
}

fn is_name(text: &str) -> bool {
    let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    (1..=64).contains(&text.len()) && text.chars().all(plain)
}

fn allowed(kind: &Kind) -> String {
    match kind {
        Kind::Name => "1 to 64 letters, digits, `-`, `_` or `.`".to_owned(),
        Kind::Addr => "an IP number and a port, as in `127.0.0.1:8080`".to_owned(),
        Kind::Addrs => "IP numbers with ports and commas between them".to_owned(),
        Kind::Count(range) => format!("a whole number from {} to {}", range.start(), range.end()),
        Kind::Choice(words) => format!("one of `{}`", words.join("`, `")),
    }
}
