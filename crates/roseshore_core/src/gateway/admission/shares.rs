//! Max-min fair shares of one rank's room between organisations.
//!
//! Organisations that ask for less than an equal share get all of it, and what they leave goes to
//! the others. Demand that no listed organisation accounts for counts as many small ones.

use crate::gateway::demand::{OrganisationDemand, Rank, ServiceDemand};

/// Largest work that is believed, mean requests a second.
const MAX_WORK: f64 = 1e6;
/// Steps of the search for the equal share; each halves the error.
const SEARCH_STEPS: u32 = 24;

/// A reported amount of work, 0 if it is no amount.
pub(super) fn work(reported: f32) -> f64 {
    if reported.is_finite() { f64::from(reported).clamp(0.0, MAX_WORK) } else { 0.0 }
}

/// Part of an organisation's requests that fits when `room` is shared out in a rank, 0 to 1.
/// `offered` is the demand of the whole rank; both in mean requests a second.
pub fn admitted_part(
    demand: &ServiceDemand,
    rank: Rank,
    organisation: Option<u32>,
    offered: f64,
    room: f64,
) -> f64 {
    let of_rank = demand.organisations.iter().filter(|o| o.rank == rank);
    let listed: Vec<&OrganisationDemand> = of_rank.filter(|o| work(o.offered) > 0.0).collect();
    let Some(smallest) = listed.iter().map(|o| work(o.offered)).reduce(f64::min) else {
        return (room / offered).clamp(0.0, 1.0);
    };
    let total: f64 = listed.iter().map(|o| work(o.offered)).sum();
    let unlisted = (offered - total).max(0.0);
    let served = |share: f64| {
        let of_listed: f64 = listed.iter().map(|o| work(o.offered).min(share)).sum();
        of_listed + unlisted * (share / smallest).min(1.0)
    };
    let share = equal_share(served, room);
    let own = listed.iter().find(|o| Some(o.organisation) == organisation);
    let own = own.map_or(smallest, |o| work(o.offered));
    (share / own).clamp(0.0, 1.0)
}

/// The largest share at which what is served fits the room.
fn equal_share(served: impl Fn(f64) -> f64, room: f64) -> f64 {
    if served(room) <= room {
        return room;
    }
    let (mut low, mut high) = (0.0, room);
    for _ in 0..SEARCH_STEPS {
        let middle = f64::midpoint(low, high);
        if served(middle) <= room {
            low = middle;
        } else {
            high = middle;
        }
    }
    low
}
