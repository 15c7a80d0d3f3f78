//! Format of a declaration file.
//!
//! Objects are tables `[data_centre.ID]`, `[model.ID]`, `[service.ID]`, `[organisation.ID]` and
//! `[target.ID]`. Groups of targets have a short form: `[[chain]]` lists engines that together hold
//! the layers of a model, and `[[process]]` is a process that serves several services or sources at
//! one address.

use crate::config::{Kind, Object, ObjectKey};
use crate::fleet::{DataCentre, Model, Organisation, Service, Target, TargetKind};
use crate::ids::*;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;
use toml::Spanned;

/// Declared object and its location in the file.
pub(super) struct DeclaredObject {
    pub(super) key: ObjectKey,
    pub(super) object: Object,
    pub(super) span: Range<usize>,
}

/// Layers of the stages of a chain, which must cover those of its model without gap or overlap.
pub(super) struct ChainLayers {
    pub(super) model: ModelId,
    pub(super) stages: Vec<(Range<usize>, (Layer, Layer))>,
}

impl ChainLayers {
    /// Returns the first stage that leaves a gap or overlaps, and the reason.
    pub(super) fn first_fault(&self, layers: Layer) -> Option<(Range<usize>, String)> {
        let mut expected = 0;
        for (span, (first, end)) in &self.stages {
            if *first != expected {
                let why = format!(
                    "this stage begins at layer {first}, the one before ends at {expected}"
                );
                return Some((span.clone(), format!("{why}; let them meet")));
            }
            expected = *end;
        }
        let (span, _) = self.stages.last()?;
        let why =
            format!("the chain ends at layer {expected}, but model `{}` has {layers}", self.model);
        (expected != layers).then(|| (span.clone(), format!("{why}; add or correct a stage")))
    }
}

/// Declarations of one file.
#[derive(Default)]
pub(super) struct Content {
    pub(super) objects: Vec<DeclaredObject>,
    pub(super) chains: Vec<ChainLayers>,
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

/// Engines that together hold the layers of a model; their ids are `NAME-0`, `NAME-1` and so on.
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

/// Process that serves one or more services or sources. The ids of its targets are `NAME-SERVICE`
/// or `NAME-SERVICE-SOURCE`, or `NAME` if there is only one.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Process {
    name: Spanned<String>,
    host: HostId,
    data_centre: DataCentreId,
    addr: SocketAddr,
    serves: Vec<Spanned<String>>,
}

/// Parses one file.
pub(super) fn read(text: &str) -> Result<Content, toml::de::Error> {
    let file: File = toml::from_str(text)?;
    let mut content = Content::default();
    let out = &mut content.objects;
    push_objects(out, file.data_centre, Kind::DataCentre, Object::DataCentre);
    push_objects(out, file.model, Kind::Model, Object::Model);
    push_objects(out, file.service, Kind::Service, Object::Service);
    push_objects(out, file.organisation, Kind::Organisation, Object::Organisation);
    push_objects(out, file.target, Kind::Target, Object::Target);
    for process in file.process {
        push_replicas(out, process);
    }
    for chain in file.chain {
        content.chains.push(chain_layers(&chain));
        push_engines(&mut content.objects, chain);
    }
    Ok(content)
}

fn push_objects<T>(
    out: &mut Vec<DeclaredObject>,
    table: Table<T>,
    kind: Kind,
    wrap: fn(T) -> Object,
) {
    for (id, object) in table {
        let span = id.span();
        let key = ObjectKey::new(kind, id.into_inner());
        out.push(DeclaredObject { key, object: wrap(object), span });
    }
}

fn chain_layers(chain: &Chain) -> ChainLayers {
    let stages = chain.stages.iter().map(|it| (it.span(), it.as_ref().layers));
    ChainLayers { model: chain.model.clone(), stages: stages.collect() }
}

fn push_engines(out: &mut Vec<DeclaredObject>, chain: Chain) {
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
        out.push(declared_target(id, target, span));
    }
}

fn push_replicas(out: &mut Vec<DeclaredObject>, process: Process) {
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
        out.push(declared_target(id, target, span));
    }
}

fn declared_target(id: TargetId, target: Target, span: Range<usize>) -> DeclaredObject {
    DeclaredObject { key: ObjectKey::new(Kind::Target, id), object: Object::Target(target), span }
}
