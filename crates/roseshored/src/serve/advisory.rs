//! Identifies requests of advisory services that are refused before they are fully read.
//!
//! A request may be refused early because the host is leaving or full or a header is invalid. Advisory
//! work must not be dropped silently, so its end is logged and counted in these cases too.

use super::{CALL, CHAT, LOOKUP, TEXT};
use crate::context::ServerContext;
use crate::http::read::Request;
use roseshore_core::ledger::account::OTHERS;
use roseshore_core::prelude::*;
use roseshore_ports::inside::RequestInfo;
use serde::Deserialize;

/// The part of a body that names the service.
#[derive(Deserialize)]
struct ModelField {
    model: String,
}

/// The request's info if it names an advisory service, otherwise `None`. An organisation that is not
/// declared is counted under [`OTHERS`].
pub(super) fn request_info(
    context: &ServerContext,
    request: &Request,
    id: &RequestId,
) -> Option<RequestInfo> {
    let fleet = context.app.fleets.current()?.fleet;
    let service = service_name(request)?;
    let declared = fleet.services.get(&service).filter(|it| it.advisory)?;
    let organisation = super::request_info::organisation(request, &fleet);
    Some(RequestInfo {
        request: id.clone(),
        organisation: organisation.unwrap_or_else(|_| OTHERS.to_owned()),
        service,
        deadline: request.received + declared.deadline,
        arrived: request.received,
        priority: super::request_info::DEFAULT_PRIORITY,
        cost: 1,
    })
}

fn service_name(request: &Request) -> Option<ServiceId> {
    let path = request.path.as_str();
    if path == CHAT || path == TEXT {
        let body: ModelField = serde_json::from_slice(&request.body).ok()?;
        let (service, _adapter) = super::models::split_adapter(&body.model);
        return Some(service.to_owned());
    }
    let rest = path.strip_prefix(LOOKUP).or_else(|| path.strip_prefix(CALL))?;
    rest.split('/').next().map(str::to_owned)
}
