//! A fake replica as a program; prints `listening ADDR` once it serves.

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use roseshore_fakes::service::records::{Source, incarnation};
use roseshore_fakes::service::{ServiceFake, ServiceSettings};
use std::net::SocketAddr;
use std::time::Duration;

fn command() -> Command {
    Command::new("fake_service")
        .about("Fake replica of a lookup or plain service")
        .arg(
            Arg::new("bind")
                .long("bind")
                .value_name("ADDR")
                .default_value("127.0.0.1:0")
                .value_parser(value_parser!(SocketAddr))
                .help("Address to listen on; port 0 for any"),
        )
        .arg(
            Arg::new("source")
                .long("source")
                .value_name("NAME[:PERCENT]")
                .action(ArgAction::Append)
                .value_parser(parse_source)
                .help(
                    "A source, and the percentage of the names `pkg-N` that it holds (default 100)",
                ),
        )
        .arg(
            Arg::new("record")
                .long("record")
                .value_name("SOURCE:NAME=BODY")
                .action(ArgAction::Append)
                .value_parser(parse_record)
                .help("A record in addition to the generated ones"),
        )
        .arg(
            Arg::new("call-us")
                .long("call-us")
                .value_name("US")
                .default_value("0")
                .value_parser(value_parser!(u64))
                .help("Duration of one lookup or call, microseconds"),
        )
        .arg(
            Arg::new("slots")
                .long("slots")
                .value_name("N")
                .default_value("64")
                .value_parser(value_parser!(u32))
                .help("Lookups and calls that run at once"),
        )
        .arg(
            Arg::new("remembers")
                .long("remembers")
                .action(ArgAction::SetTrue)
                .help("Answer repeats of an idempotency key with the first result"),
        )
}

#[derive(Clone)]
struct Record {
    source: String,
    name: String,
    body: String,
}

fn parse_source(text: &str) -> Result<Source, String> {
    let (name, percent) = text.split_once(':').unwrap_or((text, "100"));
    let percent = percent.parse().map_err(|_| format!("`{percent}` is not a percentage"))?;
    Ok(Source { name: name.to_owned(), percent, ..Source::default() })
}

fn parse_record(text: &str) -> Result<Record, String> {
    let parts = text.split_once('=').and_then(|(head, body)| Some((head.split_once(':')?, body)));
    let ((source, name), body) = parts.ok_or("give it as `SOURCE:NAME=BODY`")?;
    Ok(Record { source: source.to_owned(), name: name.to_owned(), body: body.to_owned() })
}

fn sources(args: &ArgMatches) -> Vec<Source> {
    let mut sources: Vec<Source> = args.get_many("source").unwrap_or_default().cloned().collect();
    for record in args.get_many::<Record>("record").unwrap_or_default() {
        let known = sources.iter().position(|s| s.name == record.source);
        let index = known.unwrap_or_else(|| {
            sources.push(Source { name: record.source.clone(), ..Source::default() });
            sources.len() - 1
        });
        sources[index].records.insert(record.name.clone(), record.body.clone());
    }
    sources
}

fn settings(args: &ArgMatches) -> ServiceSettings {
    let fallback = ServiceSettings::default();
    ServiceSettings {
        bind: args.get_one("bind").copied().unwrap_or(fallback.bind),
        sources: sources(args),
        call: args.get_one("call-us").copied().map_or(fallback.call, Duration::from_micros),
        slots: args.get_one("slots").copied().unwrap_or(fallback.slots),
        remembers: args.get_flag("remembers"),
        incarnation: incarnation(),
        exits: true,
    }
}

fn main() -> std::io::Result<()> {
    let fake = ServiceFake::start(settings(&command().get_matches()))?;
    println!("listening {}", fake.addr());
    loop {
        std::thread::park();
    }
}
