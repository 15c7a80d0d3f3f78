//! The language: commands, flags and environment variables.

use clap::{Arg, ArgAction, ArgGroup, ArgMatches, Command};
use std::net::SocketAddr;
use std::time::Duration;

const SETTLE: &str = "\
The claimant must be gone, and the time past that `roseshore key` shows: look at the target after
that, then settle. Saying that a key did not run lets it run again.

Exit codes: 0 the word is recorded; 1 rejected, nothing changed; 2 the command line is wrong; 3 not
known, look with `roseshore key`; 4 no entry host was reached.";
const EXITS: &str = "\
Exit codes:
  0  done; a command is accepted and in force everywhere
  1  rejected; nothing changed
  2  the command line is wrong; nothing was asked
  3  whether the command took effect is not known; ask with `roseshore command ID`, or look with
     `roseshore key`, which ends with 3 itself when the log cannot be read
  4  no entry host could be reached; nothing was asked
  5  accepted, but not yet confirmed in every data centre
  6  answered without the rows of hosts that could not be asked";

/// What every command needs.
#[derive(Clone, Debug)]
pub struct Scope {
    /// The entry hosts, in the order in which they are tried.
    pub hosts: Vec<SocketAddr>,
    /// Whether to write JSON.
    pub json: bool,
}

/// The command line.
pub fn command() -> Command {
    Command::new("roseshore")
        .about("Asks what a fleet does and changes what it should do")
        .after_help(EXITS)
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg(
            flag("hosts", "HOST:PORT,..", "Entry hosts, by IP number, tried in this order")
                .value_delimiter(',')
                .action(ArgAction::Append)
                .default_value("127.0.0.1:8080")
                .global(true),
        )
        .arg(switch("json", "Writes JSON instead of tables").global(true))
        .subcommand(apply())
        .subcommand(
            Command::new("command")
                .about("Says what became of a command")
                .arg(Arg::new("ID").required(true).help("The id that `apply` printed")),
        )
        .subcommand(topic("running", "Lists requests in flight"))
        .subcommand(topic("late", "Lists answers that were late"))
        .subcommand(topic("refused", "Lists requests that were refused"))
        .subcommand(topic("account", "Counts late and repeated answers by week").arg(
            switch("week", "Only the week so far and the one before").conflicts_with("FILTER"),
        ))
        .subcommand(
            Command::new("explain")
                .about("Shows one request's spans as a tree with times")
                .arg(Arg::new("REQUEST").required(true).help("The request's id")),
        )
        .subcommand(
            Command::new("drain")
                .about("Lets a daemon finish what is in flight and take nothing new")
                .arg(Arg::new("HOST").required(true).help("The daemon's HOST:PORT")),
        )
        .subcommand(key(Command::new("key").about("Says what is known of an idempotency key")))
        .subcommand(settle())
        .subcommand(Command::new("status").about("Lists the daemons and their configuration"))
}

fn apply() -> Command {
    Command::new("apply")
        .about("Brings declarations in force everywhere, or is plainly rejected")
        .arg(
            Arg::new("PATH")
                .required(true)
                .num_args(1..)
                .help("TOML files, or folders of them; together one declaration"),
        )
        .arg(switch("dry-run", "Only shows the difference"))
        .arg(switch("prune", "Deletes what is in force and not declared"))
        .arg(flag("wait", "TIME", "How long to wait for every data centre").default_value("10s"))
        .arg(flag("id", "ID", "The command's id; random unless given"))
        .arg(flag("operator", "NAME", "Who asks").default_value("operator"))
}

fn settle() -> Command {
    key(Command::new("settle"))
        .about("Records whether a key ran, where nobody else can tell; the first word stays")
        .after_help(SETTLE)
        .arg(switch("ran", "It ran; it never runs again, and repeats are told so"))
        .arg(switch("not-run", "It did not run; it may be sent again"))
        .group(ArgGroup::new("word").args(["ran", "not-run"]).required(true))
        .arg(flag("note", "TEXT", "What you looked at").required(true))
        .arg(flag("operator", "NAME", "Who says so").required(true))
}

fn key(command: Command) -> Command {
    let arg = |name: &'static str, help| Arg::new(name).required(true).help(help);
    command
        .arg(arg("ORGANISATION", "Whose key it is"))
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

/// What every command needs, checked.
///
/// # Errors
/// A message that names the value that is wrong.
pub fn scope(matches: &ArgMatches) -> Result<Scope, String> {
    let hosts = matches.get_many::<String>("hosts").unwrap_or_default();
    let hosts: Result<Vec<SocketAddr>, String> = hosts.map(|it| host(it)).collect();
    Ok(Scope { hosts: hosts?, json: matches.get_flag("json") })
}

/// An entry host's address.
///
/// # Errors
/// A message that names what is wrong.
pub fn host(text: &str) -> Result<SocketAddr, String> {
    let fault = |_| format!("`{text}` is not an address; write it as `127.0.0.1:8080`");
    text.trim().parse().map_err(fault)
}

/// A required argument.
pub fn text<'a>(args: &'a ArgMatches, name: &str) -> &'a str {
    args.get_one::<String>(name).map_or("", String::as_str)
}

/// A duration such as `10s` or `1h 30m`.
///
/// # Errors
/// A message that names what is wrong.
pub fn duration(text: &str) -> Result<Duration, String> {
    let fault = |err| format!("`{text}` is not a time: {err}; write it as `10s` or `1h`");
    humantime::parse_duration(text).map_err(fault)
}
