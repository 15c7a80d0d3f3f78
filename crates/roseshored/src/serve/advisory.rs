//! Requests of advisory services that are refused before they are read as such.
//!
//! A host that is leaving, full or given a bad header refuses early; work that must not be dropped
//! silently is found here all the same, so that its end is told and counted like any other.

use super::{CALL, CHAT, LOOKUP, TEXT};
use crate::context::ServerContext;
use crate::http::read::Request;
use roseshore_core::ledger::account::OTHERS;
use roseshore_core::prelude::*;
use roseshore_ports::inside::RequestInfo;
use serde::Deserialize;

/// The part of a body that names the service.
#[derive(Deserialize)]
struct Named {
    model: String,
}

/// Whose request it is, if it names an advisory service; an organisation that is not declared is
/// counted under [`OTHERS`].
pub(super) fn ask(
    context: &ServerContext,
    request: &Request,
    id: &RequestId,
) -> Option<RequestInfo> {
    let fleet = context.app.fleets.current()?.fleet;
    let service = service(request)?;
    let declared = fleet.services.get(&service).filter(|it| it.advisory)?;
    let organisation = super::request_info::organisation(request, &fleet);
    Some(RequestInfo {
        request: id.clone(),
        organisation: organisation.unwrap_or_else(|_| OTHERS.to_owned()),
        service,
        deadline: request.received + declared.deadline,
        arrived: request.received,
        priority: super::request_info::PRIORITY,
        cost: 1,
    })
}

fn service(request: &Request) -> Option<ServiceId> {
    let path = request.path.as_str();
    if path == CHAT || path == TEXT {
        let named: Named = serde_json::from_slice(&request.body).ok()?;
        let (service, _adapter) = super::models::split(&named.model);
        return Some(service.to_owned());
    }
    let rest = path.strip_prefix(LOOKUP).or_else(|| path.strip_prefix(CALL))?;
    rest.split('/').next().map(str::to_owned)
}
