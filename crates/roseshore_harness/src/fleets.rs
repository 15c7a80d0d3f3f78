//! Small declared fleets for tests and measurements.

use crate::caller::Chat;
use roseshore_core::fleet::{DataCentre, ServiceKind, TargetKind};
use roseshore_core::prelude::*;
use roseshore_fakes::engine::text::expected;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};

/// Id of the only model in these fleets.
pub const MODEL: &str = "m";
/// Version of [`MODEL`].
pub const VERSION: &str = "v1";
/// Number of layers of [`MODEL`].
pub const LAYERS: Layer = 8;
/// An idempotent model service.
pub const CHAT: &str = "chat";
/// A model service whose requests are not idempotent: each may run at most once.
pub const VERDICT: &str = "verdict";
/// A lookup service over [`SOURCES`].
pub const CARDS: &str = "cards";
/// A plain service whose calls are not idempotent: each may run at most once.
pub const NOTE: &str = "note";
/// The sources of [`CARDS`], in the order of their declaration.
pub const SOURCES: [&str; 3] = ["red", "green", "blue"];
/// An organisation with limits that tests do not reach.
pub const CUSTOMER: &str = "acme";

/// Size and layout of a small fleet.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Number of data centres, at most four: `north`, `south`, `east`, `west`.
    pub centres: usize,
    /// Number of chains in each data centre. A chain is a row of engines that together hold all layers.
    pub chains: usize,
    /// Number of stages (engines) in a chain.
    pub stages: usize,
    /// Index into [`crate::world::SPEEDS`]: the accelerator kind of the first chain.
    pub kind: usize,
    /// Whether each further chain takes the next accelerator kind; otherwise all have the same.
    pub mixed: bool,
}

impl Default for Shape {
    fn default() -> Shape {
        Shape { centres: 1, chains: 2, stages: 2, kind: 0, mixed: false }
    }
}

const CENTRES: [&str; 4] = ["north", "south", "east", "west"];

/// Builds a fleet of the given shape. Each data centre has its chains of engines, one replica of
/// each lookup source and one of the plain service.
pub fn fleet(shape: Shape) -> Fleet {
    let mut fleet = Fleet::default();
    let model = Model {
        layers: LAYERS,
        version: VERSION.into(),
        adapters: BTreeSet::new(),
        layer_bytes: 1 << 20,
    };
    fleet.models.insert(MODEL.into(), model);
    add_services(&mut fleet);
    let customer = Organisation { share: 1.0, rate: 100_000.0, burst: 100_000.0 };
    fleet.organisations.insert(CUSTOMER.into(), customer);
    for centre in CENTRES.iter().take(shape.centres) {
        let data_centre = DataCentre { region: "region".into(), links: BTreeMap::new() };
        fleet.data_centres.insert((*centre).into(), data_centre);
        for chain in 0..shape.chains {
            add_chain(&mut fleet, centre, chain, shape);
        }
        for source in SOURCES {
            add_replica(&mut fleet, centre, &format!("{CARDS}/{source}"), source);
        }
        add_replica(&mut fleet, centre, NOTE, NOTE);
    }
    fleet
}

/// The expected text of a complete answer from [`MODEL`].
pub fn text(chat: &Chat<'_>) -> String {
    text_of(MODEL, VERSION, chat)
}

/// The expected text of a complete answer from the given model and version.
pub fn text_of(model: &str, version: &str, chat: &Chat<'_>) -> String {
    // The HTTP front end puts a role token before the words of a message.
    let words = chat.prompt.split_whitespace().map(str::to_owned);
    let prompt: Vec<String> = std::iter::once("<user>".to_owned()).chain(words).collect();
    expected(model, version, None, &prompt, chat.tokens).concat()
}

fn add_services(fleet: &mut Fleet) {
    let service = |kind, idempotent| Service {
        kind,
        model: (kind == ServiceKind::Model).then(|| MODEL.into()),
        sources: Vec::new(),
        idempotent,
        advisory: false,
        deadline: Duration::from_secs(20),
    };
    let cards = Service {
        sources: SOURCES.iter().map(|s| (*s).into()).collect(),
        ..service(ServiceKind::Lookup, true)
    };
    fleet.services.insert(CHAT.into(), service(ServiceKind::Model, true));
    fleet.services.insert(VERDICT.into(), service(ServiceKind::Model, false));
    fleet.services.insert(CARDS.into(), cards);
    fleet.services.insert(NOTE.into(), service(ServiceKind::Plain, false));
}

/// Splits `layers` into `stages` consecutive half-open ranges of nearly equal size.
pub fn ranges(layers: Layer, stages: usize) -> Vec<(Layer, Layer)> {
    let cut = |i: usize| (usize::from(layers) * i / stages) as Layer;
    (0..stages).map(|i| (cut(i), cut(i + 1))).collect()
}

fn add_chain(fleet: &mut Fleet, centre: &str, chain: usize, shape: Shape) {
    let kinds = crate::world::SPEEDS;
    let kind = shape.kind + if shape.mixed { chain } else { 0 };
    for (stage, layers) in ranges(LAYERS, shape.stages).into_iter().enumerate() {
        let id = format!("{centre}-{chain}-{stage}");
        let target = Target {
            kind: TargetKind::Engine,
            model: Some(MODEL.into()),
            layers: Some(layers),
            accelerator: Some(kinds[kind % kinds.len()].name.into()),
            ..target(centre, &id)
        };
        fleet.targets.insert(id, target);
    }
}

fn add_replica(fleet: &mut Fleet, centre: &str, serves: &str, name: &str) {
    let id = format!("{centre}-{name}");
    let target = Target { serves: Some(serves.into()), ..target(centre, &id) };
    fleet.targets.insert(id, target);
}

fn target(centre: &str, id: &str) -> Target {
    Target {
        kind: TargetKind::Service,
        host: format!("host-{id}"),
        data_centre: centre.into(),
        addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        serves: None,
        model: None,
        layers: None,
        accelerator: None,
        checks_fence: true,
    }
}
