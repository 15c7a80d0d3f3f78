//! Rows for operators' queries.

use roseshore_core::ledger::history::{EndedRequest, RequestHistory, RequestMeta, RunningRequest};
use roseshore_core::prelude::*;
use roseshore_core::wall::millis;
use roseshore_wire::query::{
    Filter, LateRow, Origin, Query, RefusedRow, Reply, Rows, RunningRow, Topic,
};

/// The most rows that one daemon gives; the newest ones.
const MOST: usize = 1_000;

/// Where a daemon is.
pub(crate) struct Place<'a> {
    /// The daemon.
    pub(crate) host: &'a HostId,
    /// Its data centre.
    pub(crate) data_centre: &'a DataCentreId,
}

impl Place<'_> {
    fn origin(&self, whose: &RequestMeta) -> Origin {
        Origin {
            request: whose.request.clone(),
            service: whose.service.clone(),
            organisation: whose.organisation.clone(),
            data_centre: self.data_centre.clone(),
            host: self.host.clone(),
        }
    }
}

/// One daemon's rows.
pub(crate) fn of_book(book: &RequestHistory, place: &Place<'_>, query: &Query) -> Reply {
    let mut reply = super::empty(query.topic);
    let filter = &query.filter;
    if filter.data_centre.as_ref().is_some_and(|dc| dc != place.data_centre) {
        return reply;
    }
    let (rows, cut) = match query.topic {
        Topic::Running => {
            let mut found: Vec<&RunningRequest> =
                book.running().filter(|r| fits(filter, &r.meta, r.started)).collect();
            found.sort_by_key(|r| r.started);
            let cut = keep_newest(&mut found);
            (Rows::Running(found.into_iter().map(|r| running_row(place, r)).collect()), cut)
        }
        Topic::Late => {
            let mut found: Vec<&EndedRequest> = ended(book.late(), filter);
            let cut = keep_newest(&mut found);
            (Rows::Late(found.into_iter().map(|e| late_row(place, e)).collect()), cut)
        }
        Topic::Refused => {
            let mut found: Vec<&EndedRequest> = ended(book.refused(), filter);
            let cut = keep_newest(&mut found);
            (Rows::Refused(found.into_iter().filter_map(|e| refused_row(place, e)).collect()), cut)
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
    let cut = rows.len() > MOST;
    rows.drain(..rows.len().saturating_sub(MOST));
    cut
}

fn fits(filter: &Filter, whose: &RequestMeta, at: SystemTime) -> bool {
    filter.service.as_ref().is_none_or(|s| *s == whose.service)
        && filter.organisation.as_ref().is_none_or(|o| *o == whose.organisation)
        && filter.since_ms.is_none_or(|since| millis(at) >= since)
}

fn running_row(place: &Place<'_>, running: &RunningRequest) -> RunningRow {
    let now = millis(SystemTime::now()).cast_signed();
    let left = millis(running.deadline).cast_signed() - now;
    RunningRow {
        origin: place.origin(&running.meta),
        begun_ms: millis(running.started),
        left_ms: left,
    }
}

fn late_row(place: &Place<'_>, ended: &EndedRequest) -> LateRow {
    LateRow {
        origin: place.origin(&ended.meta),
        ended_ms: millis(ended.ended_at),
        late_ms: ended.late_by.as_millis() as u64,
        verdict: ended.verdict,
        resumed: ended.reroutes,
    }
}

fn refused_row(place: &Place<'_>, ended: &EndedRequest) -> Option<RefusedRow> {
    Some(RefusedRow {
        origin: place.origin(&ended.meta),
        ended_ms: millis(ended.ended_at),
        verdict: ended.verdict,
        code: ended.code?,
    })
}

/// Adds another daemon's rows; rows of another topic are left out.
pub(crate) fn join(whole: &mut Reply, part: Reply) {
    whole.cut |= part.cut;
    whole.unasked.extend(part.unasked);
    match (&mut whole.rows, part.rows) {
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
        _ => whole.cut = true,
    }
}
