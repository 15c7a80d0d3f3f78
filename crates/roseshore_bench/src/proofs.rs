//! The matrix of proofs: promise by fault by step, each cell naming the test that shows it.
//!
//! The pages under `docs/proofs/` are the matrix; this module reads them, holds the names of tests
//! against the sources, and joins them with the output of a run.

use std::collections::BTreeMap;
use std::path::Path;

/// One cell of the matrix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The page it stands on.
    pub page: String,
    /// The promise, `P1` to `P9`.
    pub promise: String,
    /// What goes wrong.
    pub fault: String,
    /// When it goes wrong.
    pub step: String,
    /// What shows that the promise holds.
    pub proof: Proof,
}

/// What shows that a promise holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Proof {
    /// Tests of the workspace, at least one.
    Tests(Vec<TestName>),
    /// Nothing yet, and why.
    Missing(String),
    /// The cell cannot be read.
    Unreadable(String),
}

/// The name of a test: `crate/file::function` or `crate/file::function[case]`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TestName {
    /// The crate.
    pub krate: String,
    /// The stem of the file under the crate's `tests`.
    pub file: String,
    /// The function.
    pub function: String,
    /// The table case, if the cell names one.
    pub case: Option<String>,
}

impl TestName {
    /// Reads a name without its backticks; `None` when it has another form.
    pub fn parse(text: &str) -> Option<TestName> {
        let (path, case) = match text.split_once('[') {
            Some((path, case)) => (path, Some(case.strip_suffix(']')?.to_owned())),
            None => (text, None),
        };
        let (krate, rest) = path.split_once('/')?;
        let (file, function) = rest.split_once("::")?;
        let known = !krate.is_empty() && !file.is_empty() && !function.is_empty();
        known.then(|| TestName {
            krate: krate.to_owned(),
            file: file.to_owned(),
            function: function.to_owned(),
            case,
        })
    }
}

impl std::fmt::Display for TestName {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}::{}", self.krate, self.file, self.function)?;
        match &self.case {
            Some(case) => write!(f, "[{case}]"),
            None => Ok(()),
        }
    }
}

/// Reads the rows of one page.
pub fn rows(page: &str, text: &str) -> Vec<Row> {
    text.lines().filter_map(|line| row(page, line)).collect()
}

fn row(page: &str, line: &str) -> Option<Row> {
    let cells: Vec<&str> = line.trim().strip_prefix('|')?.split('|').map(str::trim).collect();
    let [promise, fault, step, test, ..] = cells[..] else {
        return None;
    };
    let numbered = promise.strip_prefix('P').is_some_and(|n| n.parse::<u8>().is_ok());
    numbered.then(|| Row {
        page: page.to_owned(),
        promise: promise.to_owned(),
        fault: fault.to_owned(),
        step: step.to_owned(),
        proof: proof(test),
    })
}

fn proof(cell: &str) -> Proof {
    if let Some(why) = cell.strip_prefix("not proved") {
        return Proof::Missing(why.trim_start_matches(':').trim().to_owned());
    }
    let names: Option<Vec<TestName>> =
        cell.split('`').skip(1).step_by(2).map(TestName::parse).collect();
    match names {
        Some(names) if !names.is_empty() => Proof::Tests(names),
        _ => Proof::Unreadable(cell.to_owned()),
    }
}

/// Reads every page of a folder, in order of name.
///
/// # Errors
/// Those of the file system.
pub fn read(folder: &Path) -> std::io::Result<Vec<Row>> {
    let mut files: Vec<_> =
        std::fs::read_dir(folder)?.map(|e| e.map(|e| e.path())).collect::<Result<_, _>>()?;
    files.sort();
    let mut all = Vec::new();
    for file in files {
        let name = file.file_stem().unwrap_or_default().to_string_lossy().into_owned();
        all.extend(rows(&name, &std::fs::read_to_string(&file)?));
    }
    Ok(all)
}

/// One line of a table for each row that nothing proves, in order of promise and page.
pub fn gaps(rows: &[Row]) -> Vec<String> {
    let mut missing: Vec<(&str, &str, String)> = rows.iter().filter_map(gap).collect();
    missing.sort_by_key(|(promise, page, _)| (*promise, *page));
    missing.into_iter().map(|(_, _, line)| line).collect()
}

fn gap(row: &Row) -> Option<(&str, &str, String)> {
    let Row { page, promise, fault, step, proof } = row;
    let Proof::Missing(why) = proof else { return None };
    let line = format!("| {promise} | {fault} | {step} | {why} | [{page}](proofs/{page}.md) |");
    Some((promise, page, line))
}

/// What is wrong with a row's names, held against the sources under `crates`; empty when nothing is.
pub fn faults(row: &Row, crates: &Path) -> Vec<String> {
    match &row.proof {
        Proof::Tests(names) => names.iter().filter_map(|name| fault(name, crates)).collect(),
        Proof::Missing(why) if why.is_empty() => {
            vec![format!("{}: `not proved` without a reason", row.page)]
        }
        Proof::Missing(_) => Vec::new(),
        Proof::Unreadable(cell) => vec![format!("{}: cannot read `{cell}`", row.page)],
    }
}

fn fault(name: &TestName, crates: &Path) -> Option<String> {
    let path = crates.join(&name.krate).join("tests").join(format!("{}.rs", name.file));
    let Ok(mut source) = std::fs::read_to_string(&path) else {
        return Some(format!("`{name}`: no such file"));
    };
    source.push_str(&folder(&path.with_extension("")));
    if !source.contains(&format!("fn {}(", name.function)) {
        return Some(format!("`{name}`: no such function"));
    }
    match &name.case {
        Some(case) if !source.contains(&format!("\"{case}\"")) => {
            Some(format!("`{name}`: no such case"))
        }
        _ => None,
    }
}

/// The sources of a test's own modules, one after the other.
fn folder(path: &Path) -> String {
    let entries = std::fs::read_dir(path).into_iter().flatten().flatten();
    entries.filter_map(|e| std::fs::read_to_string(e.path()).ok()).collect()
}

/// The verdict of each test function in the output of `cargo test`.
///
/// The output must name crates by lines `== crate NAME` and files as `cargo test` does; tests that
/// stand in a module of their file are known by the last part of their name.
pub fn results(output: &str) -> BTreeMap<TestName, bool> {
    let mut found = BTreeMap::new();
    let mut krate = String::new();
    let mut file = String::new();
    for line in output.lines().map(str::trim) {
        if let Some(name) = line.strip_prefix("== crate ") {
            name.clone_into(&mut krate);
        } else if let Some(rest) = line.strip_prefix("Running tests/") {
            rest.split('.').next().unwrap_or_default().clone_into(&mut file);
        } else if let Some((name, passed)) = result(line) {
            let function = name.rsplit("::").next().unwrap_or(name).to_owned();
            let name = TestName { krate: krate.clone(), file: file.clone(), function, case: None };
            found.insert(name, passed);
        }
    }
    found
}

fn result(line: &str) -> Option<(&str, bool)> {
    let (name, verdict) = line.strip_prefix("test ")?.split_once(" ... ")?;
    match verdict.trim() {
        "ok" => Some((name, true)),
        "FAILED" => Some((name, false)),
        _ => None,
    }
}

/// The verdict of a row in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Seen {
    /// Every test named ran and passed.
    Passed,
    /// A test named failed.
    Failed,
    /// A test named did not run.
    NotRun,
    /// There is no test.
    NotProved,
}

/// Joins a row with the verdicts of a run.
pub fn seen(row: &Row, results: &BTreeMap<TestName, bool>) -> Seen {
    let Proof::Tests(names) = &row.proof else {
        return Seen::NotProved;
    };
    let verdicts: Vec<Option<bool>> = names
        .iter()
        .map(|name| results.get(&TestName { case: None, ..name.clone() }).copied())
        .collect();
    if verdicts.contains(&Some(false)) {
        Seen::Failed
    } else if verdicts.contains(&None) {
        Seen::NotRun
    } else {
        Seen::Passed
    }
}
