//! Determines the data centres in which an accepted command is in force.

use crate::ids::*;
use std::collections::BTreeMap;

/// Progress of a daemon in folding the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Data centre of the daemon.
    pub data_centre: DataCentreId,
    /// One past the last record that the daemon has folded.
    pub offset: Offset,
}

/// Data centres by whether a command is in force there.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Confirmation {
    /// Every known daemon there has folded the command.
    pub in_force: Vec<DataCentreId>,
    /// A known daemon there has not folded the command, or no daemon is known.
    pub unconfirmed: Vec<DataCentreId>,
}

/// Groups data centres by whether their daemons have folded the command at `version`.
pub fn confirmation<'a>(
    version: Offset,
    declared: impl IntoIterator<Item = &'a DataCentreId>,
    progress: &[Progress],
) -> Confirmation {
    let mut confirmed: BTreeMap<&DataCentreId, Option<bool>> = BTreeMap::new();
    for id in declared {
        confirmed.insert(id, None);
    }
    for daemon in progress {
        let all = confirmed.entry(&daemon.data_centre).or_default();
        *all = Some(all.unwrap_or(true) && daemon.offset > version);
    }
    let mut out = Confirmation::default();
    for (id, all) in confirmed {
        let list = if all == Some(true) { &mut out.in_force } else { &mut out.unconfirmed };
        list.push(id.clone());
    }
    out
}
