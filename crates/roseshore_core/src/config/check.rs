//! What makes a declared fleet valid.
//!
//! A command is judged by the fleet that it would leave behind. [`IndexedFleet`] keeps, beside the fleet,
//! the few counts that let one change be checked by what it touches and refers to, without a walk
//! over all targets and organisations.

use super::command::{Kind, Object, ObjectKey};
use crate::fleet::{
    DataCentre, Fleet, Model, Organisation, Service, ServiceKind, Target, TargetKind,
};
use crate::ids::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// The longest id, bytes.
pub const MAX_ID: usize = 64;
/// The most changes of one command.
pub const MAX_CHANGES: usize = 50_000;
const MAX_LAYERS: Layer = 1024;
const MAX_DEADLINE: Duration = Duration::from_hours(1);
const MAX_ADAPTERS: usize = 4096;

/// What is wrong with an object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Which object.
    pub key: ObjectKey,
    /// What is wrong, and a way out.
    pub message: String,
}

/// A fleet with the counts that its checks need.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct IndexedFleet {
    fleet: Fleet,
    referrers: BTreeMap<ObjectKey, u32>,
    listeners: BTreeMap<(SocketAddr, String), u32>,
    ranges: BTreeMap<ModelId, BTreeMap<(Layer, Layer), u32>>,
}

impl IndexedFleet {
    /// The fleet.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Puts or deletes an object and returns what stood there.
    pub fn replace(&mut self, key: &ObjectKey, new: Option<Object>) -> Option<Object> {
        let old = self.fleet.object(key);
        if let Some(old) = &old {
            self.count(old, false);
            self.fleet.remove(key);
        }
        if let Some(new) = new {
            self.count(&new, true);
            self.fleet.put(&key.id, new);
        }
        old
    }

    fn count(&mut self, object: &Object, add: bool) {
        for key in object.references() {
            bump(&mut self.referrers, key, add);
        }
        let Object::Target(target) = object else { return };
        bump(&mut self.listeners, listener(target), add);
        if let (Some(model), Some(range)) = (&target.model, target.layers) {
            let ranges = self.ranges.entry(model.clone()).or_default();
            bump(ranges, range, add);
            if ranges.is_empty() {
                self.ranges.remove(model);
            }
        }
    }

    /// The first fault that changed objects brought in, given with what stood there before.
    pub fn fault(&self, touched: &[(ObjectKey, Option<Object>)]) -> Option<Fault> {
        let object = touched.iter().find_map(|(key, old)| self.fault_of(key, old.as_ref()));
        object.or_else(|| self.models(touched).iter().find_map(|id| self.tiling(id)))
    }

    fn fault_of(&self, key: &ObjectKey, old: Option<&Object>) -> Option<Fault> {
        let message = match self.fleet.object(key) {
            None => self.in_use(key),
            Some(object) => self.object(key, &object).err().or_else(|| self.served(key, old)),
        };
        message.map(|message| Fault { key: key.clone(), message })
    }

    fn in_use(&self, key: &ObjectKey) -> Option<String> {
        self.referrers.get(key)?;
        let mut objects = self.fleet.objects().into_iter();
        let (user, _) = objects.find(|(_, object)| object.references().contains(key))?;
        Some(format!("{user} still refers to {key}; change or delete it in the same command"))
    }

    /// Targets of a changed service must still fit it.
    fn served(&self, key: &ObjectKey, old: Option<&Object>) -> Option<String> {
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
            let why = self.serves(serves).err()?;
            Some(format!("target `{id}` no longer fits: {why}"))
        })
    }

    fn models(&self, touched: &[(ObjectKey, Option<Object>)]) -> BTreeSet<ModelId> {
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

    /// The declared ranges of a model must leave no layer without a target.
    fn tiling(&self, id: &ModelId) -> Option<Fault> {
        let layers = self.fleet.models.get(id)?.layers;
        let ranges = self.ranges.get(id)?;
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

    fn object(&self, key: &ObjectKey, object: &Object) -> Result<(), String> {
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
            Object::Target(it) => self.target(it),
        }
    }

    fn target(&self, it: &Target) -> Result<(), String> {
        check_id(&it.host)?;
        self.address(it)?;
        match it.kind {
            TargetKind::Engine => check_engine(it),
            TargetKind::Service => {
                if it.model.is_some() || it.layers.is_some() {
                    return Err("a service replica has no `model` or `layers`".into());
                }
                let serves = it.serves.as_ref().ok_or("name what it `serves`")?;
                self.serves(serves)
            }
        }
    }

    fn serves(&self, serves: &str) -> Result<(), String> {
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

    /// Two service replicas may share a process if they serve different things; nothing else may.
    fn address(&self, it: &Target) -> Result<(), String> {
        if it.addr.port() == 0 || it.addr.ip().is_unspecified() || it.addr.ip().is_multicast() {
            return Err(format!("`{}` is not an address to connect to", it.addr));
        }
        let own = listener(it);
        let mut here = self.listeners.range((it.addr, String::new())..);
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

/// Every fault of a whole fleet, in order of key.
pub fn check_fleet(fleet: &Fleet) -> Vec<Fault> {
    let mut view = IndexedFleet::default();
    let objects = fleet.objects();
    for (key, object) in &objects {
        view.replace(key, Some(object.clone()));
    }
    let mut faults: Vec<Fault> =
        objects.iter().filter_map(|(key, _)| view.fault_of(key, None)).collect();
    faults.extend(fleet.models.keys().filter_map(|id| view.tiling(id)));
    faults
}

fn bump<K: Ord>(counts: &mut BTreeMap<K, u32>, key: K, add: bool) {
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

fn listener(target: &Target) -> (SocketAddr, String) {
    (target.addr, target.serves.clone().unwrap_or_default())
}

/// Checks an id's length and letters.
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
