//! The daemon's settings, from flags and environment variables.
//!
//! One table gives each setting its flag, variable (`ROSESHORE_…`), default, range and help text.
//! All settings are read before anything starts, and one error message names all invalid ones.

use clap::{Arg, ArgAction, ArgMatches, Command};
use quick_error::quick_error;
use roseshore_core::prelude::*;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// The type of a setting's value.
enum Kind {
    /// 1 to 64 letters, digits, `-`, `_` and `.`.
    Name,
    /// `IP:PORT`.
    Addr,
    /// `IP:PORT` addresses, separated by commas.
    Addrs,
    /// A whole number in a range.
    Count(RangeInclusive<u64>),
    /// One of the given words.
    Choice(&'static [&'static str]),
}

/// One row of [`TABLE`].
struct Setting {
    flag: &'static str,
    default: Option<&'static str>,
    required: bool,
    kind: Kind,
    help: &'static str,
}

const fn optional(
    flag: &'static str,
    default: Option<&'static str>,
    kind: Kind,
    help: &'static str,
) -> Setting {
    Setting { flag, default, required: false, kind, help }
}

const fn required(flag: &'static str, kind: Kind, help: &'static str) -> Setting {
    Setting { flag, default: None, required: true, kind, help }
}

/// One hour, in milliseconds.
const HOUR: u64 = 3_600_000;
const LEVELS: &[&str] = &["error", "warn", "info", "debug", "trace"];
const FORMATS: &[&str] = &["full", "bare"];

const TABLE: &[Setting] = &[
    required("host", Kind::Name, "Name of this host in the host list"),
    required("data-centre", Kind::Name, "Data centre of this host"),
    optional("listen", Some("0.0.0.0:8080"), Kind::Addr, "Address for callers, IP:PORT"),
    required("peer", Kind::Addr, "Address for other daemons, UDP and TCP, IP:PORT"),
    optional(
        "seeds",
        None,
        Kind::Addrs,
        "Other daemons' --peer addresses, for a start without the host list",
    ),
    required("log", Kind::Addr, "The platform's log service, IP:PORT"),
    optional("host-list", None, Kind::Addr, "The platform's host list, IP:PORT [that of --log]"),
    optional(
        "weight-store",
        None,
        Kind::Addr,
        "The platform's weight store, IP:PORT [that of --log]",
    ),
    optional(
        "connections",
        Some("1024"),
        Kind::Count(1..=65_536),
        "Maximum concurrent connections",
    ),
    optional("requests", Some("512"), Kind::Count(1..=65_536), "Maximum concurrent requests"),
    optional(
        "body-bytes",
        Some("1048576"),
        Kind::Count(1024..=67_108_864),
        "Maximum size of a request body, bytes",
    ),
    optional(
        "memory-mb",
        Some("256"),
        Kind::Count(16..=1_048_576),
        "Memory of the process, MB; request bodies may take a quarter of it",
    ),
    optional(
        "caller-ms",
        Some("10000"),
        Kind::Count(50..=HOUR),
        "Maximum time for a caller to send a request",
    ),
    optional("idle-ms", Some("60000"), Kind::Count(50..=HOUR), "Maximum idle time of a connection"),
    optional(
        "write-ms",
        Some("10000"),
        Kind::Count(50..=HOUR),
        "Maximum time a write to a caller may block",
    ),
    optional(
        "drain-ms",
        Some("600000"),
        Kind::Count(0..=24 * HOUR),
        "Maximum wait for requests in flight during a drain",
    ),
    optional(
        "grace-ms",
        Some("1000"),
        Kind::Count(0..=HOUR),
        "Minimum time to answer with refusals during a drain",
    ),
    optional(
        "heartbeat-ms",
        Some("200"),
        Kind::Count(20..=10_000),
        "Interval between heartbeats to other daemons",
    ),
    optional(
        "host-list-ms",
        Some("500"),
        Kind::Count(20..=60_000),
        "Interval between reads of the platform's host list",
    ),
    optional(
        "poll-ms",
        Some("250"),
        Kind::Count(20..=60_000),
        "Interval between polls of a target's load",
    ),
    optional(
        "traces",
        Some("1024"),
        Kind::Count(0..=65_536),
        "Number of requests whose spans are kept",
    ),
    optional("log-level", Some("info"), Kind::Choice(LEVELS), "Lowest level that is logged"),
    optional(
        "log-format",
        Some("full"),
        Kind::Choice(FORMATS),
        "Log lines with time and level (full) or without (bare)",
    ),
];

quick_error! {
    /// Why the settings cannot be used.
    #[derive(Debug)]
    pub enum SettingsError {
        /// One or more settings are invalid.
        Invalid(all: Vec<InvalidSetting>) {
            display("{}", list(all))
        }
        /// A request for help or the version, or an unknown flag.
        Usage(err: clap::Error) {
            display("{err}")
        }
    }
}

/// An invalid setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSetting {
    /// The flag, without leading dashes.
    pub flag: &'static str,
    /// The given value, or `None` if a required setting is missing.
    pub given: Option<String>,
    /// A description of the allowed values.
    pub allowed: String,
}

fn list(all: &[InvalidSetting]) -> String {
    let mut text = format!("{} of the settings cannot be used:", all.len());
    for invalid in all {
        let given = invalid.given.as_ref().map_or("nothing".to_owned(), |it| format!("`{it}`"));
        let variable = variable(invalid.flag);
        let _ = write!(
            text,
            "\n  `--{}` or `{variable}`: given {given}, allowed {}",
            invalid.flag, invalid.allowed
        );
    }
    text
}

/// The settings of one daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This host, as the host list names it.
    pub host: HostId,
    /// The data centre of this host.
    pub data_centre: DataCentreId,
    /// The address on which callers connect.
    pub listen: SocketAddr,
    /// The address at which other daemons reach this one, over UDP and TCP.
    pub peer: SocketAddr,
    /// Addresses of daemons to contact before the host list has been read.
    pub seeds: Vec<SocketAddr>,
    /// The address of the log service.
    pub log: SocketAddr,
    /// The address of the host list.
    pub host_list: SocketAddr,
    /// The address of the weight store.
    pub weight_store: SocketAddr,
    /// Most concurrent connections of callers.
    pub max_connections: usize,
    /// Most requests processed concurrently.
    pub max_requests: usize,
    /// Longest request body, bytes.
    pub max_body: usize,
    /// Memory of the process, bytes.
    pub memory: usize,
    /// Longest time for a caller to send one request.
    pub read_timeout: Duration,
    /// Longest idle time of a kept connection.
    pub idle_timeout: Duration,
    /// Longest time one write to a caller may block.
    pub write_timeout: Duration,
    /// Longest wait for requests in flight during a drain.
    pub drain_timeout: Duration,
    /// Minimum length of a drain; until the drain ends, new requests are answered with a refusal.
    pub grace_period: Duration,
    /// Interval between heartbeats.
    pub heartbeat_interval: Duration,
    /// Interval between reads of the host list.
    pub list_interval: Duration,
    /// Interval between polls of a target.
    pub poll_interval: Duration,
    /// Number of requests whose spans are kept.
    pub max_traces: usize,
    /// The lowest level that is logged.
    pub log_level: log::LevelFilter,
    /// Whether log lines omit time and level.
    pub bare_log: bool,
    /// Whether to check the settings only and exit.
    pub check: bool,
}

impl Settings {
    /// Reads the settings from `args`, the program's name first, and from environment variables for
    /// flags that are not given.
    ///
    /// # Errors
    /// All invalid settings together, or the usage error of `clap`.
    pub fn read<I: IntoIterator<Item = String>>(args: I) -> Result<Settings, SettingsError> {
        let matches = command().try_get_matches_from(args).map_err(SettingsError::Usage)?;
        let invalid = find_invalid(&matches);
        if !invalid.is_empty() {
            return Err(SettingsError::Invalid(invalid));
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
            max_connections: values.count("connections") as usize,
            max_requests: values.count("requests") as usize,
            max_body: values.count("body-bytes") as usize,
            memory: (values.count("memory-mb") as usize) << 20,
            read_timeout: values.millis("caller-ms"),
            idle_timeout: values.millis("idle-ms"),
            write_timeout: values.millis("write-ms"),
            drain_timeout: values.millis("drain-ms"),
            grace_period: values.millis("grace-ms"),
            heartbeat_interval: values.millis("heartbeat-ms"),
            list_interval: values.millis("host-list-ms"),
            poll_interval: values.millis("poll-ms"),
            max_traces: values.count("traces") as usize,
            log_level: values.text("log-level").parse().unwrap_or(log::LevelFilter::Info),
            bare_log: values.text("log-format") == "bare",
            check: values.matches.get_flag("check"),
        }
    }
}

const UNSET: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Parsed values that [`find_invalid`] has accepted.
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
        .help("Check the settings and exit with 0 if they can be used, 2 if not");
    Command::new("roseshored")
        .version(clap::crate_version!())
        .args_override_self(true)
        .about("Routes requests to model pipelines, lookup and plain services")
        .after_help("Ends with 0 after a drain, 1 when it cannot start, 2 for invalid settings.")
        .args(TABLE.iter().map(arg))
        .arg(check)
}

fn arg(setting: &Setting) -> Arg {
    let arg = Arg::new(setting.flag)
        .long(setting.flag)
        .env(variable(setting.flag))
        .value_name(value_name(&setting.kind))
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

fn value_name(kind: &Kind) -> &'static str {
    match kind {
        Kind::Name => "NAME",
        Kind::Addr => "IP:PORT",
        Kind::Addrs => "IP:PORT,…",
        Kind::Count(_) => "N",
        Kind::Choice(_) => "WORD",
    }
}

fn find_invalid(matches: &ArgMatches) -> Vec<InvalidSetting> {
    let mut invalid = Vec::new();
    for setting in TABLE {
        let given = matches.get_one::<String>(setting.flag);
        let fits = match given {
            Some(text) => fits(&setting.kind, text),
            None => !setting.required,
        };
        if !fits {
            let allowed = allowed(&setting.kind);
            invalid.push(InvalidSetting { flag: setting.flag, given: given.cloned(), allowed });
        }
    }
    invalid
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
