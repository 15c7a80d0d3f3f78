//! What a placement is worth: the requests a second that it can carry.

use super::{EngineState, LayerRange, rooms};
use crate::gateway::path::HOP_MS;
use crate::gateway::routes::EngineSpec;

/// Part of the room that is used when a data centre is as busy as it should be.
const WORKING_FILL: f64 = 0.8;
/// How sharply the narrowest layers decide. With a plain minimum a widened layer counts for nothing
/// as long as another is as narrow, so no single step towards an even placement would pay.
const SHARPNESS: i32 = 8;

/// What one engine does for each request, on average.
#[derive(Clone, Copy, Debug)]
pub(super) struct Work {
    /// Layers that a request runs through there, as a share of the model's.
    pub(super) share: f64,
    /// How often a request's path leads there.
    pub(super) visits: f64,
    /// The kind's factor on steps.
    pub(super) pace: f64,
    /// The kind's factor on reading.
    pub(super) read: f64,
}

/// Requests a second, when each of them may take so much room, tokens, so many engines hold the first
/// layers, and each request is worked on like this. As many run at once as there is room for, and as
/// those engines take; each of them makes every step longer, so more room is worth less on slow engines.
pub(super) fn rate(
    spec: &EngineSpec,
    room: f64,
    firsts: usize,
    work: impl Iterator<Item = Work>,
) -> f64 {
    let held = spec.mean_prompt + 0.5 * spec.mean_answer;
    let starts = firsts as f64 * f64::from(spec.slots);
    let running = WORKING_FILL * (room / held.max(1.0)).min(starts);
    let added = spec.per_seq_ms + spec.context_ms * held;
    let (mut token, mut read) = (0.0, 0.0);
    for part in work {
        let step = spec.step_ms + running * part.visits * added;
        token += part.share * step * part.pace + part.visits * HOP_MS;
        read += part.share * spec.mean_prompt / spec.prefill_per_ms * part.read;
    }
    let life = read + spec.mean_answer * token;
    if life > 0.0 { 1000.0 * running / life } else { 0.0 }
}

/// An engine and what it holds.
#[derive(Clone, Copy, Debug)]
pub(super) struct Holder {
    /// What it holds.
    pub(super) layers: Option<LayerRange>,
    size_mb: f64,
    pace: f64,
    read: f64,
}

impl Holder {
    fn new(spec: &EngineSpec, member: &EngineState) -> Option<Holder> {
        let kind = spec.kind(Some(&member.kind))?;
        let (size_mb, pace, read) = (kind.memory_mb, kind.step_factor, kind.prefill_factor);
        Some(Holder { layers: member.layers, size_mb, pace, read })
    }
}

/// All engines with what they hold, summed up so that a change of one of them is valued without
/// adding all up again.
#[derive(Clone, Debug)]
pub(super) struct Layout<'a> {
    spec: &'a EngineSpec,
    holders: Vec<Option<Holder>>,
    /// Room of each layer over its holders, tokens.
    rooms: Vec<f64>,
    /// Sums of the inverse of the rooms of all layers before each.
    inverse: Vec<f64>,
}

impl<'a> Layout<'a> {
    pub(super) fn new(spec: &'a EngineSpec, members: &[EngineState]) -> Layout<'a> {
        Layout {
            spec,
            holders: members.iter().map(|m| Holder::new(spec, m)).collect(),
            rooms: rooms(spec, members, members.len()),
            inverse: vec![0.0; usize::from(spec.layers) + 1],
        }
    }

    /// Lets an engine hold other layers.
    pub(super) fn set(&mut self, index: usize, layers: Option<LayerRange>) {
        let Some(mut holder) = self.holders[index] else { return };
        self.add(&holder, -1.0);
        holder.layers = layers;
        self.add(&holder, 1.0);
        self.holders[index] = Some(holder);
    }

    fn add(&mut self, holder: &Holder, sign: f64) {
        let Some((from, to)) = holder.layers else { return };
        let room = sign * self.room(holder);
        let to = usize::from(to).min(self.rooms.len());
        self.rooms[usize::from(from)..to].iter_mut().for_each(|r| *r += room);
    }

    /// Room that an engine has, tokens; a little where it has none, as it holds the layers.
    fn room(&self, holder: &Holder) -> f64 {
        let width = holder.layers.map_or(0, |(from, to)| to - from);
        self.spec.kv_capacity(holder.size_mb, width).max(1.0)
    }

    /// Requests a second that the placement carries, when those that share a layer take of it by
    /// their room.
    pub(super) fn carried(&mut self) -> f64 {
        let mut sum = 0.0;
        for (at, room) in self.rooms.iter().enumerate() {
            if *room < 1.0 {
                return 0.0;
            }
            let inverse = 1.0 / room;
            self.inverse[at + 1] = self.inverse[at] + inverse;
            sum += inverse.powi(SHARPNESS);
        }
        let width = (sum / self.rooms.len().max(1) as f64).powf(-1.0 / f64::from(SHARPNESS));
        let work = self.holders.iter().flatten().filter_map(|h| self.work(h));
        rate(self.spec, width, self.firsts(), work)
    }

    /// Engines that hold the first layers.
    fn firsts(&self) -> usize {
        let first = |h: &&Holder| h.layers.is_some_and(|(from, to)| from == 0 && to > 0);
        self.holders.iter().flatten().filter(first).count()
    }

    /// Which layers have less than this multiple of the narrowest one's room. The first one is narrow too
    /// where the slots of its holders bind before room does.
    pub(super) fn narrow(&self, multiple: f64) -> Vec<bool> {
        let least = self.rooms.iter().copied().fold(f64::INFINITY, f64::min);
        let mut narrow: Vec<bool> = self.rooms.iter().map(|r| *r < least * multiple).collect();
        let held = self.spec.mean_prompt + 0.5 * self.spec.mean_answer;
        let starts = self.firsts() as f64 * f64::from(self.spec.slots) * held;
        if let Some(first) = narrow.first_mut().filter(|_| starts < least * multiple) {
            *first = true;
        }
        narrow
    }

    fn work(&self, holder: &Holder) -> Option<Work> {
        let (from, to) = holder.layers?;
        let inverse = self.inverse[usize::from(to)] - self.inverse[usize::from(from)];
        let shared = self.room(holder) * inverse;
        Some(Work {
            share: shared / f64::from(self.spec.layers),
            visits: shared / f64::from(to - from).max(1.0),
            pace: holder.pace,
            read: holder.read,
        })
    }
}
