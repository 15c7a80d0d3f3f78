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

/// A place in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// The file.
    pub file: String,
    /// From 1.
    pub line: usize,
    /// From 1, in characters.
    pub column: usize,
}

/// What is wrong, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mistake {
    /// Where.
    pub place: Place,
    /// What, and a way out.
    pub message: String,
}

impl std::fmt::Display for Mistake {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Place { file, line, column } = &self.place;
        write!(f, "{file}:{line}:{column}: {}", self.message)
    }
}

impl Source {
    fn place(&self, span: Option<Range<usize>>) -> Place {
        let at = span.map_or(0, |it| it.start.min(self.text.len()));
        let before = &self.text[..self.text.floor_char_boundary(at)];
        let line_start = before.rfind('\n').map_or(0, |it| it + 1);
        Place {
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
pub fn parse(sources: &[Source]) -> Result<Fleet, Vec<Mistake>> {
    let mut fleet = Fleet::default();
    let mut places: BTreeMap<ObjectKey, Place> = BTreeMap::new();
    let mut mistakes = Vec::new();
    let mut tilings = Vec::new();
    for source in sources {
        let content = match file::read(&source.text) {
            Ok(content) => content,
            Err(err) => {
                let message = format!("{}; correct the declaration", err.message());
                mistakes.push(Mistake { place: source.place(err.span()), message });
                continue;
            }
        };
        tilings.extend(content.tilings.into_iter().map(|it| (source, it)));
        for declared in content.objects {
            let place = source.place(Some(declared.span));
            if let Some(first) = places.get(&declared.key) {
                let message = format!(
                    "{} is declared already at {}:{}; keep one",
                    declared.key, first.file, first.line
                );
                mistakes.push(Mistake { place, message });
                continue;
            }
            fleet.put(&declared.key.id, declared.object);
            places.insert(declared.key, place);
        }
    }
    for (source, tiling) in tilings {
        let layers = fleet.models.get(&tiling.model).map(|it| it.layers);
        if let Some((span, message)) = layers.and_then(|it| tiling.fault(it)) {
            mistakes.push(Mistake { place: source.place(Some(span)), message });
        }
    }
    if mistakes.is_empty() {
        mistakes = check_fleet(&fleet)
            .into_iter()
            .filter_map(|fault| {
                let place = places.get(&fault.key)?.clone();
                Some(Mistake { place, message: format!("{}: {}", fault.key, fault.message) })
            })
            .collect();
    }
    if mistakes.is_empty() { Ok(fleet) } else { Err(mistakes) }
}
