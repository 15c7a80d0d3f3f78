//! Declarations: TOML files in the operators' version control, and what they would change.
//!
//! [`parse`] reads one or several files into one [`Fleet`] and checks it as the fold will, so that
//! most faults are told with file, line and column before anything is sent. [`diff`] compares with
//! the configuration in force and yields the changes of one command.

mod diff;
mod file;

pub use diff::{Diff, diff};

use crate::config::{ObjectKey, check_fleet};
use crate::fleet::Fleet;
use std::collections::BTreeMap;
use std::ops::Range;

/// A file's name, for messages, and its content.
#[derive(Clone, Debug)]
pub struct Source {
    /// The name.
    pub name: String,
    /// The content.
    pub text: String,
}

/// A location in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// The file.
    pub file: String,
    /// From 1.
    pub line: usize,
    /// From 1, in characters.
    pub column: usize,
}

/// What is wrong, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// Where.
    pub location: Location,
    /// What, and a way out.
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

/// Reads and checks the declarations of all files together.
///
/// # Errors
/// Every mistake found, in order of file; those of the whole fleet only when each file can be read.
pub fn parse(sources: &[Source]) -> Result<Fleet, Vec<Diagnostic>> {
    let mut fleet = Fleet::default();
    let mut locations: BTreeMap<ObjectKey, Location> = BTreeMap::new();
    let mut diagnostics = Vec::new();
    let mut tilings = Vec::new();
    for source in sources {
        let content = match file::read(&source.text) {
            Ok(content) => content,
            Err(err) => {
                let message = format!("{}; correct the declaration", err.message());
                diagnostics.push(Diagnostic { location: source.location(err.span()), message });
                continue;
            }
        };
        tilings.extend(content.tilings.into_iter().map(|it| (source, it)));
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
    for (source, tiling) in tilings {
        let layers = fleet.models.get(&tiling.model).map(|it| it.layers);
        if let Some((span, message)) = layers.and_then(|it| tiling.fault(it)) {
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
