//! The shortest path over a few drawn candidates.

use super::cost::{self, StageTime, StageWork, Work};
use super::links::LinkDelays;
use super::pool::{ChainPools, PieceGroup, Pool};
use super::prefix::PrefixHit;
use super::weighted::WeightedSampler;
use super::{ChainChoice, SampleSizes, StageChoice};
use crate::load::{DataCentreIndex, LoadTable, TargetIndex};
use crate::prelude::*;
use rand::rngs::SmallRng;

/// Draws that may hit an unusable or known target before a group is left with fewer candidates.
const REDRAWS: usize = 2;
/// The end of a path.
const END: u32 = u32::MAX;

/// A drawn candidate.
#[derive(Clone, Copy, Debug)]
struct Node {
    row: TargetIndex,
    data_centre: DataCentreIndex,
    layers: (Layer, Layer),
    time: StageTime,
    next: u32,
    total: f64,
}

/// Memory that is used again for every choice.
#[derive(Debug, Default)]
pub struct Scratch {
    nodes: Vec<Node>,
}

/// One choice.
pub struct ChainSearch<'a> {
    /// The targets.
    pub loads: &'a LoadTable,
    /// The delays.
    pub links: &'a LinkDelays,
    /// The own data centre.
    pub own: DataCentreIndex,
    /// Targets not to use.
    pub avoid: &'a [TargetIndex],
    /// The work.
    pub work: Work,
    /// Targets that seem to hold the prompt's prefix.
    pub hits: &'a [PrefixHit],
    /// Seconds that such an answer takes on an idle chain; 0 when unknown.
    pub idle_time: f64,
    /// The time.
    pub now: Instant,
}

impl ChainSearch<'_> {
    /// Chooses by drawn candidates, and by all of them when the drawn ones leave a hole.
    pub fn choose(
        &self,
        tiers: &ChainPools,
        sizes: SampleSizes,
        random: &mut SmallRng,
        scratch: &mut Scratch,
    ) -> Option<ChainChoice> {
        let drawn = |group: &PieceGroup, nodes: &mut Vec<Node>| {
            self.draw(group, &group.near, sizes.near, random, nodes);
            let far = if group.near.rows().is_empty() { sizes.near + sizes.far } else { sizes.far };
            self.draw(group, &group.far, far, random, nodes);
            self.add_hits(group, nodes);
        };
        self.path(&tiers.exact, scratch, drawn)
            .or_else(|| self.path(&tiers.exact, scratch, |g, n| self.add_all(g, n)))
            .or_else(|| self.path(&tiers.trimmed, scratch, |g, n| self.add_all(g, n)))
    }

    /// The shortest path over what `fill` adds for each group; groups come last layers first.
    fn path(
        &self,
        pool: &Pool,
        scratch: &mut Scratch,
        mut fill: impl FnMut(&PieceGroup, &mut Vec<Node>),
    ) -> Option<ChainChoice> {
        let nodes = &mut scratch.nodes;
        nodes.clear();
        for group in &pool.groups {
            let begin = nodes.len();
            fill(group, nodes);
            for at in begin..nodes.len() {
                self.link_next(nodes, at, pool.layers);
            }
        }
        let entry = |node: &Node| node.total + self.links.delay(self.own, node.data_centre);
        let first = nodes
            .iter()
            .filter(|node| node.layers.0 == 0 && node.total.is_finite())
            .min_by(|a, b| entry(a).total_cmp(&entry(b)))?;
        Some(self.chain_from(nodes, *first))
    }

    /// Finds the best next stage of one candidate.
    fn link_next(&self, nodes: &mut [Node], at: usize, layers: Layer) {
        let node = nodes[at];
        let tokens = 1.0 + f64::from(self.work.expected);
        let mut best = (f64::INFINITY, END);
        if node.layers.1 == layers {
            best = (self.links.delay(node.data_centre, self.own) * tokens, END);
        }
        for (place, next) in nodes[..at].iter().enumerate() {
            if next.layers.0 == node.layers.1 {
                let total =
                    next.total + self.links.delay(node.data_centre, next.data_centre) * tokens;
                if total < best.0 {
                    best = (total, place as u32);
                }
            }
        }
        nodes[at].next = best.1;
        nodes[at].total = best.0 + node.time.cost;
    }

    fn chain_from(&self, nodes: &[Node], start: Node) -> ChainChoice {
        let mut stages = Vec::with_capacity(8);
        let mut first = self.links.delay(self.own, start.data_centre);
        let mut between = 0.0;
        let mut idle = 0.0;
        let mut hops = 0.0;
        let mut node = start;
        loop {
            stages.push(StageChoice { row: node.row, layers: node.layers });
            first += node.time.first_token;
            between += node.time.token_interval;
            idle += node.time.idle_secs;
            if node.next == END {
                break;
            }
            let next = nodes[node.next as usize];
            let delay = self.links.delay(node.data_centre, next.data_centre);
            hops += delay;
            node = next;
        }
        hops += self.links.delay(node.data_centre, start.data_centre);
        let tokens = 1.0 + f64::from(self.work.expected);
        ChainChoice {
            stages,
            first_token: span(first + hops + self.links.delay(start.data_centre, self.own)),
            token_interval: span(between + hops),
            idle_secs: idle + hops * tokens,
        }
    }

    fn draw(
        &self,
        group: &PieceGroup,
        from: &WeightedSampler,
        count: usize,
        random: &mut SmallRng,
        nodes: &mut Vec<Node>,
    ) {
        if from.rows().len() <= count {
            for &row in from.rows() {
                self.add(group, row, nodes);
            }
            return;
        }
        let mut left = count * (1 + REDRAWS);
        let mut found = 0;
        while found < count && left > 0 {
            let before = nodes.len();
            let Some(row) = from.draw(random) else { return };
            self.add(group, row, nodes);
            found += nodes.len() - before;
            left -= 1;
        }
    }

    fn add_hits(&self, group: &PieceGroup, nodes: &mut Vec<Node>) {
        for hit in self.hits {
            let engine = self.loads.row(hit.row).engine.as_ref();
            if engine.is_some_and(|engine| engine.layers == group.layers) && group.has(hit.row) {
                self.add(group, hit.row, nodes);
            }
        }
    }

    fn add_all(&self, group: &PieceGroup, nodes: &mut Vec<Node>) {
        for &row in group.near.rows().iter().chain(group.far.rows()) {
            self.add(group, row, nodes);
        }
    }

    /// Adds a candidate, unless it is unusable or there already.
    fn add(&self, group: &PieceGroup, row: TargetIndex, nodes: &mut Vec<Node>) {
        let known = nodes.iter().rev().take_while(|node| node.layers == group.layers);
        if known.into_iter().any(|node| node.row == row) {
            return;
        }
        let target = self.loads.row(row);
        if !target.usable(self.now) || self.avoid.contains(&row) {
            return;
        }
        let held = target.engine.as_ref().map_or(group.layers, |engine| engine.layers);
        let layer_share = f64::from(group.layers.1 - group.layers.0) / f64::from(held.1 - held.0);
        let cached = self.hits.iter().find(|hit| hit.row == row).map_or(0, |hit| hit.tokens);
        let job = StageWork { work: self.work, layer_share, cached, idle_time: self.idle_time };
        let time = cost::predict_stage(target, job, self.now);
        let data_centre = target.data_centre;
        nodes.push(Node {
            row,
            data_centre,
            layers: group.layers,
            time,
            next: END,
            total: f64::INFINITY,
        });
    }
}

impl PieceGroup {
    fn has(&self, row: TargetIndex) -> bool {
        self.near.rows().contains(&row) || self.far.rows().contains(&row)
    }
}

fn span(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}
