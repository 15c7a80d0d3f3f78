//! What a reply of a replica says about a name.

use super::Found;
use roseshore_core::lookup::SourceReply;
use roseshore_core::prelude::*;
use roseshore_ports::outside::{CallResult, ServiceReply};
use roseshore_wire::service::{Missing, NotStarted};
use std::sync::Arc;

const FOUND: u16 = 200;
const NOT_FOUND: u16 = 404;
const UNAVAILABLE: u16 = 503;

/// Reads a reply to the question for `name` at `source`.
///
/// A `404` counts only with the body that names both; one of a web server on the way, or for
/// another source, is no reply of the source.
pub fn read_reply(
    called: CallResult<ServiceReply>,
    source: &str,
    name: &str,
) -> SourceReply<Found> {
    let reply = match called {
        Ok(reply) => reply,
        Err(error) => return SourceReply::Failed(error.verdict()),
    };
    match reply.status {
        FOUND => SourceReply::Found(Arc::new(reply)),
        NOT_FOUND if is_missing(&reply, source, name) => SourceReply::Missing,
        UNAVAILABLE if is_unstarted(&reply) => SourceReply::Failed(Verdict::NotRun),
        _ => SourceReply::Failed(Verdict::MayHaveRun),
    }
}

fn is_missing(reply: &ServiceReply, source: &str, name: &str) -> bool {
    let word = serde_json::from_slice::<Missing>(&reply.body);
    word.is_ok_and(|w| w.source == source && w.missing == name)
}

fn is_unstarted(reply: &ServiceReply) -> bool {
    serde_json::from_slice::<NotStarted>(&reply.body).is_ok_and(|w| w.not_run)
}
