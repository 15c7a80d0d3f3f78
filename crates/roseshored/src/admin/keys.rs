//! Admin requests about idempotency keys.

use super::{Answer, DEFAULT_WAIT, answer, problem};
use percent_encoding::percent_decode_str;
use roseshore_core::once::keys::{Holder, State};
use roseshore_core::prelude::*;
use roseshore_ports::inside::{KeyStatus, Keys, OperatorDecision, SettleResult};
use roseshore_wire::admin::{DecisionReport, KeyReport, KeyState, Settle, Settled};

/// Longest note, bytes.
const MAX_NOTE: usize = 1000;

/// `GET /v1/admin/keys?organisation=O&service=S&key=K`; the values are percent-encoded.
pub(super) fn show(keys: &dyn Keys, query: &str) -> Answer {
    let value = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let text = pairs.find(|(found, _)| *found == name).map_or("", |(_, text)| text);
        percent_decode_str(text).decode_utf8_lossy().into_owned()
    };
    let key = match join(&value("organisation"), &value("service"), &value("key")) {
        Ok(key) => key,
        Err(message) => return problem(Code::BadRequest, message),
    };
    match keys.known(&key, Instant::now() + DEFAULT_WAIT) {
        Some(known) => answer(200, &report(key, &known)),
        None => problem(Code::Internal, "this daemon cannot judge keys; ask another"),
    }
}

/// `POST /v1/admin/keys/settle`.
pub(super) fn settle(keys: &dyn Keys, body: &[u8]) -> Answer {
    let request: Settle = match serde_json::from_slice(body) {
        Ok(request) => request,
        Err(err) => return problem(Code::BadRequest, format!("no settle: {err}")),
    };
    let key = match join(&request.organisation, &request.service, &request.key) {
        Ok(key) => key,
        Err(message) => return problem(Code::BadRequest, message),
    };
    if request.operator.is_empty() || request.note.is_empty() || request.note.len() > MAX_NOTE {
        let text = "name `operator`, and what you looked at in `note`, 1 to 1000 bytes";
        return problem(Code::BadRequest, text);
    }
    let decision =
        OperatorDecision { operator: request.operator, note: request.note, ran: request.ran };
    let settled = match keys.settle_by_operator(&key, decision, Instant::now() + DEFAULT_WAIT) {
        SettleResult::Applied(offset) => Settled::Taken { offset },
        SettleResult::Rejected(refusal) => {
            Settled::Rejected { code: refusal.code, message: refusal.message }
        }
        SettleResult::Unknown => {
            let message = "the log did not say in time whether it took the word; look at the key";
            Settled::Unknown { message: message.into() }
        }
    };
    answer(200, &settled)
}

fn join(organisation: &str, service: &str, key: &str) -> Result<Key, &'static str> {
    if [organisation, service, key].iter().any(|part| part.is_empty()) {
        return Err("name `organisation`, `service` and `key`");
    }
    Ok(format!("{organisation}/{service}/{key}"))
}

fn report(key: Key, known: &KeyStatus) -> KeyReport {
    let host = |held: &Holder| held.owner.as_ref().map(|owner| owner.host.clone());
    let state = match &known.state {
        State::Free => KeyState::Free,
        State::Held(held) => {
            KeyState::Held { host: host(held), since_ms: held.since, until_ms: held.until }
        }
        State::Unknown(held) => KeyState::Unknown { host: host(held), since_ms: held.since },
        State::Recorded(settled) => {
            KeyState::Settled { verdict: Verdict::Answered, offset: settled.offset }
        }
        State::Ran(_) => KeyState::Ran,
    };
    let word = known.settlement.as_ref().map(|record| DecisionReport {
        operator: record.settlement.operator.clone(),
        note: record.settlement.note.clone(),
        ran: record.settlement.ran,
        offset: record.offset,
    });
    let KeyStatus { offset, current, covered: complete, .. } = *known;
    KeyReport { key, offset, current, complete, state, word }
}
