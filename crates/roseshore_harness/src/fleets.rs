//! Small declared fleets for tests and measurements.

use crate::caller::Chat;
use roseshore_core::fleet::{DataCentre, ServiceKind, TargetKind};
use roseshore_core::prelude::*;
use roseshore_fakes::engine::text::expected;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};

/// The model of the small fleets.
pub const MODEL: &str = "m";
/// Its version.
pub const VERSION: &str = "v1";
/// Its layers.
pub const LAYERS: Layer = 8;
/// An idempotent model service.
pub const CHAT: &str = "chat";
/// A model service whose requests may run once.
pub const VERDICT: &str = "verdict";
/// A lookup over [`SOURCES`].
pub const CARDS: &str = "cards";
/// A plain service whose calls may run once.
pub const NOTE: &str = "note";
/// The sources of [`CARDS`], in declared order.
pub const SOURCES: [&str; 3] = ["red", "green", "blue"];
/// A customer with high limits.
pub const CUSTOMER: &str = "acme";

/// The shape of a small fleet.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Data centres, `north` and `south` and so on.
    pub centres: usize,
    /// Chains in each data centre.
    pub chains: usize,
    /// Stages of a chain.
    pub stages: usize,
    /// The kind of accelerator of the first chain; the next chains take the next kinds.
    pub kind: usize,
    /// Whether the kinds differ between chains.
    pub mixed: bool,
}

impl Default for Shape {
    fn default() -> Shape {
        Shape { centres: 1, chains: 2, stages: 2, kind: 0, mixed: false }
    }
}

const CENTRES: [&str; 4] = ["north", "south", "east", "west"];

/// A fleet of a shape: engines, one replica for each source, and a plain service.
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

/// The text that a whole answer of [`MODEL`] has.
pub fn text(chat: &Chat<'_>) -> String {
    text_of(MODEL, VERSION, chat)
}

/// The text that a whole answer of a model has.
pub fn text_of(model: &str, version: &str, chat: &Chat<'_>) -> String {
    // The front puts a token for the role before a message's words.
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

/// The ranges of a model cut into stages.
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
