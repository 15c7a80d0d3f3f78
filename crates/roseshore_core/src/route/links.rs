//! Network delays between data centres.

use crate::load::{DataCentreIndex, LoadTable};
use crate::prelude::*;

/// One-way delay within a data centre, in seconds.
const LOCAL_DELAY: f64 = 0.000_1;
/// One-way delay between data centres that declare none, in seconds.
const DEFAULT_DELAY: f64 = 0.050;

/// One-way delays between data centres, in seconds.
#[derive(Clone, Debug, Default)]
pub struct LinkDelays {
    width: usize,
    delays: Vec<f64>,
}

impl LinkDelays {
    /// Takes the declared delays; a delay declared in only one direction counts for both.
    pub fn from_fleet(loads: &mut LoadTable, fleet: &Fleet) -> LinkDelays {
        for id in fleet.data_centres.keys() {
            loads.data_centre_index(id);
        }
        let data_centres = loads.data_centres();
        let width = data_centres.len();
        let mut delays = vec![DEFAULT_DELAY; width * width];
        let declared = |a: &str, b: &str| fleet.data_centres.get(a)?.links.get(b).copied();
        for (i, a) in data_centres.iter().enumerate() {
            for (j, b) in data_centres.iter().enumerate() {
                let millis = declared(a, b).or_else(|| declared(b, a));
                let delay = millis.map_or(DEFAULT_DELAY, |ms| ms / 1000.0);
                delays[i * width + j] = if i == j { LOCAL_DELAY } else { delay.max(0.0) };
            }
        }
        LinkDelays { width, delays }
    }

    /// One-way delay in seconds.
    pub fn delay(&self, a: DataCentreIndex, b: DataCentreIndex) -> f64 {
        let index = usize::from(a) * self.width + usize::from(b);
        self.delays.get(index).copied().unwrap_or(DEFAULT_DELAY)
    }

    /// Seconds that a token spends on links between the stages and back to the first one.
    pub fn round_trip(&self, mut chain: impl Iterator<Item = DataCentreIndex>) -> f64 {
        let Some(first) = chain.next() else { return 0.0 };
        let mut last = first;
        let mut total = 0.0;
        for data_centre in chain {
            total += self.delay(last, data_centre);
            last = data_centre;
        }
        total + self.delay(last, first)
    }
}
