//! Stages, and the check that a token passed every layer once and in order.
//!
//! Each stage stamps what it ran. A token may reach the caller only when its stamps are those of
//! the route it was asked for: the same targets in the same lives, with layer ranges that tile
//! `0..layers` without hole or overlap, the same epoch and the same version of the weights.

use crate::ids::*;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One stage of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stage {
    /// The target.
    pub target: TargetId,
    /// Where it listens.
    pub addr: SocketAddr,
    /// First layer and one past the last that it is to run; inside what it holds.
    pub layers: (Layer, Layer),
    /// The life of the engine that the route was made for.
    pub incarnation: Incarnation,
}

/// What one stage did for one token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// The target that ran.
    pub target: TargetId,
    /// The life of the engine that ran.
    pub incarnation: Incarnation,
    /// The layers it ran, first and one past the last.
    pub layers: (Layer, Layer),
    /// The epoch it ran for.
    pub epoch: Epoch,
    /// The version of the weights it ran.
    pub version: VersionId,
}

/// What the stamps of a token must equal.
#[derive(Clone, Copy, Debug)]
pub struct ExpectedLineage<'a> {
    /// The route.
    pub stages: &'a [Stage],
    /// The number of layers of the model.
    pub layers: Layer,
    /// The number of the route.
    pub epoch: Epoch,
    /// The version of the weights.
    pub version: &'a str,
}

quick_error! {
    /// How a lineage or a route breaks the rule.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum LineageError {
        /// Another number of stamps than stages.
        Count(got: usize, want: usize) {
            display("{got} stamps for {want} stages")
        }
        /// The range of stage `at` does not begin where the one before it ends.
        Tiling(at: usize) {
            display("stage {at} leaves a hole or an overlap")
        }
        /// Another target ran stage `at`.
        Target(at: usize) {
            display("another target ran stage {at}")
        }
        /// Stage `at` ran in another life.
        Incarnation(at: usize) {
            display("stage {at} ran in another life")
        }
        /// Stage `at` ran other layers.
        Layers(at: usize) {
            display("stage {at} ran other layers")
        }
        /// Stage `at` ran for another epoch.
        Epoch(at: usize) {
            display("stage {at} ran for another epoch")
        }
        /// Stage `at` ran another version.
        Version(at: usize) {
            display("stage {at} ran another version")
        }
    }
}

impl LineageError {
    /// The index of the stage at fault, where one can be named.
    pub fn stage(self) -> Option<usize> {
        match self {
            LineageError::Count(..) => None,
            LineageError::Tiling(at)
            | LineageError::Target(at)
            | LineageError::Incarnation(at)
            | LineageError::Layers(at)
            | LineageError::Epoch(at)
            | LineageError::Version(at) => Some(at),
        }
    }
}

/// Whether ranges tile `0..layers`: no hole, no overlap, none empty.
///
/// # Errors
/// [`LineageError::Tiling`] with the first range that does not fit; the number of ranges when the last
/// layers are missing.
pub fn check_tiling(
    ranges: impl Iterator<Item = (Layer, Layer)>,
    layers: Layer,
) -> Result<(), LineageError> {
    let mut next = 0;
    let mut count = 0;
    for (first, end) in ranges {
        if first != next || end <= first || end > layers {
            return Err(LineageError::Tiling(count));
        }
        next = end;
        count += 1;
    }
    if next == layers && count > 0 { Ok(()) } else { Err(LineageError::Tiling(count)) }
}

/// Whether the stamps of one token are those that its route wants.
///
/// # Errors
/// The first difference.
pub fn check(stamps: &[Stamp], want: &ExpectedLineage<'_>) -> Result<(), LineageError> {
    if stamps.len() != want.stages.len() {
        return Err(LineageError::Count(stamps.len(), want.stages.len()));
    }
    for (at, (stamp, stage)) in stamps.iter().zip(want.stages).enumerate() {
        check_stage(at, stamp, stage, want)?;
    }
    check_tiling(stamps.iter().map(|s| s.layers), want.layers)
}

fn check_stage(
    at: usize,
    stamp: &Stamp,
    stage: &Stage,
    want: &ExpectedLineage<'_>,
) -> Result<(), LineageError> {
    if stamp.target != stage.target {
        return Err(LineageError::Target(at));
    }
    if stamp.layers != stage.layers {
        return Err(LineageError::Layers(at));
    }
    if stamp.incarnation != stage.incarnation {
        return Err(LineageError::Incarnation(at));
    }
    if stamp.epoch != want.epoch {
        return Err(LineageError::Epoch(at));
    }
    if stamp.version != want.version {
        return Err(LineageError::Version(at));
    }
    Ok(())
}
