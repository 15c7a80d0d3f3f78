//! The matrix of proofs: for each promise, fault and step, the tests that show that the promise holds.
//!
//! The matrix is kept in the pages under `docs/proofs/`. This module parses them, checks that the
//! tests they name exist in the sources, and combines them with the output of a test run.

use std::collections::BTreeMap;
use std::path::Path;

/// One row of a page's table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// File stem of the page.
    pub page: String,
    /// The promise, `P1` to `P9`.
    pub promise: String,
    /// The injected fault.
    pub fault: String,
    /// The step at which the fault occurs.
    pub step: String,
    /// The tests, or the reason why there are none.
    pub proof: Proof,
}

/// The proof column of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Proof {
    /// Tests of the workspace, at least one.
    Tests(Vec<TestName>),
    /// No test; holds the reason, which is empty if none is given.
    Missing(String),
    /// A cell that cannot be parsed; holds its text.
    Unreadable(String),
}

/// The name of a test: `crate/file::function` or `crate/file::function[case]`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TestName {
    /// Name of the crate's folder under `crates`.
    pub krate: String,
    /// File stem under the crate's `tests`.
    pub file: String,
    /// Name of the test function.
    pub function: String,
    /// Name of a case in a table-driven test; `None` for the whole function.
    pub case: Option<String>,
}

impl TestName {
    /// Parses a name without its backticks; `None` if it does not have the expected form.
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

/// Parses the table rows of one page; other lines are skipped.
pub fn rows(page: &str, text: &str) -> Vec<Row> {
    text.lines().filter_map(|line| parse_row(page, line)).collect()
}

fn parse_row(page: &str, line: &str) -> Option<Row> {
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
        proof: parse_proof(test),
    })
}

fn parse_proof(cell: &str) -> Proof {
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

/// Parses every page of a folder, sorted by file name.
///
/// # Errors
/// If the folder or a file cannot be read.
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

/// Table lines for the rows that have no test, sorted by promise and page.
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

/// Checks the tests that a row names against the sources under `crates` and returns a message for
/// each problem.
pub fn problems(row: &Row, crates: &Path) -> Vec<String> {
    match &row.proof {
        Proof::Tests(names) => names.iter().filter_map(|name| problem(name, crates)).collect(),
        Proof::Missing(why) if why.is_empty() => {
            vec![format!("{}: `not proved` without a reason", row.page)]
        }
        Proof::Missing(_) => Vec::new(),
        Proof::Unreadable(cell) => vec![format!("{}: cannot read `{cell}`", row.page)],
    }
}

fn problem(name: &TestName, crates: &Path) -> Option<String> {
    let path = crates.join(&name.krate).join("tests").join(format!("{}.rs", name.file));
    let Ok(mut source) = std::fs::read_to_string(&path) else {
        return Some(format!("`{name}`: no such file"));
    };
    source.push_str(&submodule_sources(&path.with_extension("")));
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

/// The concatenated sources of a test file's submodules.
fn submodule_sources(path: &Path) -> String {
    let entries = std::fs::read_dir(path).into_iter().flatten().flatten();
    entries.filter_map(|e| std::fs::read_to_string(e.path()).ok()).collect()
}

/// Parses the output of `cargo test`: whether each test function passed. Ignored tests are left out.
///
/// The output must hold a line `== crate NAME` before the tests of each crate, and name files as
/// `cargo test` does. A test within a module is identified by the last segment of its path.
pub fn results(output: &str) -> BTreeMap<TestName, bool> {
    let mut found = BTreeMap::new();
    let mut krate = String::new();
    let mut file = String::new();
    for line in output.lines().map(str::trim) {
        if let Some(name) = line.strip_prefix("== crate ") {
            name.clone_into(&mut krate);
        } else if let Some(rest) = line.strip_prefix("Running tests/") {
            rest.split('.').next().unwrap_or_default().clone_into(&mut file);
        } else if let Some((name, passed)) = parse_result(line) {
            let function = name.rsplit("::").next().unwrap_or(name).to_owned();
            let name = TestName { krate: krate.clone(), file: file.clone(), function, case: None };
            found.insert(name, passed);
        }
    }
    found
}

fn parse_result(line: &str) -> Option<(&str, bool)> {
    let (name, verdict) = line.strip_prefix("test ")?.split_once(" ... ")?;
    match verdict.trim() {
        "ok" => Some((name, true)),
        "FAILED" => Some((name, false)),
        _ => None,
    }
}

/// The result of a row in a test run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RowResult {
    /// All its tests ran and passed.
    Passed,
    /// At least one of its tests failed.
    Failed,
    /// None failed, but at least one did not run.
    NotRun,
    /// The row names no test.
    NotProved,
}

/// Looks up the tests of a row in the results of a run.
pub fn row_result(row: &Row, results: &BTreeMap<TestName, bool>) -> RowResult {
    let Proof::Tests(names) = &row.proof else {
        return RowResult::NotProved;
    };
    let verdicts: Vec<Option<bool>> = names
        .iter()
        .map(|name| results.get(&TestName { case: None, ..name.clone() }).copied())
        .collect();
    if verdicts.contains(&Some(false)) {
        RowResult::Failed
    } else if verdicts.contains(&None) {
        RowResult::NotRun
    } else {
        RowResult::Passed
    }
}
