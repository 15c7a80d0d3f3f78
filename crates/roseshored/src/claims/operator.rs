//! Operator queries about idempotency keys, and manual settlement of a key.

use super::partition::Event as PartitionEvent;
use super::{ClaimsDriver, OWNER_QUERY_TIMEOUT};
use crate::event;
use roseshore_core::once::keys::State;
use roseshore_core::once::partition::{
    ClaimantStatus, KeyStatus, LocalWork, SettleRequest, SettleResult, may_settle,
};
use roseshore_core::once::record::{Owner, Settlement};
use roseshore_core::prelude::*;
use roseshore_ports::inside::{Keys, OperatorDecision};
use roseshore_wire::peer::{PeerReply, PeerRequest};

/// How long after its deadline a query still waits for the state machine's reply.
const REPLY_GRACE: Duration = Duration::from_secs(1);

impl Keys for ClaimsDriver {
    fn known(&self, key: &Key, deadline: Instant) -> Option<KeyStatus> {
        self.query_key(key, false, deadline)
    }

    fn settle_by_operator(
        &self,
        key: &Key,
        decision: OperatorDecision,
        deadline: Instant,
    ) -> SettleResult {
        let Some(status) = self.query_key(key, true, deadline) else {
            return SettleResult::Rejected(partition_stopped());
        };
        let claimant = self.claimant(key, &status.state);
        let claim = match may_settle(key, &status, decision.ran, claimant) {
            Ok(claim) => claim,
            Err(refusal) => return SettleResult::Rejected(refusal),
        };
        let OperatorDecision { operator, note, ran } = decision;
        let settlement = Settlement { operator, note, ran, claim };
        let request = SettleRequest { key: key.clone(), settlement: settlement.clone(), deadline };
        let (reply, result_rx) = flume::bounded(1);
        self.send(key, PartitionEvent::SettleByOperator(request, reply));
        let result =
            result_rx.recv_deadline(deadline + REPLY_GRACE).unwrap_or(SettleResult::Unknown);
        if let SettleResult::Applied(offset) = result {
            let Settlement { operator, note, ran, .. } = &settlement;
            event!(
                Event::KeySettled,
                "key={key} offset={offset} ran={ran} operator={operator:?} note={note:?}"
            );
        }
        result
    }
}

impl ClaimsDriver {
    fn query_key(&self, key: &Key, log_time: bool, deadline: Instant) -> Option<KeyStatus> {
        let (reply, status) = flume::bounded(1);
        self.send(key, PartitionEvent::QueryKey(key.clone(), log_time, deadline, reply));
        status.recv_deadline(deadline + REPLY_GRACE).ok()
    }

    /// Whether the daemon that claimed a key is still a member and still works on the key.
    fn claimant(&self, key: &Key, state: &State) -> ClaimantStatus {
        let State::Held(held) = state else { return ClaimantStatus::Gone };
        let Some(owner) = &held.owner else { return ClaimantStatus::Gone };
        let own = self.members.own();
        if own.host == owner.host {
            return match self.local_work(key) {
                _ if own.incarnation != owner.incarnation => ClaimantStatus::Gone,
                LocalWork::Unknown => ClaimantStatus::Idle,
                LocalWork::InProgress | LocalWork::Done(_) => ClaimantStatus::Working,
            };
        }
        self.query_claimant(key, owner)
    }

    fn query_claimant(&self, key: &Key, owner: &Owner) -> ClaimantStatus {
        let members = self.members.all();
        // A member known only by name has incarnation 0 until its first heartbeat arrives.
        let matches = |incarnation| incarnation == owner.incarnation || incarnation == 0;
        let Some(member) =
            members.iter().find(|it| it.host == owner.host && matches(it.incarnation))
        else {
            return ClaimantStatus::Gone;
        };
        match self.peers.ask(
            member.peer,
            &PeerRequest::Outcome { key: key.clone() },
            OWNER_QUERY_TIMEOUT,
        ) {
            Ok(PeerReply::Outcome { .. }) => ClaimantStatus::Working,
            Ok(PeerReply::Unable { .. }) => ClaimantStatus::Idle,
            Ok(_) | Err(_) => ClaimantStatus::Unresponsive,
        }
    }
}

/// Refusal when the partition's thread has stopped.
fn partition_stopped() -> Refusal {
    let text = "this daemon cannot judge keys; nothing was sent, ask another host";
    Refusal::not_run(Code::Internal, text)
}
