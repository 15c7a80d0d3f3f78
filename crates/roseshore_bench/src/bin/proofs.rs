//! Prints the matrix of proofs with the results of a test run; called by `scripts/proofs.sh`.

use clap::{Arg, ArgAction, Command, value_parser};
use roseshore_bench::proofs::{self, Proof, RowResult};
use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = Command::new("proofs")
        .about("Prints the matrix of proofs with the verdicts of a test run")
        .arg(
            Arg::new("pages")
                .long("pages")
                .value_parser(value_parser!(PathBuf))
                .default_value("docs/proofs")
                .help("Folder of the matrix's pages"),
        )
        .arg(
            Arg::new("results")
                .long("results")
                .value_parser(value_parser!(PathBuf))
                .required_unless_present("gaps")
                .help("Output of the test run"),
        )
        .arg(
            Arg::new("gaps")
                .long("gaps")
                .action(ArgAction::SetTrue)
                .help("Print only the table of what is not proved, as docs/PROOFS.md has it"),
        )
        .get_matches();
    let pages: &PathBuf = matches.get_one("pages").expect("has a default");
    let outcome = match matches.get_one::<PathBuf>("results") {
        Some(results) if !matches.get_flag("gaps") => print(pages, results),
        _ => print_gaps(pages),
    };
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(err) => {
            eprintln!("proofs: {err}; give the folder with `--pages` and the run with `--results`");
            ExitCode::from(2)
        }
    }
}

/// Prints the table of rows without a test.
fn print_gaps(pages: &std::path::Path) -> std::io::Result<bool> {
    for line in proofs::gaps(&proofs::read(pages)?) {
        println!("{line}");
    }
    Ok(true)
}

/// Prints the matrix; returns `false` if a test that it names failed or did not run.
fn print(pages: &std::path::Path, results: &std::path::Path) -> std::io::Result<bool> {
    let results = proofs::results(&std::fs::read_to_string(results)?);
    let mut rows = proofs::read(pages)?;
    rows.sort_by_key(|row| (row.promise.clone(), row.page.clone()));
    let mut counts = [0_usize; 4];
    for row in &rows {
        let seen = proofs::row_result(row, &results);
        counts[seen as usize] += 1;
        let proof = match &row.proof {
            Proof::Tests(names) => {
                names.iter().map(ToString::to_string).collect::<Vec<_>>().join(" ")
            }
            Proof::Missing(why) | Proof::Unreadable(why) => why.clone(),
        };
        println!("{:<4} {:<9} {} | {} | {proof}", row.promise, label(seen), row.fault, row.step);
    }
    let [passed, failed, idle, missing] = counts;
    println!("{passed} passed, {failed} failed, {idle} not run, {missing} not proved");
    Ok(failed + idle == 0)
}

fn label(seen: RowResult) -> &'static str {
    match seen {
        RowResult::Passed => "passed",
        RowResult::Failed => "FAILED",
        RowResult::NotRun => "not run",
        RowResult::NotProved => "not proved",
    }
}
