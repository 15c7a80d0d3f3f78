//! Declarations: TOML files that describe a fleet, and the changes they would make.
//!
//! [`parse`] reads one or more files into one [`Fleet`] and validates it as the configuration fold
//! does, so that most faults are reported with file, line and column before anything is sent.
//! [`diff()`] compares a declared fleet with the configuration in force and returns the changes for
//! one command.

mod diff;
mod file;

pub use diff::{Diff, diff};

use crate::config::{ObjectKey, check_fleet};
use crate::fleet::Fleet;
use std::collections::BTreeMap;
use std::ops::Range;

/// Declaration file.
#[derive(Clone, Debug)]
pub struct Source {
    /// File name, used in messages.
    pub name: String,
    /// Content, in TOML.
    pub text: String,
}

/// Location in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// File name.
    pub file: String,
    /// Line, counted from 1.
    pub line: usize,
    /// Column in characters, counted from 1.
    pub column: usize,
}

/// Fault of a declaration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// Location of the fault.
    pub location: Location,
    /// What is invalid and how to correct it.
    pub message: String,
}

impl std::fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Location { file, line, column } = &self.location;
        write!(f, "{file}:{line}:{column}: {}", self.message)
    }
}

impl Source {
    fn location(&self, span: Option<Range<usize>>) -> Location {
        let at = span.map_or(0, |it| it.start.min(self.text.len()));
        let before = &self.text[..self.text.floor_char_boundary(at)];
        let line_start = before.rfind('\n').map_or(0, |it| it + 1);
        Location {
            file: self.name.clone(),
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
        }
    }
}

/// Parses the declarations of all files and validates them together.
///
/// # Errors
/// Every fault found, in file order. Faults of the fleet as a whole are reported only if every file
/// can be parsed and no other fault is found.
pub fn parse(sources: &[Source]) -> Result<Fleet, Vec<Diagnostic>> {
    let mut fleet = Fleet::default();
    let mut locations: BTreeMap<ObjectKey, Location> = BTreeMap::new();
    let mut diagnostics = Vec::new();
    let mut chains = Vec::new();
    for source in sources {
        let content = match file::read(&source.text) {
            Ok(content) => content,
            Err(err) => {
                let message = format!("{}; correct the declaration", err.message());
                diagnostics.push(Diagnostic { location: source.location(err.span()), message });
                continue;
            }
        };
        chains.extend(content.chains.into_iter().map(|it| (source, it)));
        for declared in content.objects {
            let location = source.location(Some(declared.span));
            if let Some(first) = locations.get(&declared.key) {
                let message = format!(
                    "{} is declared already at {}:{}; keep one",
                    declared.key, first.file, first.line
                );
                diagnostics.push(Diagnostic { location, message });
                continue;
            }
            fleet.put(&declared.key.id, declared.object);
            locations.insert(declared.key, location);
        }
    }
    for (source, chain) in chains {
        let layers = fleet.models.get(&chain.model).map(|it| it.layers);
        if let Some((span, message)) = layers.and_then(|it| chain.first_fault(it)) {
            diagnostics.push(Diagnostic { location: source.location(Some(span)), message });
        }
    }
    if diagnostics.is_empty() {
        diagnostics = check_fleet(&fleet)
            .into_iter()
            .filter_map(|fault| {
                let location = locations.get(&fault.key)?.clone();
                Some(Diagnostic { location, message: format!("{}: {}", fault.key, fault.message) })
            })
            .collect();
    }
    if diagnostics.is_empty() { Ok(fleet) } else { Err(diagnostics) }
}
