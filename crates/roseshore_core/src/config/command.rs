//! Commands of operators: records that change objects of the configuration.

use crate::fleet::{DataCentre, Fleet, Model, Organisation, Service, Target};
use crate::ids::*;
use serde::{Deserialize, Serialize};

/// Record format that this daemon folds; records of other formats are skipped.
pub const FORMAT: u32 = 1;

/// Record of the configuration stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Command {
    /// Record format; see [`FORMAT`].
    pub format: u32,
    /// Unique id; records with the same id are copies of one command.
    pub id: CommandId,
    /// Operator who issued the command.
    pub operator: String,
    /// One past the last record that the operator's view was folded from; every copy of the
    /// command has this offset or a later one.
    pub made_at: Offset,
    /// Changes, applied all or none.
    pub changes: Vec<Change>,
}

/// Creation, replacement or deletion of one object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Object to change.
    pub key: ObjectKey,
    /// Version that the operator saw; `None` if the object did not exist.
    pub base: Option<Offset>,
    /// New content; `None` deletes the object.
    pub put: Option<Object>,
}

/// Kind of an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Data centre.
    DataCentre,
    /// Model family.
    Model,
    /// Named service.
    Service,
    /// Organisation with its limits.
    Organisation,
    /// Target, such as an engine or a service replica.
    Target,
}

impl Kind {
    /// Name used in files and messages.
    pub fn name(self) -> &'static str {
        match self {
            Kind::DataCentre => "data_centre",
            Kind::Model => "model",
            Kind::Service => "service",
            Kind::Organisation => "organisation",
            Kind::Target => "target",
        }
    }
}

/// Key of an object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ObjectKey {
    /// Kind of the object.
    pub kind: Kind,
    /// Id, unique among objects of the kind.
    pub id: String,
}

impl ObjectKey {
    /// Creates the key of an object.
    pub fn new(kind: Kind, id: impl Into<String>) -> ObjectKey {
        ObjectKey { kind, id: id.into() }
    }
}

impl std::fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} `{}`", self.kind.name(), self.id)
    }
}

/// Content of an object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Object {
    /// See [`Kind::DataCentre`].
    DataCentre(DataCentre),
    /// See [`Kind::Model`].
    Model(Model),
    /// See [`Kind::Service`].
    Service(Service),
    /// See [`Kind::Organisation`].
    Organisation(Organisation),
    /// See [`Kind::Target`].
    Target(Target),
}

impl Object {
    /// Returns the kind of the object.
    pub fn kind(&self) -> Kind {
        match self {
            Object::DataCentre(_) => Kind::DataCentre,
            Object::Model(_) => Kind::Model,
            Object::Service(_) => Kind::Service,
            Object::Organisation(_) => Kind::Organisation,
            Object::Target(_) => Kind::Target,
        }
    }

    /// Returns the objects that it refers to, which must exist.
    pub fn references(&self) -> Vec<ObjectKey> {
        match self {
            Object::Model(_) | Object::Organisation(_) => Vec::new(),
            Object::DataCentre(it) => {
                it.links.keys().map(|id| ObjectKey::new(Kind::DataCentre, id)).collect()
            }
            Object::Service(it) => {
                it.model.iter().map(|id| ObjectKey::new(Kind::Model, id)).collect()
            }
            Object::Target(it) => {
                let mut out = vec![ObjectKey::new(Kind::DataCentre, &it.data_centre)];
                out.extend(it.model.iter().map(|id| ObjectKey::new(Kind::Model, id)));
                if let Some(serves) = &it.serves {
                    let service = serves.split('/').next().unwrap_or_default();
                    out.push(ObjectKey::new(Kind::Service, service));
                }
                out
            }
        }
    }
}

/// Access to the objects of a [`Fleet`] by key.
impl Fleet {
    /// Returns a copy of the object of a key.
    pub fn object(&self, key: &ObjectKey) -> Option<Object> {
        match key.kind {
            Kind::DataCentre => self.data_centres.get(&key.id).cloned().map(Object::DataCentre),
            Kind::Model => self.models.get(&key.id).cloned().map(Object::Model),
            Kind::Service => self.services.get(&key.id).cloned().map(Object::Service),
            Kind::Organisation => {
                self.organisations.get(&key.id).cloned().map(Object::Organisation)
            }
            Kind::Target => self.targets.get(&key.id).cloned().map(Object::Target),
        }
    }

    /// Whether the object of a key exists.
    pub fn holds(&self, key: &ObjectKey) -> bool {
        match key.kind {
            Kind::DataCentre => self.data_centres.contains_key(&key.id),
            Kind::Model => self.models.contains_key(&key.id),
            Kind::Service => self.services.contains_key(&key.id),
            Kind::Organisation => self.organisations.contains_key(&key.id),
            Kind::Target => self.targets.contains_key(&key.id),
        }
    }

    /// Inserts an object, or replaces the one with the same kind and id.
    pub fn put(&mut self, id: &str, object: Object) {
        let id = id.to_owned();
        match object {
            Object::DataCentre(it) => drop(self.data_centres.insert(id, it)),
            Object::Model(it) => drop(self.models.insert(id, it)),
            Object::Service(it) => drop(self.services.insert(id, it)),
            Object::Organisation(it) => drop(self.organisations.insert(id, it)),
            Object::Target(it) => drop(self.targets.insert(id, it)),
        }
    }

    /// Removes the object of a key.
    pub fn remove(&mut self, key: &ObjectKey) {
        match key.kind {
            Kind::DataCentre => drop(self.data_centres.remove(&key.id)),
            Kind::Model => drop(self.models.remove(&key.id)),
            Kind::Service => drop(self.services.remove(&key.id)),
            Kind::Organisation => drop(self.organisations.remove(&key.id)),
            Kind::Target => drop(self.targets.remove(&key.id)),
        }
    }

    /// Returns every object, ordered by key.
    pub fn objects(&self) -> Vec<(ObjectKey, Object)> {
        let mut out = Vec::new();
        let mut add = |kind, id: &String, object| out.push((ObjectKey::new(kind, id), object));
        for (id, it) in &self.data_centres {
            add(Kind::DataCentre, id, Object::DataCentre(it.clone()));
        }
        for (id, it) in &self.models {
            add(Kind::Model, id, Object::Model(it.clone()));
        }
        for (id, it) in &self.services {
            add(Kind::Service, id, Object::Service(it.clone()));
        }
        for (id, it) in &self.organisations {
            add(Kind::Organisation, id, Object::Organisation(it.clone()));
        }
        for (id, it) in &self.targets {
            add(Kind::Target, id, Object::Target(it.clone()));
        }
        out
    }
}
