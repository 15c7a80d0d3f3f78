//! Shortest path over the sampled candidates.

use super::cost::{self, StageTime, StageWork, Work};
use super::links::LinkDelays;
use super::pool::{ChainPools, Pool, RangeGroup};
use super::prefix::PrefixHit;
use super::weighted::WeightedSampler;
use super::{ChainChoice, SampleSizes, StageChoice};
use crate::load::{DataCentreIndex, LoadTable, TargetIndex};
use crate::prelude::*;
use rand::rngs::SmallRng;

/// Extra draws per candidate, to replace draws that hit an unusable or duplicate target; after them
/// the group has fewer candidates.
const REDRAWS: usize = 2;
/// Marks the last node of a path.
const END: u32 = u32::MAX;

/// A candidate in the graph.
#[derive(Clone, Copy, Debug)]
struct Node {
    row: TargetIndex,
    data_centre: DataCentreIndex,
    layers: (Layer, Layer),
    time: StageTime,
    next: u32,
    total: f64,
}

/// Buffer that is reused between selections.
#[derive(Debug, Default)]
pub struct Scratch {
    nodes: Vec<Node>,
}

/// Inputs of one chain selection.
pub struct ChainSearch<'a> {
    /// Load of the targets.
    pub loads: &'a LoadTable,
    /// Delays between data centres.
    pub links: &'a LinkDelays,
    /// The own data centre.
    pub local: DataCentreIndex,
    /// Targets to exclude.
    pub avoid: &'a [TargetIndex],
    /// Size of the answer.
    pub work: Work,
    /// Targets that probably have a prefix of the prompt cached.
    pub hits: &'a [PrefixHit],
    /// Predicted seconds of such an answer on an idle chain; 0 when unknown.
    pub idle_time: f64,
    /// Current time.
    pub now: Instant,
}

impl ChainSearch<'_> {
    /// Chooses among sampled candidates, and among all targets if those do not form a complete
    /// path.
    pub fn choose(
        &self,
        pools: &ChainPools,
        sizes: SampleSizes,
        random: &mut SmallRng,
        scratch: &mut Scratch,
    ) -> Option<ChainChoice> {
        let drawn = |group: &RangeGroup, nodes: &mut Vec<Node>| {
            self.draw(group, &group.near, sizes.near, random, nodes);
            let far = if group.near.rows().is_empty() { sizes.near + sizes.far } else { sizes.far };
            self.draw(group, &group.far, far, random, nodes);
            self.add_hits(group, nodes);
        };
        self.path(&pools.exact, scratch, drawn)
            .or_else(|| self.path(&pools.exact, scratch, |g, n| self.add_all(g, n)))
            .or_else(|| self.path(&pools.trimmed, scratch, |g, n| self.add_all(g, n)))
    }

    /// Shortest path over the candidates that `fill` adds for each group; groups are ordered from
    /// the last layers to the first.
    fn path(
        &self,
        pool: &Pool,
        scratch: &mut Scratch,
        mut fill: impl FnMut(&RangeGroup, &mut Vec<Node>),
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
        let entry = |node: &Node| node.total + self.links.delay(self.local, node.data_centre);
        let first = nodes
            .iter()
            .filter(|node| node.layers.0 == 0 && node.total.is_finite())
            .min_by(|a, b| entry(a).total_cmp(&entry(b)))?;
        Some(self.chain_from(nodes, *first))
    }

    /// Links one candidate to its best next stage.
    fn link_next(&self, nodes: &mut [Node], at: usize, layers: Layer) {
        let node = nodes[at];
        let tokens = 1.0 + f64::from(self.work.expected);
        let mut best = (f64::INFINITY, END);
        if node.layers.1 == layers {
            best = (self.links.delay(node.data_centre, self.local) * tokens, END);
        }
        for (index, next) in nodes[..at].iter().enumerate() {
            if next.layers.0 == node.layers.1 {
                let total =
                    next.total + self.links.delay(node.data_centre, next.data_centre) * tokens;
                if total < best.0 {
                    best = (total, index as u32);
                }
            }
        }
        nodes[at].next = best.1;
        nodes[at].total = best.0 + node.time.cost;
    }

    fn chain_from(&self, nodes: &[Node], start: Node) -> ChainChoice {
        let mut stages = Vec::with_capacity(8);
        let mut first_token = self.links.delay(self.local, start.data_centre);
        let mut token_interval = 0.0;
        let mut idle_secs = 0.0;
        let mut hops = 0.0;
        let mut node = start;
        loop {
            stages.push(StageChoice { row: node.row, layers: node.layers });
            first_token += node.time.first_token;
            token_interval += node.time.token_interval;
            idle_secs += node.time.idle_secs;
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
            first_token: duration(
                first_token + hops + self.links.delay(start.data_centre, self.local),
            ),
            token_interval: duration(token_interval + hops),
            idle_secs: idle_secs + hops * tokens,
        }
    }

    fn draw(
        &self,
        group: &RangeGroup,
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

    fn add_hits(&self, group: &RangeGroup, nodes: &mut Vec<Node>) {
        for hit in self.hits {
            let engine = self.loads.row(hit.row).engine.as_ref();
            if engine.is_some_and(|engine| engine.layers == group.layers) && group.has(hit.row) {
                self.add(group, hit.row, nodes);
            }
        }
    }

    fn add_all(&self, group: &RangeGroup, nodes: &mut Vec<Node>) {
        for &row in group.near.rows().iter().chain(group.far.rows()) {
            self.add(group, row, nodes);
        }
    }

    /// Adds a candidate unless it is unusable or already present.
    fn add(&self, group: &RangeGroup, row: TargetIndex, nodes: &mut Vec<Node>) {
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

impl RangeGroup {
    fn has(&self, row: TargetIndex) -> bool {
        self.near.rows().contains(&row) || self.far.rows().contains(&row)
    }
}

fn duration(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}
