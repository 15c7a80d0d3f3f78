//! The shape of one file.
//!
//! Objects stand under `[data_centre.ID]`, `[model.ID]`, `[service.ID]`, `[organisation.ID]` and
//! `[target.ID]`. Groups of targets have short forms: `[[chain]]` lists engines that together hold
//! a model's layers, `[[process]]` a process that serves several things at one address.

use crate::config::{Kind, Object, ObjectKey};
use crate::fleet::{DataCentre, Model, Organisation, Service, Target, TargetKind};
use crate::ids::*;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;
use toml::Spanned;

/// An object and where it stands.
pub(super) struct Declared {
    pub(super) key: ObjectKey,
    pub(super) object: Object,
    pub(super) span: Range<usize>,
}

/// The stages of a chain, which must tile the layers of its model.
pub(super) struct Tiling {
    pub(super) model: ModelId,
    pub(super) stages: Vec<(Range<usize>, (Layer, Layer))>,
}

impl Tiling {
    /// The first stage that leaves a hole or overlaps, and why.
    pub(super) fn fault(&self, layers: Layer) -> Option<(Range<usize>, String)> {
        let mut due = 0;
        for (span, (first, end)) in &self.stages {
            if *first != due {
                let why =
                    format!("this stage begins at layer {first}, the one before ends at {due}");
                return Some((span.clone(), format!("{why}; let them meet")));
            }
            due = *end;
        }
        let (span, _) = self.stages.last()?;
        let why = format!("the chain ends at layer {due}, but model `{}` has {layers}", self.model);
        (due != layers).then(|| (span.clone(), format!("{why}; add or correct a stage")))
    }
}

/// What one file declares.
#[derive(Default)]
pub(super) struct Content {
    pub(super) objects: Vec<Declared>,
    pub(super) tilings: Vec<Tiling>,
}

type Table<T> = BTreeMap<Spanned<String>, T>;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    #[serde(default)]
    data_centre: Table<DataCentre>,
    #[serde(default)]
    model: Table<Model>,
    #[serde(default)]
    service: Table<Service>,
    #[serde(default)]
    organisation: Table<Organisation>,
    #[serde(default)]
    target: Table<Target>,
    #[serde(default)]
    chain: Vec<Chain>,
    #[serde(default)]
    process: Vec<Process>,
}

/// Engines that together hold a model's layers; their ids are `NAME-0`, `NAME-1` and so on.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Chain {
    name: Spanned<String>,
    model: ModelId,
    data_centre: DataCentreId,
    #[serde(default)]
    checks_fence: bool,
    stages: Vec<Spanned<Stage>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Stage {
    host: HostId,
    addr: SocketAddr,
    layers: (Layer, Layer),
    #[serde(default)]
    accelerator: Option<String>,
    #[serde(default)]
    checks_fence: Option<bool>,
}

/// A process that serves several things; the ids are `NAME-SERVICE` or `NAME-SERVICE-SOURCE`, or
/// `NAME` if it serves one thing.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Process {
    name: Spanned<String>,
    host: HostId,
    data_centre: DataCentreId,
    addr: SocketAddr,
    serves: Vec<Spanned<String>>,
}

/// Reads one file.
pub(super) fn read(text: &str) -> Result<Content, toml::de::Error> {
    let file: File = toml::from_str(text)?;
    let mut content = Content::default();
    let out = &mut content.objects;
    table(out, file.data_centre, Kind::DataCentre, Object::DataCentre);
    table(out, file.model, Kind::Model, Object::Model);
    table(out, file.service, Kind::Service, Object::Service);
    table(out, file.organisation, Kind::Organisation, Object::Organisation);
    table(out, file.target, Kind::Target, Object::Target);
    for process in file.process {
        replicas(out, process);
    }
    for chain in file.chain {
        content.tilings.push(tiling(&chain));
        engines(&mut content.objects, chain);
    }
    Ok(content)
}

fn table<T>(out: &mut Vec<Declared>, table: Table<T>, kind: Kind, wrap: fn(T) -> Object) {
    for (id, object) in table {
        let span = id.span();
        let key = ObjectKey::new(kind, id.into_inner());
        out.push(Declared { key, object: wrap(object), span });
    }
}

fn tiling(chain: &Chain) -> Tiling {
    let stages = chain.stages.iter().map(|it| (it.span(), it.as_ref().layers));
    Tiling { model: chain.model.clone(), stages: stages.collect() }
}

fn engines(out: &mut Vec<Declared>, chain: Chain) {
    for (index, stage) in chain.stages.into_iter().enumerate() {
        let span = stage.span();
        let stage = stage.into_inner();
        let id = format!("{}-{index}", chain.name.as_ref());
        let target = Target {
            kind: TargetKind::Engine,
            host: stage.host,
            data_centre: chain.data_centre.clone(),
            addr: stage.addr,
            serves: None,
            model: Some(chain.model.clone()),
            layers: Some(stage.layers),
            accelerator: stage.accelerator,
            checks_fence: stage.checks_fence.unwrap_or(chain.checks_fence),
        };
        out.push(declared(id, target, span));
    }
}

fn replicas(out: &mut Vec<Declared>, process: Process) {
    let name = process.name.as_ref();
    let single = process.serves.len() == 1;
    for serves in process.serves {
        let span = serves.span();
        let serves = serves.into_inner();
        let id = if single { name.clone() } else { format!("{name}-{}", serves.replace('/', "-")) };
        let target = Target {
            kind: TargetKind::Service,
            host: process.host.clone(),
            data_centre: process.data_centre.clone(),
            addr: process.addr,
            serves: Some(serves),
            model: None,
            layers: None,
            accelerator: None,
            checks_fence: false,
        };
        out.push(declared(id, target, span));
    }
}

fn declared(id: TargetId, target: Target, span: Range<usize>) -> Declared {
    Declared { key: ObjectKey::new(Kind::Target, id), object: Object::Target(target), span }
}
