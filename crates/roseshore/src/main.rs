//! Entry point of the operators' command-line tool.

use std::io::Write;
use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = roseshore::cli::command().get_matches();
    let output = roseshore::run(&matches, &roseshore::client::HttpClient);
    // A closed pipe, for example to `head`, is not a failure of the command.
    let _ = std::io::stdout().write_all(output.out.as_bytes());
    let _ = std::io::stderr().write_all(output.err.as_bytes());
    ExitCode::from(output.exit as u8)
}
