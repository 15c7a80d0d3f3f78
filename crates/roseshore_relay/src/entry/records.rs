//! Applies records of the store to the state of this host, the configuration in force and the list
//! of targets, whether they were read from the store or copied from another host.

use super::probes::proof_age;
use super::{EntryHost, log_event};
use roseshore_core::gateway::copies::ListCopy;
use roseshore_core::gateway::targets::{Absence, ListDelta, ListUpdate, RecordChange};
use roseshore_core::gateway::{Position, TargetRecord};
use roseshore_core::prelude::*;
use roseshore_ports::entry::KeyedRecord as Record;
use std::sync::Arc;

impl EntryHost {
    /// The version of the configuration in force; 0 if there is none.
    pub(super) fn config_version(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |s| s.version())
    }

    /// Applies another host's list of targets, and how much longer that host considers targets that
    /// drop out as lapsed.
    pub(super) fn apply_list_copy(&mut self, copy: ListCopy) {
        let known = self.store_sync.list_position();
        if copy.next <= known.unwrap_or_default() {
            return;
        }
        // The host that gave the copy may know only the records of a store that was restored from
        // an older copy.
        let older = known.is_some_and(|known| known.era < copy.next.era);
        self.store_sync.outage.receive_grace(Duration::from_millis(copy.lapse), self.now);
        self.store_sync.outage.receive_copy(self.now);
        let absence = self.store_sync.outage.absence(self.now);
        self.targets.advance_to(copy.next);
        let ListDelta { records, dropped } = copy.changes;
        let count = records.len();
        let whole = dropped.is_none();
        let replaced = match dropped {
            Some(dropped) => self.targets.apply_delta(records, dropped, absence),
            None if older => self.targets.apply_older_list(records, absence),
            None => self.targets.replace_list(records, absence),
        };
        self.log_list(count, replaced, absence, if whole { "copy" } else { "changes" });
        if self.targets.list_version(copy.next).digest == copy.digest {
            self.store_sync.record_list_copy(copy.next);
            self.store_sync.outage.record_confirmation(self.copies.proven_at(copy.age));
        } else {
            // A change was missed, so the next copy has to be a whole list.
            log_event!(
                self,
                CopyFailed,
                "list_next={} why=\"the digest of the list differs after the copy\"",
                copy.next
            );
            self.store_sync.require_whole_list();
        }
    }

    /// Replaces the list of targets by the records of the store. `restored` tells that the store
    /// was restored from a copy that is older than the current list.
    pub(super) fn replace_list(
        &mut self,
        next: Position,
        records: Vec<TargetRecord>,
        absence: Absence,
        restored: bool,
    ) {
        self.targets.advance_to(next);
        let count = records.len();
        if restored {
            let replaced = self.targets.apply_older_list(records, absence);
            return self.log_list(count, replaced, absence, "older_store");
        }
        let replaced = self.targets.replace_list(records, absence);
        self.log_list(count, replaced, absence, "store");
    }

    /// Logs an update of the whole list, and handles targets that dropped out or restarted.
    fn log_list(&mut self, count: usize, replaced: ListUpdate, absence: Absence, by: &str) {
        let ListUpdate { lost, restarted } = replaced;
        log_event!(
            self,
            TargetListed,
            "targets={count} dropped={} restarted={} by={by}",
            lost.len(),
            restarted.len()
        );
        for id in lost {
            self.log_dropped(&id, absence);
        }
        for id in restarted {
            self.target_restarted(&id);
        }
        self.log_foreign();
    }

    /// Logs entries whose layers the model of their service does not have.
    fn log_foreign(&mut self) {
        for foreign in self.targets.take_foreign() {
            log_event!(self, RecordSkipped, "target={:?} why=\"{foreign}\"", foreign.target);
        }
    }

    /// Sends the requests that run on a restarted target to other targets.
    fn target_restarted(&mut self, id: &str) {
        let life = self.targets.get(id).map_or(0, |t| t.record.life);
        log_event!(self, TargetLost, "target={id} state=restarted life={life}");
        self.liveness.mark_lost(id);
    }

    /// A copy of the list of targets for a host that knows it up to `known`.
    pub(super) fn list_copy(&self, known: Position) -> Option<ListCopy> {
        let next = self.store_sync.list_position()?;
        let lapse = self.store_sync.outage.grace_left(self.now).as_millis() as u64;
        let digest = self.targets.list_version(next).digest;
        let age = proof_age(self.list_age());
        Some(ListCopy { next, changes: self.targets.changes_since(known), digest, lapse, age })
    }

    /// Parses a record of the list; `None` if it cannot be parsed.
    pub(super) fn parse_record(&mut self, id: &str, value: &[u8]) -> Option<TargetRecord> {
        match self.platform.target(id, value) {
            Ok(record) => Some(record),
            Err(err) => {
                log_event!(self, RecordSkipped, "target={id:?} why={err:?}");
                None
            }
        }
    }

    /// Applies a new or changed record of the list.
    pub(super) fn apply_record(&mut self, id: &str, value: &[u8]) {
        let Some(record) = self.parse_record(id, value) else {
            // The target is dropped, as it would be when the whole list is read or copied.
            if self.targets.remove(id, Absence::Left) {
                self.log_dropped(id, Absence::Left);
            }
            return;
        };
        match self.targets.upsert(record) {
            RecordChange::Unchanged => {}
            RecordChange::Changed => self.log_listed(id),
            RecordChange::Restarted => {
                self.log_listed(id);
                self.target_restarted(id);
            }
        }
        self.log_foreign();
    }

    fn log_listed(&mut self, id: &str) {
        let Some(record) = self.targets.get(id).map(|t| &t.record) else { return };
        let text = format!(
            "target={id} service={} addr={} data_centre={} draining={} kind={} layers={}",
            record.service,
            record.addr,
            record.data_centre,
            record.draining,
            record.kind.as_deref().unwrap_or("-"),
            record.holding.map_or("-".to_owned(), |h| format!("{}-{}", h.layers.0, h.layers.1)),
        );
        log_event!(self, TargetListed, "{text}");
    }

    /// Applies the deletion of a record of the list.
    pub(super) fn remove_record(&mut self, id: &str) {
        let absence = self.store_sync.outage.absence(self.now);
        if self.targets.remove(id, absence) {
            self.log_dropped(id, absence);
        }
    }

    fn log_dropped(&mut self, id: &str, absence: Absence) {
        match absence {
            Absence::Left => {
                log_event!(self, TargetLeft, "target={id} state=dropped");
            }
            Absence::Lapsed(_) => log_event!(self, TargetLapsed, "target={id}"),
        }
    }

    /// Applies the newest configuration among some records. Returns its version, or the version in
    /// force if it cannot be parsed; `None` if there is no configuration.
    pub(super) fn apply_configs(
        &mut self,
        entries: impl DoubleEndedIterator<Item = Record>,
    ) -> Option<u64> {
        let key = self.platform.config_key();
        let newest = entries.rev().find(|e| e.key == key);
        newest?.value.map(|value| self.apply_config(value))
    }

    /// Applies a configuration if it is newer than the one in force. Returns its version, or the
    /// version in force if it cannot be parsed.
    pub(super) fn apply_config(&mut self, value: Vec<u8>) -> u64 {
        let known = self.config_version();
        match self.platform.config(&value) {
            Ok(fresh) if self.snapshot.is_some() && fresh.version() <= known => fresh.version(),
            Ok(fresh) => {
                let version = fresh.version();
                self.targets.set_models(&fresh);
                self.log_foreign();
                self.snapshot = Some(Arc::new(fresh));
                self.recheck_waiting();
                let bytes = value.len();
                log_event!(
                    self,
                    ConfigApplied,
                    "config_version={version} before={known} bytes={bytes}"
                );
                self.store_sync.config_bytes = value;
                self.store_sync.applied = Some(self.now);
                self.heartbeat_now(true);
                version
            }
            Err(err) => {
                log_event!(self, ConfigSkipped, "kept_version={known} why={err:?}");
                known
            }
        }
    }
}
