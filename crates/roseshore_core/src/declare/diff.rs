//! Computes the difference between a declared fleet and the configuration in force.

use crate::config::{Change, Object, ObjectKey};
use crate::fleet::Fleet;
use crate::ids::*;
use serde_json::Value;
use std::collections::BTreeMap;

/// Objects in force with their versions.
type InForce = BTreeMap<ObjectKey, (Offset, Object)>;

/// Difference between a declared fleet and the configuration in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Diff {
    /// Changes that bring the declaration into force: declared objects by key, then deletions.
    pub changes: Vec<Change>,
    /// Readable lines, one per change and changed field.
    pub lines: Vec<String>,
    /// Objects in force that are not declared and are kept.
    pub undeclared: Vec<ObjectKey>,
}

/// Compares a declared fleet with the objects in force; `prune` deletes those not declared.
pub fn diff(in_force: &InForce, declared: &Fleet, prune: bool) -> Diff {
    let mut out = Diff::default();
    let declared: BTreeMap<ObjectKey, Object> = declared.objects().into_iter().collect();
    for (key, object) in &declared {
        match in_force.get(key) {
            Some((_, old)) if old == object => {}
            Some((version, old)) => {
                out.lines.push(format!("~ {key}"));
                out.lines.extend(changed_fields(old, object));
                out.push_put(key, Some(*version), object);
            }
            None => {
                out.lines.push(format!("+ {key}"));
                out.push_put(key, None, object);
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
    fn push_put(&mut self, key: &ObjectKey, base: Option<Offset>, object: &Object) {
        self.changes.push(Change { key: key.clone(), base, put: Some(object.clone()) });
    }
}

/// Returns the fields that differ, each as `    name: old -> new`.
fn changed_fields(old: &Object, new: &Object) -> Vec<String> {
    let (old, new) = (object_fields(old), object_fields(new));
    let names = new.keys().filter(|name| old.get(*name) != new.get(*name));
    names
        .map(|name| format!("    {name}: {} -> {}", format_value(old.get(name)), new[name]))
        .collect()
}

fn format_value(value: Option<&Value>) -> String {
    value.map_or_else(|| "absent".into(), Value::to_string)
}

/// Returns the fields of an object by name.
fn object_fields(object: &Object) -> serde_json::Map<String, Value> {
    let Ok(Value::Object(outer)) = serde_json::to_value(object) else {
        return serde_json::Map::new();
    };
    match outer.into_iter().next() {
        Some((_, Value::Object(inner))) => inner,
        _ => serde_json::Map::new(),
    }
}
