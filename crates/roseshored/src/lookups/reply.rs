//! Interprets a replica's reply to a lookup.

use super::Found;
use roseshore_core::lookup::SourceReply;
use roseshore_core::prelude::*;
use roseshore_ports::outside::{CallResult, ServiceReply};
use roseshore_wire::service::{Missing, NotStarted};
use std::sync::Arc;

const FOUND: u16 = 200;
const NOT_FOUND: u16 = 404;
const UNAVAILABLE: u16 = 503;

/// Interprets the result of looking up `name` at `source`.
///
/// A `404` counts as missing only with a body that names both; a `404` from a web server in between
/// or for another source is not a reply of this source.
pub fn read_reply(
    result: CallResult<ServiceReply>,
    source: &str,
    name: &str,
) -> SourceReply<Found> {
    let reply = match result {
        Ok(reply) => reply,
        Err(error) => return SourceReply::Failed(error.verdict()),
    };
    match reply.status {
        FOUND => SourceReply::Found(Arc::new(reply)),
        NOT_FOUND if is_missing(&reply, source, name) => SourceReply::Missing,
        UNAVAILABLE if is_not_started(&reply) => SourceReply::Failed(Verdict::NotRun),
        _ => SourceReply::Failed(Verdict::MayHaveRun),
    }
}

fn is_missing(reply: &ServiceReply, source: &str, name: &str) -> bool {
    let missing = serde_json::from_slice::<Missing>(&reply.body);
    missing.is_ok_and(|m| m.source == source && m.missing == name)
}

fn is_not_started(reply: &ServiceReply) -> bool {
    serde_json::from_slice::<NotStarted>(&reply.body).is_ok_and(|n| n.not_run)
}
