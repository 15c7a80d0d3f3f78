//! The difference between what is declared and what is in force.

use crate::config::{Change, Object, ObjectKey};
use crate::fleet::Fleet;
use crate::ids::*;
use serde_json::Value;
use std::collections::BTreeMap;

/// An object in force with its version.
type InForce = BTreeMap<ObjectKey, (Offset, Object)>;

/// What a declaration would change.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Diff {
    /// The changes, in order of key.
    pub changes: Vec<Change>,
    /// One line for each change and changed field, for people.
    pub lines: Vec<String>,
    /// Objects in force that are not declared and stay.
    pub undeclared: Vec<ObjectKey>,
}

/// Compares a declared fleet with what is in force; with `prune`, what is not declared is deleted.
pub fn diff(in_force: &InForce, declared: &Fleet, prune: bool) -> Diff {
    let mut out = Diff::default();
    let declared: BTreeMap<ObjectKey, Object> = declared.objects().into_iter().collect();
    for (key, object) in &declared {
        match in_force.get(key) {
            Some((_, old)) if old == object => {}
            Some((version, old)) => {
                out.lines.push(format!("~ {key}"));
                out.lines.extend(fields(old, object));
                out.put(key, Some(*version), object);
            }
            None => {
                out.lines.push(format!("+ {key}"));
                out.put(key, None, object);
            }
        }
    }
    for (key, (version, _)) in in_force {
        if declared.contains_key(key) {
            continue;
        }
        if !prune {
            out.undeclared.push(key.clone());
            continue;
        }
        out.lines.push(format!("- {key}"));
        out.changes.push(Change { key: key.clone(), base: Some(*version), put: None });
    }
    out
}

impl Diff {
    fn put(&mut self, key: &ObjectKey, base: Option<Offset>, object: &Object) {
        self.changes.push(Change { key: key.clone(), base, put: Some(object.clone()) });
    }
}

/// The fields that differ, each as `    name: old -> new`.
fn fields(old: &Object, new: &Object) -> Vec<String> {
    let (old, new) = (content(old), content(new));
    let names = new.keys().filter(|name| old.get(*name) != new.get(*name));
    names.map(|name| format!("    {name}: {} -> {}", shown(old.get(name)), new[name])).collect()
}

fn shown(value: Option<&Value>) -> String {
    value.map_or_else(|| "absent".into(), Value::to_string)
}

/// The fields of an object by name.
fn content(object: &Object) -> serde_json::Map<String, Value> {
    let Ok(Value::Object(outer)) = serde_json::to_value(object) else {
        return serde_json::Map::new();
    };
    match outer.into_iter().next() {
        Some((_, Value::Object(inner))) => inner,
        _ => serde_json::Map::new(),
    }
}
