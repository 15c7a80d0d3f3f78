//! Where an accepted command is in force.

use crate::ids::*;
use std::collections::BTreeMap;

/// How far a daemon has folded the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Where it is.
    pub data_centre: DataCentreId,
    /// One past the last record that it has folded.
    pub offset: Offset,
}

/// Data centres by whether a command is in force there.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Confirmation {
    /// Every daemon known there has it in force.
    pub in_force: Vec<DataCentreId>,
    /// Some daemon there is behind, or none is known.
    pub unconfirmed: Vec<DataCentreId>,
}

/// Sorts data centres by the progress of their daemons on the command at `version`.
pub fn confirmation<'a>(
    version: Offset,
    declared: impl IntoIterator<Item = &'a DataCentreId>,
    progress: &[Progress],
) -> Confirmation {
    let mut seen: BTreeMap<&DataCentreId, Option<bool>> = BTreeMap::new();
    for id in declared {
        seen.insert(id, None);
    }
    for one in progress {
        let all = seen.entry(&one.data_centre).or_default();
        *all = Some(all.unwrap_or(true) && one.offset > version);
    }
    let mut out = Confirmation::default();
    for (id, all) in seen {
        let list = if all == Some(true) { &mut out.in_force } else { &mut out.unconfirmed };
        list.push(id.clone());
    }
    out
}
