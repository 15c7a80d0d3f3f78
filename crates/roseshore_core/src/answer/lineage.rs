//! Stages, and the check that a token passed through every layer once and in order.
//!
//! Each stage adds a stamp of what it ran. A token may reach the caller only when its stamps match
//! the route that was requested: the same targets in the same incarnations, layer ranges that tile
//! `0..layers` without gap or overlap, the same epoch and the same version of the weights.

use crate::ids::*;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One stage of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stage {
    /// The target that runs the stage.
    pub target: TargetId,
    /// Address on which the target listens.
    pub addr: SocketAddr,
    /// Layers to run, as `first..end`; a subset of the layers that the target holds.
    pub layers: (Layer, Layer),
    /// Incarnation of the engine for which the route was made.
    pub incarnation: Incarnation,
}

/// What one stage ran for one token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// The target that ran the stage.
    pub target: TargetId,
    /// Incarnation of the engine that ran it.
    pub incarnation: Incarnation,
    /// Layers that were run, as `first..end`.
    pub layers: (Layer, Layer),
    /// Epoch for which the stage ran.
    pub epoch: Epoch,
    /// Version of the weights that was run.
    pub version: VersionId,
}

/// What the stamps of a token are compared with.
#[derive(Clone, Copy, Debug)]
pub struct ExpectedLineage<'a> {
    /// Stages of the route, in order of layers.
    pub stages: &'a [Stage],
    /// Number of layers of the model.
    pub layers: Layer,
    /// Epoch of the route.
    pub epoch: Epoch,
    /// Version of the weights.
    pub version: &'a str,
}

quick_error! {
    /// How the stamps of a token, or the layer ranges of a route, differ from what is required.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum LineageError {
        /// The number of stamps differs from the number of stages.
        Count(got: usize, expected: usize) {
            display("{got} stamps for {expected} stages")
        }
        /// The range of stage `at` does not start where the one before it ends.
        Tiling(at: usize) {
            display("stage {at} leaves a hole or an overlap")
        }
        /// Stage `at` was run by another target.
        Target(at: usize) {
            display("another target ran stage {at}")
        }
        /// Stage `at` was run by another incarnation of the engine.
        Incarnation(at: usize) {
            display("stage {at} ran in another life")
        }
        /// Stage `at` ran another layer range.
        Layers(at: usize) {
            display("stage {at} ran other layers")
        }
        /// Stage `at` ran for another epoch.
        Epoch(at: usize) {
            display("stage {at} ran for another epoch")
        }
        /// Stage `at` ran another version of the weights.
        Version(at: usize) {
            display("stage {at} ran another version")
        }
    }
}

impl LineageError {
    /// Index of the stage at fault; `None` when no single stage can be named.
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

/// Checks that the ranges tile `0..layers` without a gap, an overlap or an empty range.
///
/// # Errors
/// [`LineageError::Tiling`] with the index of the first range that does not fit, or with the number
/// of ranges when the last layers are missing.
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

/// Checks that the stamps of one token match its route.
///
/// # Errors
/// The first difference found.
pub fn check(stamps: &[Stamp], expected: &ExpectedLineage<'_>) -> Result<(), LineageError> {
    if stamps.len() != expected.stages.len() {
        return Err(LineageError::Count(stamps.len(), expected.stages.len()));
    }
    for (at, (stamp, stage)) in stamps.iter().zip(expected.stages).enumerate() {
        check_stage(at, stamp, stage, expected)?;
    }
    check_tiling(stamps.iter().map(|s| s.layers), expected.layers)
}

fn check_stage(
    at: usize,
    stamp: &Stamp,
    stage: &Stage,
    expected: &ExpectedLineage<'_>,
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
    if stamp.epoch != expected.epoch {
        return Err(LineageError::Epoch(at));
    }
    if stamp.version != expected.version {
        return Err(LineageError::Version(at));
    }
    Ok(())
}
