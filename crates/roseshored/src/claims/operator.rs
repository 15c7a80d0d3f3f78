//! Operators' questions about keys, and their word on one.

use super::partition::Event as Said;
use super::{ASK_LIMIT, ClaimsDriver};
use crate::event;
use roseshore_core::once::keys::State;
use roseshore_core::once::partition::{
    ClaimantStatus, KeyStatus, LocalWork, SettleRequest, SettleResult, may_settle,
};
use roseshore_core::once::record::{Owner, Settlement};
use roseshore_core::prelude::*;
use roseshore_ports::inside::{Keys, OperatorDecision};
use roseshore_wire::peer::{PeerReply, PeerRequest};

/// How long past its deadline a question waits for the machine's word.
const GRACE: Duration = Duration::from_secs(1);

impl Keys for ClaimsDriver {
    fn known(&self, key: &Key, deadline: Instant) -> Option<KeyStatus> {
        self.look(key, false, deadline)
    }

    fn settle_by_operator(
        &self,
        key: &Key,
        said: OperatorDecision,
        deadline: Instant,
    ) -> SettleResult {
        let Some(known) = self.look(key, true, deadline) else {
            return SettleResult::Rejected(gone());
        };
        let claimant = self.claimant(key, &known.state);
        let claim = match may_settle(key, &known, said.ran, claimant) {
            Ok(claim) => claim,
            Err(refusal) => return SettleResult::Rejected(refusal),
        };
        let OperatorDecision { operator, note, ran } = said;
        let word = Settlement { operator, note, ran, claim };
        let settling = SettleRequest { key: key.clone(), settlement: word.clone(), deadline };
        let (told, ruled) = flume::bounded(1);
        self.send(key, Said::SettleBy(settling, told));
        let ruling = ruled.recv_deadline(deadline + GRACE).unwrap_or(SettleResult::Unknown);
        if let SettleResult::Applied(offset) = ruling {
            let Settlement { operator, note, ran, .. } = &word;
            event!(
                Event::KeySettled,
                "key={key} offset={offset} ran={ran} operator={operator:?} note={note:?}"
            );
        }
        ruling
    }
}

impl ClaimsDriver {
    fn look(&self, key: &Key, mark: bool, deadline: Instant) -> Option<KeyStatus> {
        let (told, known) = flume::bounded(1);
        self.send(key, Said::Look(key.clone(), mark, deadline, told));
        known.recv_deadline(deadline + GRACE).ok()
    }

    /// What the claimant of a key says itself, if it is still among the daemons.
    fn claimant(&self, key: &Key, state: &State) -> ClaimantStatus {
        let State::Held(held) = state else { return ClaimantStatus::Gone };
        let Some(owner) = &held.owner else { return ClaimantStatus::Gone };
        let own = self.members.own();
        if own.host == owner.host {
            return match self.work(key) {
                _ if own.incarnation != owner.incarnation => ClaimantStatus::Gone,
                LocalWork::Unknown => ClaimantStatus::Idle,
                LocalWork::InProgress | LocalWork::Done(_) => ClaimantStatus::Working,
            };
        }
        self.ask_claimant(key, owner)
    }

    fn ask_claimant(&self, key: &Key, owner: &Owner) -> ClaimantStatus {
        let members = self.members.all();
        // A daemon that was only named to this one has no known life yet.
        let is = |life| life == owner.incarnation || life == 0;
        let Some(member) = members.iter().find(|it| it.host == owner.host && is(it.incarnation))
        else {
            return ClaimantStatus::Gone;
        };
        match self.peers.ask(member.peer, &PeerRequest::Outcome { key: key.clone() }, ASK_LIMIT) {
            Ok(PeerReply::Outcome { .. }) => ClaimantStatus::Working,
            Ok(PeerReply::Unable { .. }) => ClaimantStatus::Idle,
            Ok(_) | Err(_) => ClaimantStatus::Unresponsive,
        }
    }
}

/// The partition's thread is gone.
fn gone() -> Refusal {
    let text = "this daemon cannot judge keys; nothing was sent, ask another host";
    Refusal::not_run(Code::Internal, text)
}
