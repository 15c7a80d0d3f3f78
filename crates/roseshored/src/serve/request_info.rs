//! Reads the headers that all kinds of requests share: organisation, deadline, priority and key.

use crate::http::exchange::Exchange;
use crate::http::read::Request;
use roseshore_core::prelude::*;
use roseshore_ports::inside::{Permit, RequestInfo};
use std::sync::Arc;
use xxhash_rust::xxh3::Xxh3;

/// Priority of a request that names none.
pub(super) const DEFAULT_PRIORITY: u8 = 4;
/// The highest priority.
const MAX_PRIORITY: u8 = 9;
/// Longest deadline that a caller may request.
const MAX_DEADLINE: Duration = Duration::from_hours(1);
/// Longest idempotency key, in bytes.
const MAX_KEY_LEN: usize = 200;

/// The current configuration.
pub(super) fn fleet(exchange: &Exchange<'_>) -> Result<Arc<Fleet>, Refusal> {
    let current = exchange.context.app.fleets.current();
    current.map(|it| it.fleet).ok_or_else(|| {
        let text = "this host has no configuration yet; ask another one, or come back";
        Refusal::not_run(Code::NoConfiguration, text)
    })
}

/// Builds a request's info from its headers and the service that it names.
pub(super) struct InfoBuilder<'a> {
    pub(super) fleet: &'a Fleet,
    pub(super) service: &'a str,
    pub(super) declared: &'a Service,
    pub(super) cost: u32,
}

impl InfoBuilder<'_> {
    /// Reads the headers and enters the request in the ledger.
    pub(super) fn build(
        &self,
        request: &Request,
        exchange: &mut Exchange<'_>,
    ) -> Result<RequestInfo, Refusal> {
        exchange.idempotent = Some(self.declared.idempotent);
        exchange.advisory = self.declared.advisory;
        let organisation = organisation(request, self.fleet)?;
        let limit = deadline(request)?.unwrap_or(self.declared.deadline);
        let info = RequestInfo {
            request: exchange.id.clone(),
            organisation,
            service: self.service.to_owned(),
            deadline: request.received + limit,
            arrived: request.received,
            priority: priority(request)?,
            cost: self.cost,
        };
        exchange.context.app.ledger.begun(&info);
        exchange.info = Some(info.clone());
        Ok(info)
    }
}

/// Waits until the request is admitted.
pub(super) fn admit(exchange: &Exchange<'_>, info: &RequestInfo) -> Result<Permit, Refusal> {
    let _span = tracing::info_span!("admit").entered();
    exchange.context.app.admission.admit(info)
}

/// The organisation, from its own header or from those that OpenAI-compatible clients send.
pub(super) fn organisation(request: &Request, fleet: &Fleet) -> Result<OrganisationId, Refusal> {
    let bearer = || request.header("authorization")?.strip_prefix("Bearer ");
    let named = request
        .header("x-organisation")
        .or_else(|| request.header("openai-organization"))
        .or_else(bearer);
    let Some(named) = named else {
        let text = "no organisation is named; send the header `x-organisation`";
        return Err(Refusal::not_run(Code::UnknownOrganisation, text));
    };
    if !fleet.organisations.contains_key(named) {
        let text = format!(
            "organisation `{}` is not declared; declare it with `roseshore apply`",
            redact(named)
        );
        return Err(Refusal::not_run(Code::UnknownOrganisation, text));
    }
    Ok(named.to_owned())
}

/// Shortens a name for an error message, because it may be a secret sent in the wrong header.
fn redact(name: &str) -> String {
    const VISIBLE_CHARS: usize = 16;
    let mut text: String = name.chars().take(VISIBLE_CHARS).collect();
    if name.len() > VISIBLE_CHARS {
        text.push('…');
    }
    text
}

fn deadline(request: &Request) -> Result<Option<Duration>, Refusal> {
    let Some(text) = request.header("x-deadline-ms") else { return Ok(None) };
    let limit = text.parse().ok().map(Duration::from_millis);
    match limit.filter(|it| !it.is_zero() && *it <= MAX_DEADLINE) {
        Some(limit) => Ok(Some(limit)),
        None => Err(bad_header(format!(
            "`x-deadline-ms` must be from 1 to {}",
            MAX_DEADLINE.as_millis()
        ))),
    }
}

fn priority(request: &Request) -> Result<u8, Refusal> {
    let Some(text) = request.header("x-priority") else { return Ok(DEFAULT_PRIORITY) };
    match text.parse() {
        Ok(priority) if priority <= MAX_PRIORITY => Ok(priority),
        _ => Err(bad_header(format!("`x-priority` must be from 0 to {MAX_PRIORITY}"))),
    }
}

/// The idempotency key, prefixed with organisation and service, so that keys of different customers
/// cannot collide.
pub(super) fn key(request: &Request, info: &RequestInfo) -> Result<Option<Key>, Refusal> {
    let Some(key) = request.header("idempotency-key") else { return Ok(None) };
    let visible = key.bytes().all(|it| it.is_ascii_graphic());
    if key.is_empty() || key.len() > MAX_KEY_LEN || !visible {
        return Err(bad_header(format!(
            "`idempotency-key` must be 1 to {MAX_KEY_LEN} visible ASCII characters"
        )));
    }
    Ok(Some(format!("{}/{}/{key}", info.organisation, info.service)))
}

/// A digest over several parts, each terminated by a zero byte.
pub(super) fn digest<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> u64 {
    let mut hash = Xxh3::new();
    for part in parts {
        hash.update(part);
        hash.update(&[0]);
    }
    hash.digest()
}

fn bad_header(text: String) -> Refusal {
    Refusal::not_run(Code::BadHeader, text)
}
