//! Measures the resource costs of a daemon's parts by size and prints the rows of `docs/CAPACITY.md`.

use clap::{Arg, Command};
use roseshore_bench::capacity::{daemons, states, usage};

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let part = Arg::new("part").long("part").default_value("all");
    let part = part.value_parser(["all", "states", "daemons"]).help("What to measure");
    let only = Arg::new("only").long("only").default_value("");
    let only = only.help("Only the roles that hold this text");
    let matches = Command::new("capacity")
        .about("Measures state, time, processor time and bytes by size and fits lines")
        .args([part, only])
        .get_matches();
    let text = |name: &str| matches.get_one::<String>(name).map_or("", String::as_str);
    println!("load average {}", usage::load_average());
    println!("| role | cost | measured, size: cost | fit, error | worked out |");
    println!("|---|---|---|---|---|");
    if text("part") != "daemons" {
        for role in states::ROLES.iter().filter(|role| role.contains(text("only"))) {
            for series in states::measure(role) {
                println!("{series}");
            }
        }
    }
    if text("part") != "states" {
        for series in daemons::measure(text("only"), |line| eprintln!("{line}"))? {
            println!("{series}");
        }
    }
    println!("load average {}", usage::load_average());
    Ok(())
}
