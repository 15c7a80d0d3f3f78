//! Whose request it is and by when: the headers that every kind of request shares.

use crate::http::exchange::Exchange;
use crate::http::read::Request;
use roseshore_core::prelude::*;
use roseshore_ports::inside::{Permit, RequestInfo};
use std::sync::Arc;
use xxhash_rust::xxh3::Xxh3;

/// The priority of a request that names none.
pub(super) const PRIORITY: u8 = 4;
/// The highest priority.
const MAX_PRIORITY: u8 = 9;
/// The longest deadline that a caller may ask for.
const MAX_DEADLINE: Duration = Duration::from_hours(1);
/// The longest idempotency key.
const MAX_KEY: usize = 200;

/// The fleet in force.
pub(super) fn fleet(exchange: &Exchange<'_>) -> Result<Arc<Fleet>, Refusal> {
    let current = exchange.context.app.fleets.current();
    current.map(|it| it.fleet).ok_or_else(|| {
        let text = "this host has no configuration yet; ask another one, or come back";
        Refusal::not_run(Code::NoConfiguration, text)
    })
}

/// What the headers say of one request.
pub(super) struct RequestHeaders<'a> {
    pub(super) fleet: &'a Fleet,
    pub(super) service: &'a str,
    pub(super) declared: &'a Service,
    pub(super) cost: u32,
}

impl RequestHeaders<'_> {
    /// Reads the headers; from here on the request is in the ledger.
    pub(super) fn ask(
        &self,
        request: &Request,
        exchange: &mut Exchange<'_>,
    ) -> Result<RequestInfo, Refusal> {
        exchange.idempotent = Some(self.declared.idempotent);
        exchange.advisory = self.declared.advisory;
        let organisation = organisation(request, self.fleet)?;
        let limit = deadline(request)?.unwrap_or(self.declared.deadline);
        let ask = RequestInfo {
            request: exchange.id.clone(),
            organisation,
            service: self.service.to_owned(),
            deadline: request.received + limit,
            arrived: request.received,
            priority: priority(request)?,
            cost: self.cost,
        };
        exchange.context.app.ledger.begun(&ask);
        exchange.ask = Some(ask.clone());
        Ok(ask)
    }
}

/// Waits for the request's turn.
pub(super) fn admit(exchange: &Exchange<'_>, ask: &RequestInfo) -> Result<Permit, Refusal> {
    let _span = tracing::info_span!("admit").entered();
    exchange.context.app.admission.admit(ask)
}

/// The customer: its own header, or what stock clients of model interfaces send.
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
            shown(named)
        );
        return Err(Refusal::not_run(Code::UnknownOrganisation, text));
    }
    Ok(named.to_owned())
}

/// A name as it may be shown: a secret sent in the wrong place is not repeated in full.
fn shown(name: &str) -> String {
    const SHOWN: usize = 16;
    let mut text: String = name.chars().take(SHOWN).collect();
    if name.len() > SHOWN {
        text.push('…');
    }
    text
}

fn deadline(request: &Request) -> Result<Option<Duration>, Refusal> {
    let Some(text) = request.header("x-deadline-ms") else { return Ok(None) };
    let limit = text.parse().ok().map(Duration::from_millis);
    match limit.filter(|it| !it.is_zero() && *it <= MAX_DEADLINE) {
        Some(limit) => Ok(Some(limit)),
        None => Err(bad(format!("`x-deadline-ms` must be from 1 to {}", MAX_DEADLINE.as_millis()))),
    }
}

fn priority(request: &Request) -> Result<u8, Refusal> {
    let Some(text) = request.header("x-priority") else { return Ok(PRIORITY) };
    match text.parse() {
        Ok(priority) if priority <= MAX_PRIORITY => Ok(priority),
        _ => Err(bad(format!("`x-priority` must be from 0 to {MAX_PRIORITY}"))),
    }
}

/// The idempotency key, joined with its organisation and service.
pub(super) fn key(request: &Request, ask: &RequestInfo) -> Result<Option<Key>, Refusal> {
    let Some(key) = request.header("idempotency-key") else { return Ok(None) };
    let plain = key.bytes().all(|it| it.is_ascii_graphic());
    if key.is_empty() || key.len() > MAX_KEY || !plain {
        return Err(bad(format!(
            "`idempotency-key` must be 1 to {MAX_KEY} visible ASCII characters"
        )));
    }
    Ok(Some(format!("{}/{}/{key}", ask.organisation, ask.service)))
}

/// A digest over parts, each closed by a zero byte.
pub(super) fn digest<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> u64 {
    let mut hash = Xxh3::new();
    for part in parts {
        hash.update(part);
        hash.update(&[0]);
    }
    hash.digest()
}

fn bad(text: String) -> Refusal {
    Refusal::not_run(Code::BadHeader, text)
}
