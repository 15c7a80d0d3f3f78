//! Measures recovery from each kind of fault and prints a table.
//!
//! `recovery [REPEATS] [PART...]`: by default ten repeats of every part.

use roseshore_harness::recovery::{HEAD, PARTS};
use std::error::Error;
use std::time::Instant;

const REPEATS: usize = 10;

fn main() -> Result<(), Box<dyn Error>> {
    let mut args: Vec<String> = std::env::args().skip(1).collect();
    let repeats = args.first().and_then(|arg| arg.parse().ok());
    if repeats.is_some() {
        args.remove(0);
    }
    let known = |name: &String| PARTS.iter().any(|(part, _)| part == name);
    if let Some(unknown) = args.iter().find(|name| !known(name)) {
        let names: Vec<&str> = PARTS.iter().map(|(name, _)| *name).collect();
        return Err(format!("`{unknown}` is no part; use one of `{}`", names.join("`, `")).into());
    }
    println!("{HEAD}");
    let mut failed = false;
    for (name, part) in
        PARTS.iter().filter(|(name, _)| args.is_empty() || args.iter().any(|a| a == name))
    {
        let begun = Instant::now();
        match part(repeats.unwrap_or(REPEATS)) {
            Ok(rows) => rows.iter().for_each(|row| println!("{row}")),
            Err(err) => {
                failed = true;
                println!("| {name}: failed: {err} | | | | | | |");
            }
        }
        eprintln!("{name}: {:.1} s", begun.elapsed().as_secs_f64());
    }
    if failed { Err("a part failed; its line says why".into()) } else { Ok(()) }
}
