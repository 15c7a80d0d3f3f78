//! Validation of a declared fleet.
//!
//! A command is validated by the fleet that it would produce. [`IndexedFleet`] maintains counts
//! beside the fleet, so that a change is checked by the objects that it changes and refers to,
//! without visiting all targets and organisations.

use super::command::{Kind, Object, ObjectKey};
use crate::fleet::{
    DataCentre, Fleet, Model, Organisation, Service, ServiceKind, Target, TargetKind,
};
use crate::ids::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Longest id, in bytes.
pub const MAX_ID: usize = 64;
/// Largest number of changes of one command.
pub const MAX_CHANGES: usize = 50_000;
const MAX_LAYERS: Layer = 1024;
const MAX_DEADLINE: Duration = Duration::from_hours(1);
const MAX_ADAPTERS: usize = 4096;

/// Reason why an object is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Invalid object.
    pub key: ObjectKey,
    /// What is invalid and how to correct it.
    pub message: String,
}

/// Fleet with the counts that its validation needs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct IndexedFleet {
    fleet: Fleet,
    /// Number of references to each object.
    reference_counts: BTreeMap<ObjectKey, u32>,
    /// Number of targets at each address that serve the same thing.
    listener_counts: BTreeMap<(SocketAddr, String), u32>,
    /// Number of targets of each model with each layer range.
    range_counts: BTreeMap<ModelId, BTreeMap<(Layer, Layer), u32>>,
}

impl IndexedFleet {
    /// Fleet without the counts.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Replaces or deletes an object and returns its previous content.
    pub fn replace(&mut self, key: &ObjectKey, new: Option<Object>) -> Option<Object> {
        let old = self.fleet.object(key);
        if let Some(old) = &old {
            self.update_counts(old, false);
            self.fleet.remove(key);
        }
        if let Some(new) = new {
            self.update_counts(&new, true);
            self.fleet.put(&key.id, new);
        }
        old
    }

    fn update_counts(&mut self, object: &Object, add: bool) {
        for key in object.references() {
            adjust_count(&mut self.reference_counts, key, add);
        }
        let Object::Target(target) = object else { return };
        adjust_count(&mut self.listener_counts, listener_key(target), add);
        if let (Some(model), Some(range)) = (&target.model, target.layers) {
            let ranges = self.range_counts.entry(model.clone()).or_default();
            adjust_count(ranges, range, add);
            if ranges.is_empty() {
                self.range_counts.remove(model);
            }
        }
    }

    /// Returns the first fault caused by the changed objects, each with its previous content.
    pub fn first_fault(&self, touched: &[(ObjectKey, Option<Object>)]) -> Option<Fault> {
        let object = touched.iter().find_map(|(key, old)| self.check_key(key, old.as_ref()));
        object
            .or_else(|| self.affected_models(touched).iter().find_map(|id| self.check_coverage(id)))
    }

    fn check_key(&self, key: &ObjectKey, old: Option<&Object>) -> Option<Fault> {
        let message = match self.fleet.object(key) {
            None => self.check_unused(key),
            Some(object) => self
                .check_object(key, &object)
                .err()
                .or_else(|| self.check_served_targets(key, old)),
        };
        message.map(|message| Fault { key: key.clone(), message })
    }

    fn check_unused(&self, key: &ObjectKey) -> Option<String> {
        self.reference_counts.get(key)?;
        let mut objects = self.fleet.objects().into_iter();
        let (user, _) = objects.find(|(_, object)| object.references().contains(key))?;
        Some(format!("{user} still refers to {key}; change or delete it in the same command"))
    }

    /// Checks that the targets of a changed service are still valid.
    fn check_served_targets(&self, key: &ObjectKey, old: Option<&Object>) -> Option<String> {
        let new = self.fleet.services.get(&key.id).filter(|_| key.kind == Kind::Service)?;
        let Some(Object::Service(old)) = old else { return None };
        if (old.kind, &old.sources) == (new.kind, &new.sources) {
            return None;
        }
        let mut targets = self.fleet.targets.iter();
        targets.find_map(|(id, target)| {
            let serves = target.serves.as_ref()?;
            if serves.split('/').next() != Some(&key.id) {
                return None;
            }
            let why = self.check_serves(serves).err()?;
            Some(format!("target `{id}` no longer fits: {why}"))
        })
    }

    fn affected_models(&self, touched: &[(ObjectKey, Option<Object>)]) -> BTreeSet<ModelId> {
        let mut out = BTreeSet::new();
        for (key, old) in touched {
            match key.kind {
                Kind::Model => drop(out.insert(key.id.clone())),
                Kind::Target => {
                    let new = self.fleet.targets.get(&key.id);
                    out.extend(new.and_then(|it| it.model.clone()));
                    if let Some(Object::Target(old)) = old {
                        out.extend(old.model.clone());
                    }
                }
                _ => {}
            }
        }
        out
    }

    /// Checks that the declared ranges of a model leave no layer without a target.
    fn check_coverage(&self, id: &ModelId) -> Option<Fault> {
        let layers = self.fleet.models.get(id)?.layers;
        let ranges = self.range_counts.get(id)?;
        let key = ObjectKey::new(Kind::Model, id);
        let mut covered = 0;
        for &(first, end) in ranges.keys() {
            if first > covered {
                break;
            }
            covered = covered.max(end);
        }
        let message = if let Some((first, end)) = ranges.keys().find(|(_, end)| *end > layers) {
            format!("a target holds layers {first}..{end}, but the model has {layers}")
        } else if covered < layers {
            let next = ranges.keys().map(|it| it.0).find(|first| *first > covered);
            let end = next.unwrap_or(layers);
            format!("no target holds layers {covered}..{end}; declare one, or none for the model")
        } else {
            return None;
        };
        Some(Fault { key, message })
    }

    fn check_object(&self, key: &ObjectKey, object: &Object) -> Result<(), String> {
        check_id(&key.id)?;
        if object.kind() != key.kind {
            return Err(format!("its content is a {}", object.kind().name()));
        }
        for used in object.references() {
            if !self.fleet.holds(&used) {
                return Err(format!("{used} is not declared; declare it or correct the name"));
            }
        }
        match object {
            Object::DataCentre(it) => check_data_centre(&key.id, it),
            Object::Model(it) => check_model(it),
            Object::Service(it) => check_service(it),
            Object::Organisation(it) => check_organisation(it),
            Object::Target(it) => self.check_target(it),
        }
    }

    fn check_target(&self, it: &Target) -> Result<(), String> {
        check_id(&it.host)?;
        self.check_address(it)?;
        match it.kind {
            TargetKind::Engine => check_engine(it),
            TargetKind::Service => {
                if it.model.is_some() || it.layers.is_some() {
                    return Err("a service replica has no `model` or `layers`".into());
                }
                let serves = it.serves.as_ref().ok_or("name what it `serves`")?;
                self.check_serves(serves)
            }
        }
    }

    fn check_serves(&self, serves: &str) -> Result<(), String> {
        let (id, source) = match serves.split_once('/') {
            Some((id, source)) => (id, Some(source)),
            None => (serves, None),
        };
        let service = self.fleet.services.get(id);
        let service = service.ok_or_else(|| format!("service `{id}` is not declared"))?;
        if service.kind == ServiceKind::Model {
            return Err(format!("`{id}` is served by engines; declare the target as `engine`"));
        }
        match source {
            Some(source) if !service.sources.iter().any(|it| it == source) => {
                Err(format!("service `{id}` has no source `{source}`; add it to its `sources`"))
            }
            _ => Ok(()),
        }
    }

    /// Checks the address: only service replicas that serve different things may share one.
    fn check_address(&self, it: &Target) -> Result<(), String> {
        if it.addr.port() == 0 || it.addr.ip().is_unspecified() || it.addr.ip().is_multicast() {
            return Err(format!("`{}` is not an address to connect to", it.addr));
        }
        let own = listener_key(it);
        let mut here = self.listener_counts.range((it.addr, String::new())..);
        let clash = here.by_ref().take_while(|(key, _)| key.0 == it.addr).any(|(key, count)| {
            let same = *key == own;
            let engine = own.1.is_empty() || key.1.is_empty();
            if same { *count > 1 } else { engine }
        });
        if clash {
            return Err(format!("another target has the address `{}`; give each its own", it.addr));
        }
        Ok(())
    }
}

/// Returns every fault of a fleet: first those of objects, then models with gaps in their layers,
/// each ordered by key.
pub fn check_fleet(fleet: &Fleet) -> Vec<Fault> {
    let mut indexed = IndexedFleet::default();
    let objects = fleet.objects();
    for (key, object) in &objects {
        indexed.replace(key, Some(object.clone()));
    }
    let mut faults: Vec<Fault> =
        objects.iter().filter_map(|(key, _)| indexed.check_key(key, None)).collect();
    faults.extend(fleet.models.keys().filter_map(|id| indexed.check_coverage(id)));
    faults
}

fn adjust_count<K: Ord>(counts: &mut BTreeMap<K, u32>, key: K, add: bool) {
    let count = counts.entry(key);
    if add {
        *count.or_default() += 1;
    } else if let std::collections::btree_map::Entry::Occupied(mut entry) = count {
        *entry.get_mut() -= 1;
        if *entry.get() == 0 {
            entry.remove();
        }
    }
}

/// Address of a target and what it serves.
fn listener_key(target: &Target) -> (SocketAddr, String) {
    (target.addr, target.serves.clone().unwrap_or_default())
}

/// Checks the length and the characters of an id.
fn check_id(id: &str) -> Result<(), String> {
    let letter = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if id.is_empty() || id.len() > MAX_ID || !id.chars().all(letter) {
        return Err(format!(
            "`{}` is not a name: use 1 to {MAX_ID} letters, digits, `-`, `_` or `.`",
            id.chars().take(MAX_ID).collect::<String>()
        ));
    }
    Ok(())
}

fn check_data_centre(id: &str, it: &DataCentre) -> Result<(), String> {
    check_id(&it.region)?;
    if it.links.contains_key(id) {
        return Err("it has a link to itself; remove it".into());
    }
    match it.links.iter().find(|(_, ms)| !(0.0..=10_000.0).contains(*ms)) {
        Some((to, _)) => Err(format!("the link to `{to}` must be 0 to 10000 ms")),
        None => Ok(()),
    }
}

fn check_model(it: &Model) -> Result<(), String> {
    if it.layers == 0 || it.layers > MAX_LAYERS {
        return Err(format!("`layers` must be 1 to {MAX_LAYERS}"));
    }
    if it.adapters.len() > MAX_ADAPTERS {
        return Err(format!("at most {MAX_ADAPTERS} `adapters`"));
    }
    if it.layer_bytes == 0 {
        return Err("`layer_bytes` must be at least 1".into());
    }
    check_id(&it.version)?;
    it.adapters.iter().try_for_each(|id| check_id(id))
}

fn check_service(it: &Service) -> Result<(), String> {
    if it.deadline.is_zero() || it.deadline > MAX_DEADLINE {
        return Err("`deadline` must be 1 to 3600000 ms".into());
    }
    match it.kind {
        ServiceKind::Model if it.model.is_none() => Err("name its `model`".into()),
        ServiceKind::Lookup | ServiceKind::Plain if it.model.is_some() => {
            Err("only a service of kind `model` has a `model`".into())
        }
        ServiceKind::Model | ServiceKind::Plain if !it.sources.is_empty() => {
            Err("only a service of kind `lookup` has `sources`".into())
        }
        ServiceKind::Lookup if !it.idempotent => {
            Err("a lookup is idempotent; leave `idempotent` out".into())
        }
        _ => {
            let names: BTreeSet<_> = it.sources.iter().collect();
            if names.len() < it.sources.len() {
                return Err("a source is named twice in `sources`".into());
            }
            it.sources.iter().try_for_each(|id| check_id(id))
        }
    }
}

fn check_organisation(it: &Organisation) -> Result<(), String> {
    let positive = |name: &str, value: f64, least: f64| {
        if value.is_finite() && value >= least && value <= 1e9 {
            return Ok(());
        }
        Err(format!("`{name}` must be {least} to 1000000000"))
    };
    positive("share", it.share, 1e-6)?;
    positive("rate", it.rate, 1e-6)?;
    positive("burst", it.burst, 1.0)
}

fn check_engine(it: &Target) -> Result<(), String> {
    if it.serves.is_some() {
        return Err("an engine has no `serves`; name its `model` and `layers`".into());
    }
    match (&it.model, it.layers) {
        (None, None) => Ok(()),
        (Some(_), Some((first, end))) if first < end => Ok(()),
        (Some(_), Some((first, end))) => Err(format!("`layers` {first}..{end} is empty")),
        _ => Err("name both `model` and `layers`, or neither".into()),
    }
}
