//! What was read of the store becomes what this host believes: the configuration in force and the
//! list of targets, whether it came from the store or as another host's copy.

use super::{EntryHost, note};
use roseshore_core::gateway::copies::ListCopy;
use roseshore_core::gateway::targets::{Absence, ListDelta, ListUpdate, RecordChange};
use roseshore_core::gateway::{Position, TargetRecord};
use roseshore_core::prelude::*;
use roseshore_ports::entry::Entry as Record;
use std::sync::Arc;

impl EntryHost {
    /// The version of the configuration in force; 0 for none.
    pub(super) fn config_version(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |s| s.version())
    }

    /// A host's list of targets came, and how long it holds those that drop out for lapsed.
    pub(super) fn list_copied(&mut self, copy: ListCopy) {
        let known = self.following.list_next();
        if copy.next <= known.unwrap_or_default() {
            return;
        }
        // A host that has just begun knows only what the older copy of the store holds.
        let older = known.is_some_and(|known| known.era < copy.next.era);
        self.following.outage.receive_grace(Duration::from_millis(copy.lapse), self.now);
        self.following.outage.receive_copy(self.now);
        let absence = self.following.outage.absence(self.now);
        self.targets.advance_to(copy.next);
        let ListDelta { records, dropped } = copy.changes;
        let count = records.len();
        let whole = dropped.is_none();
        let replaced = match dropped {
            Some(dropped) => self.targets.apply_delta(records, dropped, absence),
            None if older => self.targets.apply_older_list(records, absence),
            None => self.targets.replace_list(records, absence),
        };
        self.note_list(count, replaced, absence, if whole { "copy" } else { "changes" });
        if self.targets.list_version(copy.next).digest == copy.digest {
            self.following.list_copied(copy.next);
        } else {
            // Something was missed on the way here: the next copy is to be whole.
            note!(self, CopyFailed, "list_next={} why=\"the digests differ\"", copy.next);
            self.following.list_missed();
        }
    }

    /// The list is this now, as the store told; `back` where that came from an older copy than the list at
    /// hand.
    pub(super) fn take_list(
        &mut self,
        next: Position,
        records: Vec<TargetRecord>,
        absence: Absence,
        back: bool,
    ) {
        self.targets.advance_to(next);
        let count = records.len();
        if back {
            let replaced = self.targets.apply_older_list(records, absence);
            return self.note_list(count, replaced, absence, "older_store");
        }
        let replaced = self.targets.replace_list(records, absence);
        self.note_list(count, replaced, absence, "store");
    }

    fn note_list(&mut self, count: usize, replaced: ListUpdate, absence: Absence, by: &str) {
        let ListUpdate { lost, restarted } = replaced;
        note!(
            self,
            TargetListed,
            "targets={count} dropped={} restarted={} by={by}",
            lost.len(),
            restarted.len()
        );
        for id in lost {
            self.note_dropped(&id, absence);
        }
        for id in restarted {
            self.target_restarted(&id);
        }
    }

    /// What runs through a target that started again is lost, and goes elsewhere.
    fn target_restarted(&mut self, id: &str) {
        let life = self.targets.get(id).map_or(0, |t| t.record.life);
        note!(self, TargetLost, "target={id} state=restarted life={life}");
        self.liveness.lose(id);
    }

    /// The own list of targets, for a host that has read it so far.
    pub(super) fn list_copy(&self, known: Position) -> Option<ListCopy> {
        let next = self.following.list_next()?;
        let lapse = self.following.outage.grace_left(self.now).as_millis() as u64;
        let digest = self.targets.list_version(next).digest;
        Some(ListCopy { next, changes: self.targets.changes_since(known), digest, lapse })
    }

    /// Reads a record of the list; one that cannot be read names no target.
    pub(super) fn record(&mut self, id: &str, value: &[u8]) -> Option<TargetRecord> {
        match self.platform.target(id, value) {
            Ok(record) => Some(record),
            Err(err) => {
                note!(self, RecordSkipped, "target={id:?} why={err:?}");
                None
            }
        }
    }

    pub(super) fn take_record(&mut self, id: &str, value: &[u8]) {
        let Some(record) = self.record(id, value) else {
            // As where the whole list is read, or copied from another host.
            if self.targets.remove(id, Absence::Left) {
                self.note_dropped(id, Absence::Left);
            }
            return;
        };
        match self.targets.upsert(record) {
            RecordChange::Unchanged => {}
            RecordChange::Changed => self.note_listed(id),
            RecordChange::Restarted => {
                self.note_listed(id);
                self.target_restarted(id);
            }
        }
    }

    fn note_listed(&mut self, id: &str) {
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
        note!(self, TargetListed, "{text}");
    }

    pub(super) fn drop_record(&mut self, id: &str) {
        let absence = self.following.outage.absence(self.now);
        if self.targets.remove(id, absence) {
            self.note_dropped(id, absence);
        }
    }

    fn note_dropped(&mut self, id: &str, absence: Absence) {
        match absence {
            Absence::Left => {
                note!(self, TargetLeft, "target={id} state=dropped");
            }
            Absence::Lapsed(_) => note!(self, TargetLapsed, "target={id}"),
        }
    }

    /// Puts the newest configuration of some records in force; returns its version, if there is
    /// one, or the one in force if it cannot be read.
    pub(super) fn take_configs(
        &mut self,
        entries: impl DoubleEndedIterator<Item = Record>,
    ) -> Option<u64> {
        let key = self.platform.config_key();
        let newest = entries.rev().find(|e| e.key == key);
        newest?.value.map(|value| self.take_config(value))
    }

    /// Puts a configuration in force that is newer than the one at hand; returns its version, or that of the one
    /// at hand if it cannot be read.
    pub(super) fn take_config(&mut self, value: Vec<u8>) -> u64 {
        let known = self.config_version();
        match self.platform.config(&value) {
            Ok(fresh) if self.snapshot.is_some() && fresh.version() <= known => fresh.version(),
            Ok(fresh) => {
                let version = fresh.version();
                self.snapshot = Some(Arc::new(fresh));
                let bytes = value.len();
                note!(self, ConfigApplied, "config_version={version} before={known} bytes={bytes}");
                self.following.config_bytes = value;
                self.following.applied = Some(self.now);
                self.beat_now(true);
                version
            }
            Err(err) => {
                note!(self, ConfigSkipped, "kept_version={known} why={err:?}");
                known
            }
        }
    }
}
