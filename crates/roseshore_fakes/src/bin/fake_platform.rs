//! The fake platform as a program; prints `listening ADDR` once it serves.

use clap::{Arg, ArgMatches, Command, value_parser};
use roseshore_fakes::platform::log::Retention;
use roseshore_fakes::platform::{PlatformFake, PlatformSettings};
use roseshore_wire::platform::Host;
use std::net::SocketAddr;
use std::time::Duration;

fn command() -> Command {
    Command::new("fake_platform")
        .about("Fake platform: log service, host list and weight store")
        .arg(
            Arg::new("bind")
                .long("bind")
                .value_name("ADDR")
                .default_value("127.0.0.1:0")
                .value_parser(value_parser!(SocketAddr))
                .help("Address to listen on; port 0 for any"),
        )
        .arg(
            Arg::new("appends")
                .long("appends")
                .value_name("N")
                .default_value("400")
                .value_parser(value_parser!(f64))
                .help("Limit on appends per second over all streams"),
        )
        .arg(
            Arg::new("keep-count")
                .long("keep-count")
                .value_name("N")
                .value_parser(value_parser!(usize))
                .help("Records kept of each stream"),
        )
        .arg(
            Arg::new("keep-seconds")
                .long("keep-seconds")
                .value_name("S")
                .value_parser(value_parser!(u64))
                .help("Maximum age of records, seconds"),
        )
        .arg(
            Arg::new("lag-ms")
                .long("lag-ms")
                .value_name("MS")
                .default_value("1000")
                .value_parser(value_parser!(u64))
                .help("Delay with which the host list shows a change, milliseconds"),
        )
        .arg(
            Arg::new("weight-rate")
                .long("weight-rate")
                .value_name("BYTES")
                .default_value("1073741824")
                .value_parser(value_parser!(u64))
                .help("Rate of the weight store, bytes per second"),
        )
        .arg(
            Arg::new("hosts")
                .long("hosts")
                .value_name("JSON")
                .default_value("[]")
                .value_parser(parse_hosts)
                .help("Initial host list, a JSON array"),
        )
}

fn parse_hosts(text: &str) -> Result<Vec<Host>, String> {
    serde_json::from_str(text).map_err(|e| e.to_string())
}

fn settings(args: &ArgMatches) -> PlatformSettings {
    let fallback = PlatformSettings::default();
    PlatformSettings {
        bind: args.get_one("bind").copied().unwrap_or(fallback.bind),
        appends: args.get_one("appends").copied().unwrap_or(fallback.appends),
        keep: Retention {
            count: args.get_one("keep-count").copied(),
            age: args.get_one("keep-seconds").copied().map(Duration::from_secs),
        },
        lag: args.get_one("lag-ms").copied().map_or(fallback.lag, Duration::from_millis),
        rate: args.get_one("weight-rate").copied().unwrap_or(fallback.rate),
        hosts: args.get_one::<Vec<Host>>("hosts").cloned().unwrap_or_default(),
    }
}

fn main() -> std::io::Result<()> {
    let fake = PlatformFake::start(settings(&command().get_matches()))?;
    println!("listening {}", fake.addr());
    loop {
        std::thread::park();
    }
}
