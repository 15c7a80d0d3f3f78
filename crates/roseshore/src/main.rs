//! The operators' tool.

use std::io::Write;
use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = roseshore::cli::command().get_matches();
    let done = roseshore::run(&matches, &roseshore::client::Http);
    // A reader that went away, such as `head`, is no failure of the command.
    let _ = std::io::stdout().write_all(done.out.as_bytes());
    let _ = std::io::stderr().write_all(done.err.as_bytes());
    ExitCode::from(done.exit as u8)
}
