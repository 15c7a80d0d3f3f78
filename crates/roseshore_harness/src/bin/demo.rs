//! Demonstrates the whole system: a declared fleet of separate processes serves requests, loses a
//! stage in the middle of an answer, and still answers correctly. `scripts/demo.sh` builds and runs it.

use clap::{Arg, ArgAction, Command, value_parser};
use roseshore_harness::demo;
use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = Command::new("demo")
        .about("Starts a declared fleet, shows that it answers right, and stops it")
        .after_help(
            "Ends with 0 when every check held, 1 when one did not, 2 when it could not start.",
        )
        .arg(
            Arg::new("fleet")
                .long("fleet")
                .value_parser(value_parser!(PathBuf))
                .default_value("fleets/indus.toml")
                .help("The declarations to start and apply"),
        )
        .arg(
            Arg::new("stay")
                .long("stay")
                .action(ArgAction::SetTrue)
                .help("Leave the fleet up until Enter is pressed, and print what to type"),
        )
        .get_matches();
    let fleet: &PathBuf = matches.get_one("fleet").expect("has a default");
    match demo::run(fleet, matches.get_flag("stay")) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(err) => {
            eprintln!("demo: {err}");
            ExitCode::from(2)
        }
    }
}
