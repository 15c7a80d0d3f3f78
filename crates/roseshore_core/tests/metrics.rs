//! Compares `docs/METRICS.md` with the sources, in both directions.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

const MACROS: [&str; 3] = ["counter!(", "gauge!(", "histogram!("];

/// A metric with its name, type and labels, formatted like a row of the page.
type Row = String;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// All files below a folder whose names have this ending.
fn files(folder: &Path, ending: &str) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for entry in fs::read_dir(folder).expect("a folder").map(|e| e.expect("an entry").path()) {
        if entry.is_dir() {
            found.extend(files(&entry, ending));
        } else if entry.to_string_lossy().ends_with(ending) {
            found.push(entry);
        }
    }
    found
}

/// Formats a metric from a macro's arguments: the first string is its name, and each string before
/// `=>` a label.
fn row(kind: &str, arguments: &str) -> Row {
    let mut parts = arguments.split('"');
    let name = parts.by_ref().nth(1).unwrap_or_default();
    let parts: Vec<&str> = parts.collect();
    let keys = parts.windows(2).filter(|pair| pair[1].trim_start().starts_with("=>"));
    let labels: BTreeSet<String> = keys.map(|pair| format!("`{}`", pair[0])).collect();
    let labels = labels.into_iter().collect::<Vec<_>>().join(", ");
    let labels = if labels.is_empty() { "-" } else { &labels };
    format!("| `{name}` | {kind} | {labels} |")
}

fn in_sources() -> BTreeSet<Row> {
    let crates = fs::read_dir(root().join("crates")).expect("crates");
    let sources = crates.map(|it| it.expect("a crate").path().join("src"));
    let texts = sources.flat_map(|it| files(&it, ".rs"));
    let mut found = BTreeSet::new();
    for text in texts.map(|it| fs::read_to_string(it).expect("a source")) {
        for opening in MACROS {
            for (at, _) in text.match_indices(opening) {
                let after = &text[at + opening.len()..];
                let arguments = &after[..after.find(';').unwrap_or(after.len())];
                found.insert(row(opening.trim_end_matches("!("), arguments));
            }
        }
    }
    found
}

#[test]
fn the_page_matches_the_sources() {
    let page = fs::read_to_string(root().join("docs/METRICS.md")).expect("the page");
    let rows: Vec<&str> = page.lines().filter(|it| it.starts_with("| `")).collect();
    let cut = |row: &&str| row.split_inclusive('|').take(4).collect::<Row>();
    let on_page: Vec<Row> = rows.iter().map(cut).collect();
    assert_eq!(on_page, in_sources().into_iter().collect::<Vec<_>>());
    assert!(rows.iter().all(|it| it.split('|').nth(4).is_some_and(|m| !m.trim().is_empty())));
}

/// Operators' pages name only metrics that exist.
#[test]
fn pages_name_known_metrics() {
    let known: String = in_sources().into_iter().collect();
    let crates = fs::read_dir(root().join("crates")).expect("crates");
    let crates: BTreeSet<String> =
        crates.map(|it| it.expect("a crate").file_name().to_string_lossy().into_owned()).collect();
    for page in files(&root().join("docs/operations"), ".md") {
        let text = fs::read_to_string(&page).expect("a page");
        let words = text.split(|c: char| !(c.is_ascii_alphanumeric() || c == '_'));
        for word in words.filter(|it| it.starts_with("roseshore_") && !crates.contains(*it)) {
            assert!(known.contains(&format!("`{word}`")), "{}: `{word}`", page.display());
        }
    }
}
