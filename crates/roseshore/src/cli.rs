//! The command line: subcommands, flags and environment variables.

use clap::{Arg, ArgAction, ArgGroup, ArgMatches, Command};
use std::net::SocketAddr;
use std::time::Duration;

const SETTLE_HELP: &str = "\
The host that holds the key must be gone, and the time that `roseshore key` shows must have passed.
Only then check on the target whether the key ran, and settle it. Settling a key as not run lets it
run again.

Exit codes: 0 recorded; 1 rejected, nothing changed; 2 invalid command line; 3 unknown, check with
`roseshore key`; 4 no entry host was reached.";
const EXIT_CODES: &str = "\
Exit codes:
  0  success; a command was accepted and is in force everywhere
  1  rejected; nothing changed
  2  invalid command line; no request was sent
  3  unknown whether the command took effect; query it with `roseshore command ID` or `roseshore
     key`, which itself exits with 3 if the log cannot be read
  4  no entry host could be reached; nothing was asked
  5  accepted, but not yet confirmed in every data centre
  6  the result lacks the rows of hosts that could not be queried";

/// Global options of all commands.
#[derive(Clone, Debug)]
pub struct GlobalArgs {
    /// Addresses of the entry hosts, in the order in which they are tried.
    pub hosts: Vec<SocketAddr>,
    /// Whether to print JSON instead of text.
    pub json: bool,
}

/// Defines the command line.
pub fn command() -> Command {
    Command::new("roseshore")
        .about("Queries a fleet and changes its configuration")
        .after_help(EXIT_CODES)
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg(
            flag("hosts", "HOST:PORT,..", "IP addresses of the entry hosts, tried in this order")
                .value_delimiter(',')
                .action(ArgAction::Append)
                .default_value("127.0.0.1:8080")
                .global(true),
        )
        .arg(switch("json", "Prints JSON instead of text").global(true))
        .subcommand(apply())
        .subcommand(
            Command::new("command")
                .about("Shows the outcome of a command")
                .arg(Arg::new("ID").required(true).help("The id that `apply` printed")),
        )
        .subcommand(topic("running", "Lists requests in flight"))
        .subcommand(topic("late", "Lists answers that were late"))
        .subcommand(topic("refused", "Lists requests that were refused"))
        .subcommand(
            topic("account", "Counts late and repeated answers per week").arg(
                switch("week", "Only the current and the previous week").conflicts_with("FILTER"),
            ),
        )
        .subcommand(
            Command::new("explain")
                .about("Shows the spans of a request as a tree with times")
                .arg(Arg::new("REQUEST").required(true).help("The request's id")),
        )
        .subcommand(
            Command::new("drain")
                .about("Makes a daemon finish its requests in flight and accept no new ones")
                .arg(Arg::new("HOST").required(true).help("The daemon's HOST:PORT")),
        )
        .subcommand(key(Command::new("key").about("Shows the state of an idempotency key")))
        .subcommand(settle())
        .subcommand(Command::new("status").about("Lists the daemons and their configuration"))
}

fn apply() -> Command {
    Command::new("apply")
        .about("Puts declarations in force everywhere, or rejects them as a whole")
        .arg(
            Arg::new("PATH").required(true).num_args(1..).help(
                "TOML files, or folders with TOML files, which together form one declaration",
            ),
        )
        .arg(switch("dry-run", "Only shows the changes"))
        .arg(switch("prune", "Deletes objects that are in force but not declared"))
        .arg(
            flag(
                "wait",
                "TIME",
                "How long to wait until every data centre has confirmed the command",
            )
            .default_value("10s"),
        )
        .arg(flag("id", "ID", "The command's id; random by default"))
        .arg(flag("operator", "NAME", "Name of the operator").default_value("operator"))
}

fn settle() -> Command {
    key(Command::new("settle"))
        .about("Records whether a key ran if no host can tell; the first record is final")
        .after_help(SETTLE_HELP)
        .arg(switch(
            "ran",
            "The key ran; it never runs again, and repeats are answered accordingly",
        ))
        .arg(switch("not-run", "The key did not run; it may be sent again"))
        .group(ArgGroup::new("word").args(["ran", "not-run"]).required(true))
        .arg(flag("note", "TEXT", "The evidence for the decision").required(true))
        .arg(flag("operator", "NAME", "Name of the operator who decides").required(true))
}

fn key(command: Command) -> Command {
    let arg = |name: &'static str, help| Arg::new(name).required(true).help(help);
    command
        .arg(arg("ORGANISATION", "The organisation that owns the key"))
        .arg(arg("SERVICE", "The service that was called"))
        .arg(arg("KEY", "The key as the caller sent it"))
}

fn topic(name: &'static str, about: &'static str) -> Command {
    Command::new(name).about(about).arg(Arg::new("FILTER").num_args(0..).help(
        "service=NAME, organisation=NAME, data-centre=NAME, since=TIME ago, such as since=1h",
    ))
}

fn flag(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value).help(help).env(env(name))
}

fn switch(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).help(help).env(env(name)).action(ArgAction::SetTrue)
}

fn env(name: &str) -> String {
    format!("ROSESHORE_{}", name.to_uppercase().replace('-', "_"))
}

/// Parses the global options.
///
/// # Errors
/// A message that names the invalid value.
pub fn global_args(matches: &ArgMatches) -> Result<GlobalArgs, String> {
    let hosts = matches.get_many::<String>("hosts").unwrap_or_default();
    let hosts: Result<Vec<SocketAddr>, String> = hosts.map(|it| parse_host(it)).collect();
    Ok(GlobalArgs { hosts: hosts?, json: matches.get_flag("json") })
}

/// Parses the address of an entry host.
///
/// # Errors
/// A message that quotes `text` and gives the expected format.
pub fn parse_host(text: &str) -> Result<SocketAddr, String> {
    let fault = |_| format!("`{text}` is not an address; write it as `127.0.0.1:8080`");
    text.trim().parse().map_err(fault)
}

/// Returns the value of a required argument.
pub fn text<'a>(args: &'a ArgMatches, name: &str) -> &'a str {
    args.get_one::<String>(name).map_or("", String::as_str)
}

/// Parses a duration such as `10s` or `1h 30m`.
///
/// # Errors
/// A message that quotes `text` and gives the expected format.
pub fn parse_duration(text: &str) -> Result<Duration, String> {
    let fault = |err| format!("`{text}` is not a time: {err}; write it as `10s` or `1h`");
    humantime::parse_duration(text).map_err(fault)
}
