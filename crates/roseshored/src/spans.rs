//! Spans of the last requests, one for each hop, kept in memory within bounds.
//!
//! Any part opens spans by `tracing` below the request's; a layer collects them by request, so
//! that `GET /v1/trace/REQUEST` can show where the time went. Nothing is opened per token.

use parking_lot::Mutex;
use roseshore_core::prelude::*;
use serde::Serialize;
use std::collections::{HashMap, VecDeque};
use std::fmt::{Debug, Write as _};
use std::sync::{Arc, OnceLock};
use tracing::field::{Field, Visit};
use tracing::span::{Attributes, Id, Record};
use tracing_subscriber::Layer;
use tracing_subscriber::layer::{Context, SubscriberExt};
use tracing_subscriber::registry::LookupSpan;

/// The most spans kept of one request.
const MAX_SPANS: usize = 128;
/// The field of a request's first span that names it.
const REQUEST: &str = "request";
/// The version of `traceparent` that is written.
const VERSION: &str = "00";

/// The place of a request in the caller's trace, as W3C `traceparent`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trace {
    id: String,
    span: String,
    flags: String,
}

impl Trace {
    /// A span below the caller's, or below none where the caller's header is absent or broken.
    pub fn below(header: Option<&str>) -> Trace {
        let span = hex16();
        match header.and_then(parse) {
            Some(parent) => Trace { span, ..parent },
            None => Trace { id: format!("{}{}", hex16(), hex16()), span, flags: "01".to_owned() },
        }
    }

    /// The header for the next hop.
    pub fn header(&self) -> String {
        format!("{VERSION}-{}-{}-{}", self.id, self.span, self.flags)
    }

    /// The trace's id, 32 hex digits.
    pub fn id(&self) -> &str {
        &self.id
    }
}

fn parse(header: &str) -> Option<Trace> {
    let mut parts = header.split('-');
    let version = parts.next()?;
    let id = parts.next()?;
    let span = parts.next()?;
    let flags = parts.next()?;
    let known = version == VERSION && parts.next().is_none();
    let sound = is_hex(id, 32) && is_hex(span, 16) && is_hex(flags, 2);
    let set = id.bytes().any(|it| it != b'0') && span.bytes().any(|it| it != b'0');
    let trace = Trace { id: id.to_owned(), span: span.to_owned(), flags: flags.to_owned() };
    (known && sound && set).then_some(trace)
}

fn is_hex(text: &str, len: usize) -> bool {
    text.len() == len && text.bytes().all(|it| it.is_ascii_digit() || (b'a'..=b'f').contains(&it))
}

/// Sixteen random hex digits.
pub fn hex16() -> String {
    format!("{:016x}", rand::random::<u64>().max(1))
}

/// One span as it is shown.
#[derive(Clone, Debug, Serialize)]
pub struct SpanRow {
    /// What was done.
    pub name: &'static str,
    /// From the request's arrival, microseconds.
    pub start_us: u64,
    /// How long it took, microseconds; `None` while it is open.
    pub took_us: Option<u64>,
    /// Fields, as `name=value`.
    pub fields: Vec<String>,
    /// Spans below it.
    pub children: Vec<SpanRow>,
}

/// The spans of one request, the first one being its own.
struct Tree {
    begun: Instant,
    rows: Vec<Row>,
}

struct Row {
    name: &'static str,
    parent: Option<usize>,
    start: Instant,
    end: Option<Instant>,
    fields: Vec<String>,
}

impl Tree {
    fn show(&self, index: usize) -> SpanRow {
        let row = &self.rows[index];
        let children =
            (index + 1..self.rows.len()).filter(|it| self.rows[*it].parent == Some(index));
        SpanRow {
            name: row.name,
            start_us: (row.start - self.begun).as_micros() as u64,
            took_us: row.end.map(|it| (it - row.start).as_micros() as u64),
            fields: row.fields.clone(),
            children: children.map(|it| self.show(it)).collect(),
        }
    }
}

type SharedTree = Arc<Mutex<Tree>>;

/// The spans of the last requests.
#[derive(Default)]
pub struct Store {
    kept: Mutex<Kept>,
}

#[derive(Default)]
struct Kept {
    bound: usize,
    order: VecDeque<RequestId>,
    trees: HashMap<RequestId, SharedTree>,
}

impl Store {
    /// The spans of a request, by its id or the id that its caller gave it.
    pub fn find(&self, id: &str) -> Option<SpanRow> {
        let kept = self.kept.lock();
        let full = kept.order.iter().rev().find(|it| request_id_matches(it, id))?;
        let tree = kept.trees.get(full)?.clone();
        drop(kept);
        let tree = tree.lock();
        Some(tree.show(0))
    }

    fn add(&self, id: RequestId, tree: SharedTree) {
        let mut kept = self.kept.lock();
        if kept.bound == 0 {
            return;
        }
        while kept.order.len() >= kept.bound {
            if let Some(old) = kept.order.pop_front() {
                kept.trees.remove(&old);
            }
        }
        kept.order.push_back(id.clone());
        kept.trees.insert(id, tree);
    }
}

/// Keeps the spans of the last `bound` requests of this process from now on.
pub fn install(bound: usize) -> &'static Store {
    static STORE: OnceLock<Store> = OnceLock::new();
    let store = STORE.get_or_init(|| {
        let subscriber = tracing_subscriber::registry().with(Keeper);
        // A second subscriber is an embedder's own choice; then no spans are kept here.
        let _ = tracing::subscriber::set_global_default(subscriber);
        Store::default()
    });
    store.kept.lock().bound = bound;
    KEEPER.get_or_init(|| store);
    store
}

static KEEPER: OnceLock<&'static Store> = OnceLock::new();

/// The layer that collects spans.
struct Keeper;

/// Where a span is kept.
struct Slot {
    tree: SharedTree,
    index: usize,
}

impl<S: tracing::Subscriber + for<'a> LookupSpan<'a>> Layer<S> for Keeper {
    fn on_new_span(&self, attrs: &Attributes<'_>, id: &Id, ctx: Context<'_, S>) {
        let Some(span) = ctx.span(id) else { return };
        let mut seen = Fields::default();
        attrs.record(&mut seen);
        let parent = span.parent();
        let slot = match parent.as_ref().map(|it| it.extensions()) {
            Some(above) => above.get::<Slot>().and_then(|it| child(it, span.name(), seen)),
            None => seen.request.take().map(|request| root(request, span.name(), seen)),
        };
        if let Some(slot) = slot {
            span.extensions_mut().insert(slot);
        }
    }

    fn on_record(&self, id: &Id, values: &Record<'_>, ctx: Context<'_, S>) {
        let Some(span) = ctx.span(id) else { return };
        let extensions = span.extensions();
        let Some(slot) = extensions.get::<Slot>() else { return };
        let mut seen = Fields::default();
        values.record(&mut seen);
        slot.tree.lock().rows[slot.index].fields.append(&mut seen.texts);
    }

    fn on_close(&self, id: Id, ctx: Context<'_, S>) {
        let Some(span) = ctx.span(&id) else { return };
        let extensions = span.extensions();
        let Some(slot) = extensions.get::<Slot>() else { return };
        slot.tree.lock().rows[slot.index].end = Some(Instant::now());
    }
}

fn root(request: RequestId, name: &'static str, seen: Fields) -> Slot {
    let now = Instant::now();
    let row = Row { name, parent: None, start: now, end: None, fields: seen.texts };
    let tree = Arc::new(Mutex::new(Tree { begun: now, rows: vec![row] }));
    if let Some(store) = KEEPER.get() {
        store.add(request, tree.clone());
    }
    Slot { tree, index: 0 }
}

fn child(above: &Slot, name: &'static str, seen: Fields) -> Option<Slot> {
    let mut tree = above.tree.lock();
    let index = tree.rows.len();
    if index >= MAX_SPANS {
        return None;
    }
    let parent = Some(above.index);
    tree.rows.push(Row { name, parent, start: Instant::now(), end: None, fields: seen.texts });
    Some(Slot { tree: above.tree.clone(), index })
}

#[derive(Default)]
struct Fields {
    request: Option<RequestId>,
    texts: Vec<String>,
}

impl Visit for Fields {
    fn record_debug(&mut self, field: &Field, value: &dyn Debug) {
        let mut text = String::new();
        let _ = write!(text, "{value:?}");
        self.push(field.name(), &text);
    }

    fn record_str(&mut self, field: &Field, value: &str) {
        self.push(field.name(), value);
    }
}

impl Fields {
    fn push(&mut self, name: &str, value: &str) {
        if name == REQUEST {
            self.request = Some(value.to_owned());
        }
        self.texts.push(format!("{name}={value}"));
    }
}
