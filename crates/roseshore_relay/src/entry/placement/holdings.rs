//! What hosts tell each other of the layers that targets hold, or were ordered to hold.

use super::super::{EntryHost, note};
use super::LEARNED;
use roseshore_core::gateway::peers::HoldingReport;
use roseshore_core::gateway::plan::{LayerRange, intersect};
use roseshore_core::gateway::targets::{LayersReport, Target};
use roseshore_core::prelude::*;

/// Orders and loads that a heartbeat tells of; more do not fit a datagram beside the rest.
const TOLD: usize = 16;
/// What another host ordered, or learned, is believed for so long after each word of it.
const ORDERED: Duration = Duration::from_millis(1200);
/// Layers of a target that was shown not to hold what the list says.
const NOTHING: LayerRange = (0, 0);

impl EntryHost {
    /// Takes what a target said of its layers, and tells the data centre at once.
    pub(super) fn learn_held(&mut self, id: &str, layers: LayerRange) {
        let Some(target) = self.targets.hash(id) else { return };
        let word = self.targets.next_report(target, layers);
        self.targets.apply_report(target, word, self.now + LEARNED);
        self.tell_held(HoldingReport { target, word, done: true });
    }

    fn tell_held(&mut self, note: HoldingReport) {
        self.placing.learned.retain(|(old, _)| old.target != note.target);
        self.placing.learned.push((note, self.now));
        self.beat_now(false);
    }

    /// A target turned a request away since it does not hold its part: it started again, or gave layers
    /// up, and the list does not say so yet. Every host hears of it at once; found out by each of
    /// 64 hosts on its own, one engine that came back empty turned 172 sends away in six seconds.
    pub(in crate::entry) fn disprove_held(&mut self, id: &str, part: LayerRange) {
        let held = self.targets.get(id).and_then(Target::holding).map(|h| h.layers);
        let Some((from, to)) = held.filter(|held| intersect(*held, part) == Some(part)) else {
            // It is held to hold other layers by now.
            return;
        };
        note!(self, TargetListed, "target={id} layers=- before={from}-{to} by=refusal");
        self.learn_held(id, NOTHING);
    }

    /// What was ordered, and learned, of targets' layers, for the other hosts.
    pub(in crate::entry) fn holds(&self) -> Vec<HoldingReport> {
        let begun = self.placing.begun.iter();
        let ordered = begun.filter_map(|(id, b)| {
            let target = self.targets.hash(id)?;
            let listed = self.targets.get(id)?.record.listed_layers();
            let word = LayersReport { number: 0, layers: b.layers, listed };
            Some(HoldingReport { target, word, done: false })
        });
        let learned = self.placing.learned.iter().map(|(note, _)| *note);
        learned.chain(ordered).take(TOLD).collect()
    }

    /// Another host ordered layers, or learned that they are held.
    pub(in crate::entry) fn take_hold(&mut self, hold: HoldingReport) {
        if hold.done {
            let news = self.targets.apply_report(hold.target, hold.word, self.now + ORDERED);
            if news && self.peers.speaking() {
                // Hosts that are spoken to hear only their speakers.
                self.tell_held(hold);
            }
            return;
        }
        // Whoever orders is not to be helped out.
        self.placing.wanted = None;
        let Some(id) = self.targets.id_of(hold.target).cloned() else { return };
        if !self.placing.begun.contains_key(&id) {
            self.believe(&id, hold.word.layers, ORDERED);
        }
    }
}
