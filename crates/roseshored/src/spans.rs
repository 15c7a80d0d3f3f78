//! Collects the tracing spans of recent requests in memory, for `GET /v1/trace/REQUEST`.
//!
//! Components open `tracing` spans below the request's own span, and a subscriber layer collects them
//! by request. The numbers of requests and of spans per request are limited. No span is opened per
//! token.

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

/// Maximum number of spans kept per request.
const MAX_SPANS: usize = 128;
/// The field of a root span that holds the request's id.
const REQUEST_FIELD: &str = "request";
/// The supported version of `traceparent`.
const VERSION: &str = "00";

/// A request's span in the caller's trace, as in W3C Trace Context.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TraceContext {
    id: String,
    span: String,
    flags: String,
}

impl TraceContext {
    /// Creates a child span of the caller's span, or a new trace if the `traceparent` header is absent or
    /// invalid.
    pub fn from_header(header: Option<&str>) -> TraceContext {
        let span = hex16();
        match header.and_then(parse_traceparent) {
            Some(parent) => TraceContext { span, ..parent },
            None => {
                TraceContext { id: format!("{}{}", hex16(), hex16()), span, flags: "01".to_owned() }
            }
        }
    }

    /// The `traceparent` header for calls to targets.
    pub fn header(&self) -> String {
        format!("{VERSION}-{}-{}-{}", self.id, self.span, self.flags)
    }

    /// The trace id: 32 hex digits.
    pub fn id(&self) -> &str {
        &self.id
    }
}

fn parse_traceparent(header: &str) -> Option<TraceContext> {
    let mut parts = header.split('-');
    let version = parts.next()?;
    let id = parts.next()?;
    let span = parts.next()?;
    let flags = parts.next()?;
    let supported = version == VERSION && parts.next().is_none();
    let well_formed = is_hex(id, 32) && is_hex(span, 16) && is_hex(flags, 2);
    let nonzero = id.bytes().any(|it| it != b'0') && span.bytes().any(|it| it != b'0');
    let trace = TraceContext { id: id.to_owned(), span: span.to_owned(), flags: flags.to_owned() };
    (supported && well_formed && nonzero).then_some(trace)
}

fn is_hex(text: &str, len: usize) -> bool {
    text.len() == len && text.bytes().all(|it| it.is_ascii_digit() || (b'a'..=b'f').contains(&it))
}

/// A random nonzero number as 16 hex digits.
pub fn hex16() -> String {
    format!("{:016x}", rand::random::<u64>().max(1))
}

/// A span as returned by the API, with its children.
#[derive(Clone, Debug, Serialize)]
pub struct SpanRow {
    /// The span's name.
    pub name: &'static str,
    /// Start, in microseconds after the start of the request's root span.
    pub start_us: u64,
    /// Duration in microseconds; `None` while the span is open.
    pub took_us: Option<u64>,
    /// Fields, as `name=value`.
    pub fields: Vec<String>,
    /// Child spans.
    pub children: Vec<SpanRow>,
}

/// The spans of one request; the first is its root span.
struct SpanTree {
    start: Instant,
    spans: Vec<Span>,
}

struct Span {
    name: &'static str,
    parent: Option<usize>,
    start: Instant,
    end: Option<Instant>,
    fields: Vec<String>,
}

impl SpanTree {
    fn to_row(&self, index: usize) -> SpanRow {
        let span = &self.spans[index];
        let children =
            (index + 1..self.spans.len()).filter(|it| self.spans[*it].parent == Some(index));
        SpanRow {
            name: span.name,
            start_us: (span.start - self.start).as_micros() as u64,
            took_us: span.end.map(|it| (it - span.start).as_micros() as u64),
            fields: span.fields.clone(),
            children: children.map(|it| self.to_row(it)).collect(),
        }
    }
}

type SharedTree = Arc<Mutex<SpanTree>>;

/// The spans of recent requests.
#[derive(Default)]
pub struct SpanStore {
    requests: Mutex<RecentRequests>,
}

#[derive(Default)]
struct RecentRequests {
    max: usize,
    order: VecDeque<RequestId>,
    trees: HashMap<RequestId, SharedTree>,
}

impl SpanStore {
    /// The spans of a request, by its unique id or by the caller's id; of several requests with one
    /// caller's id, the latest is returned.
    pub fn find(&self, id: &str) -> Option<SpanRow> {
        let requests = self.requests.lock();
        let request = requests.order.iter().rev().find(|it| request_id_matches(it, id))?;
        let tree = requests.trees.get(request)?.clone();
        drop(requests);
        let tree = tree.lock();
        Some(tree.to_row(0))
    }

    fn add(&self, id: RequestId, tree: SharedTree) {
        let mut requests = self.requests.lock();
        if requests.max == 0 {
            return;
        }
        while requests.order.len() >= requests.max {
            if let Some(oldest) = requests.order.pop_front() {
                requests.trees.remove(&oldest);
            }
        }
        requests.order.push_back(id.clone());
        requests.trees.insert(id, tree);
    }
}

/// Installs the process-wide span collector, which keeps the spans of the last `max` requests; 0 keeps
/// none.
pub fn install(max: usize) -> &'static SpanStore {
    static STORE: OnceLock<SpanStore> = OnceLock::new();
    let store = STORE.get_or_init(|| {
        let subscriber = tracing_subscriber::registry().with(SpanCollector);
        // If the embedding process has set its own subscriber, no spans are collected here.
        let _ = tracing::subscriber::set_global_default(subscriber);
        SpanStore::default()
    });
    store.requests.lock().max = max;
    INSTALLED.get_or_init(|| store);
    store
}

static INSTALLED: OnceLock<&'static SpanStore> = OnceLock::new();

/// The layer that collects spans.
struct SpanCollector;

/// The place of a span in its request's tree; stored in the span's extensions.
struct SpanRef {
    tree: SharedTree,
    index: usize,
}

impl<S: tracing::Subscriber + for<'a> LookupSpan<'a>> Layer<S> for SpanCollector {
    fn on_new_span(&self, attrs: &Attributes<'_>, id: &Id, ctx: Context<'_, S>) {
        let Some(span) = ctx.span(id) else { return };
        let mut fields = FieldVisitor::default();
        attrs.record(&mut fields);
        let parent = span.parent();
        let span_ref = match parent.as_ref().map(|it| it.extensions()) {
            Some(extensions) => {
                extensions.get::<SpanRef>().and_then(|it| add_child(it, span.name(), fields))
            }
            None => fields.request.take().map(|request| add_root(request, span.name(), fields)),
        };
        if let Some(span_ref) = span_ref {
            span.extensions_mut().insert(span_ref);
        }
    }

    fn on_record(&self, id: &Id, values: &Record<'_>, ctx: Context<'_, S>) {
        let Some(span) = ctx.span(id) else { return };
        let extensions = span.extensions();
        let Some(span_ref) = extensions.get::<SpanRef>() else { return };
        let mut fields = FieldVisitor::default();
        values.record(&mut fields);
        span_ref.tree.lock().spans[span_ref.index].fields.append(&mut fields.texts);
    }

    fn on_close(&self, id: Id, ctx: Context<'_, S>) {
        let Some(span) = ctx.span(&id) else { return };
        let extensions = span.extensions();
        let Some(span_ref) = extensions.get::<SpanRef>() else { return };
        span_ref.tree.lock().spans[span_ref.index].end = Some(Instant::now());
    }
}

fn add_root(request: RequestId, name: &'static str, fields: FieldVisitor) -> SpanRef {
    let now = Instant::now();
    let span = Span { name, parent: None, start: now, end: None, fields: fields.texts };
    let tree = Arc::new(Mutex::new(SpanTree { start: now, spans: vec![span] }));
    if let Some(store) = INSTALLED.get() {
        store.add(request, tree.clone());
    }
    SpanRef { tree, index: 0 }
}

fn add_child(parent_ref: &SpanRef, name: &'static str, fields: FieldVisitor) -> Option<SpanRef> {
    let mut tree = parent_ref.tree.lock();
    let index = tree.spans.len();
    if index >= MAX_SPANS {
        return None;
    }
    let parent = Some(parent_ref.index);
    tree.spans.push(Span { name, parent, start: Instant::now(), end: None, fields: fields.texts });
    Some(SpanRef { tree: parent_ref.tree.clone(), index })
}

#[derive(Default)]
struct FieldVisitor {
    request: Option<RequestId>,
    texts: Vec<String>,
}

impl Visit for FieldVisitor {
    fn record_debug(&mut self, field: &Field, value: &dyn Debug) {
        let mut text = String::new();
        let _ = write!(text, "{value:?}");
        self.push(field.name(), &text);
    }

    fn record_str(&mut self, field: &Field, value: &str) {
        self.push(field.name(), value);
    }
}

impl FieldVisitor {
    fn push(&mut self, name: &str, value: &str) {
        if name == REQUEST_FIELD {
            self.request = Some(value.to_owned());
        }
        self.texts.push(format!("{name}={value}"));
    }
}
