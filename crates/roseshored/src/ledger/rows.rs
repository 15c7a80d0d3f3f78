//! Builds and merges the rows of operators' queries.

use roseshore_core::ledger::history::{EndedRequest, RequestHistory, RequestMeta, RunningRequest};
use roseshore_core::prelude::*;
use roseshore_core::wall::millis;
use roseshore_wire::query::{
    Filter, LateRow, Origin, Query, RefusedRow, Reply, Rows, RunningRow, Topic,
};

/// Most rows that one daemon returns; older ones are left out.
const MAX_ROWS: usize = 1_000;

/// The daemon that rows come from.
pub(crate) struct Location<'a> {
    /// Its host.
    pub(crate) host: &'a HostId,
    /// Its data centre.
    pub(crate) data_centre: &'a DataCentreId,
}

impl Location<'_> {
    fn origin(&self, meta: &RequestMeta) -> Origin {
        Origin {
            request: meta.request.clone(),
            service: meta.service.clone(),
            organisation: meta.organisation.clone(),
            data_centre: self.data_centre.clone(),
            host: self.host.clone(),
        }
    }
}

/// The rows of one daemon's history that match a query.
pub(crate) fn from_history(
    history: &RequestHistory,
    location: &Location<'_>,
    query: &Query,
) -> Reply {
    let mut reply = super::empty(query.topic);
    let filter = &query.filter;
    if filter.data_centre.as_ref().is_some_and(|dc| dc != location.data_centre) {
        return reply;
    }
    let (rows, cut) = match query.topic {
        Topic::Running => {
            let mut found: Vec<&RunningRequest> =
                history.running().filter(|r| fits(filter, &r.meta, r.started)).collect();
            found.sort_by_key(|r| r.started);
            let cut = keep_newest(&mut found);
            (Rows::Running(found.into_iter().map(|r| running_row(location, r)).collect()), cut)
        }
        Topic::Late => {
            let mut found: Vec<&EndedRequest> = ended(history.late(), filter);
            let cut = keep_newest(&mut found);
            (Rows::Late(found.into_iter().map(|e| late_row(location, e)).collect()), cut)
        }
        Topic::Refused => {
            let mut found: Vec<&EndedRequest> = ended(history.refused(), filter);
            let cut = keep_newest(&mut found);
            (
                Rows::Refused(found.into_iter().filter_map(|e| refused_row(location, e)).collect()),
                cut,
            )
        }
        Topic::Account => return reply,
    };
    reply.rows = rows;
    reply.cut = cut;
    reply
}

fn ended<'a>(
    rows: impl Iterator<Item = &'a EndedRequest>,
    filter: &Filter,
) -> Vec<&'a EndedRequest> {
    rows.filter(|e| fits(filter, &e.meta, e.ended_at)).collect()
}

fn keep_newest<T>(rows: &mut Vec<T>) -> bool {
    let cut = rows.len() > MAX_ROWS;
    rows.drain(..rows.len().saturating_sub(MAX_ROWS));
    cut
}

fn fits(filter: &Filter, meta: &RequestMeta, at: SystemTime) -> bool {
    filter.service.as_ref().is_none_or(|s| *s == meta.service)
        && filter.organisation.as_ref().is_none_or(|o| *o == meta.organisation)
        && filter.since_ms.is_none_or(|since| millis(at) >= since)
}

fn running_row(location: &Location<'_>, running: &RunningRequest) -> RunningRow {
    let now = millis(SystemTime::now()).cast_signed();
    let left = millis(running.deadline).cast_signed() - now;
    RunningRow {
        origin: location.origin(&running.meta),
        begun_ms: millis(running.started),
        left_ms: left,
    }
}

fn late_row(location: &Location<'_>, ended: &EndedRequest) -> LateRow {
    LateRow {
        origin: location.origin(&ended.meta),
        ended_ms: millis(ended.ended_at),
        late_ms: ended.late_by.as_millis() as u64,
        verdict: ended.verdict,
        resumed: ended.reroutes,
    }
}

fn refused_row(location: &Location<'_>, ended: &EndedRequest) -> Option<RefusedRow> {
    Some(RefusedRow {
        origin: location.origin(&ended.meta),
        ended_ms: millis(ended.ended_at),
        verdict: ended.verdict,
        code: ended.code?,
    })
}

/// Merges another daemon's rows in order of time. Rows of a different topic are dropped, and the
/// reply is marked as cut.
pub(crate) fn merge(reply: &mut Reply, part: Reply) {
    reply.cut |= part.cut;
    reply.unasked.extend(part.unasked);
    match (&mut reply.rows, part.rows) {
        (Rows::Running(all), Rows::Running(more)) => {
            all.extend(more);
            all.sort_by_key(|r| r.begun_ms);
        }
        (Rows::Late(all), Rows::Late(more)) => {
            all.extend(more);
            all.sort_by_key(|r| r.ended_ms);
        }
        (Rows::Refused(all), Rows::Refused(more)) => {
            all.extend(more);
            all.sort_by_key(|r| r.ended_ms);
        }
        _ => reply.cut = true,
    }
}
