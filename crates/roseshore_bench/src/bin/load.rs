//! Sends load to running daemons for a limited time, or runs an experiment on a system of its own.

use clap::{Arg, ArgAction, Command, value_parser};
use roseshore_bench::capacity::usage;
use roseshore_bench::load::experiments::{EXPERIMENTS, experiment};
use roseshore_bench::load::mixes::{MIXES, mix};
use roseshore_bench::load::run::{Load, run};
use std::net::SocketAddr;
use std::time::Duration;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let matches = command().get_matches();
    if let Some(name) = matches.get_one::<String>("experiment") {
        println!("experiment {name}; load average {} before", usage::load_average());
        for step in experiment(name)? {
            println!("-- {}", step.name);
            print!("{}", step.report);
        }
        println!("load average {} after", usage::load_average());
        return Ok(());
    }
    let number = |name: &str| *matches.get_one::<u64>(name).expect("has a default");
    let name = matches.get_one::<String>("mix").expect("has a default");
    let load = Load {
        daemons: matches.get_many::<SocketAddr>("daemon").expect("required").copied().collect(),
        mix: mix(name).expect("one of the names that are allowed"),
        rate: number("rate") as f64,
        span: Duration::from_secs(number("seconds")),
        deadline: Duration::from_millis(number("deadline-ms")),
        workers: number("workers") as usize,
        seed: number("seed"),
    };
    let before = usage::load_average();
    let report = run(&load);
    println!(
        "mix {name}, {} requests/s for {:?}; load average {before} before",
        load.rate, load.span
    );
    print!("{report}");
    Ok(())
}

fn command() -> Command {
    let daemon = Arg::new("daemon").long("daemon").value_name("IP:PORT");
    let daemon = daemon.required_unless_present("experiment");
    let daemon = daemon.value_parser(value_parser!(SocketAddr)).action(ArgAction::Append);
    let mix = Arg::new("mix").long("mix").default_value("mixed").value_parser(MIXES);
    let experiment = Arg::new("experiment").long("experiment").value_parser(EXPERIMENTS);
    Command::new("load")
        .about("Sends requests at a steady rate and tells what became of them")
        .after_help("Runs as long as --seconds and the last deadline, and no longer.")
        .args([
            daemon.help("A daemon to ask; several are asked in turn"),
            mix.help("What is sent"),
            experiment.help("Start a system, load it and change something; other flags are unused"),
            number("rate", "50", 1..=20_000, "Requests a second"),
            number("seconds", "10", 1..=120, "How long requests arrive"),
            number("deadline-ms", "5000", 10..=60_000, "The deadline of each request"),
            number("workers", "200", 1..=1_000, "Requests under way at once, at most"),
            number("seed", "1", 0..=u64::MAX, "What the arrivals are drawn from"),
        ])
}

fn number(
    name: &'static str,
    default: &'static str,
    range: std::ops::RangeInclusive<u64>,
    help: &'static str,
) -> Arg {
    let arg = Arg::new(name).long(name).default_value(default).help(help);
    arg.value_parser(value_parser!(u64).range(range))
}
