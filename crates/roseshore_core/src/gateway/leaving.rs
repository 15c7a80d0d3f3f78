//! Decides which requests a host accepts while it shuts down.
//!
//! For some seconds after the stop signal callers still send requests here, and a refusal sends
//! them to another host, which may be shutting down as well. A request that is expected to end
//! within the grace period is accepted; one that would be cut off is refused at once as not run.

use crate::prelude::*;
use std::collections::BTreeMap;

/// Margin on the recent pace: a request takes longer than others did recently by up to this factor,
/// and one in ten by more.
const PACE_MARGIN: f64 = 1.6;
/// Margin on callers' estimates of an answer's length. They are right in the median but often far
/// off: twice the estimate covers nine in ten.
const LENGTH_MARGIN: f64 = 2.0;
/// Weight of the latest request in the moving averages.
const MEAN_WEIGHT: f64 = 0.05;
/// Time per token before any stream has ended, in milliseconds: about twice that of a quiet day.
const INITIAL_TOKEN_MS: f64 = 12.0;
/// Services whose call times are known at a time; beyond this a new one is accepted unchecked.
const MAX_SERVICES: usize = 1024;

/// Recent pace of streams, prefill and pauses included.
#[derive(Clone, Copy, Debug)]
pub struct TokenPace {
    token_ms: f64,
}

impl Default for TokenPace {
    fn default() -> TokenPace {
        TokenPace { token_ms: INITIAL_TOKEN_MS }
    }
}

impl TokenPace {
    /// Records a stream of this many tokens.
    pub fn record_stream(&mut self, tokens: f64, took: Duration) {
        if tokens >= 1.0 {
            let token_ms = took.as_secs_f64() * 1000.0 / tokens;
            self.token_ms += MEAN_WEIGHT * (token_ms - self.token_ms);
        }
    }

    /// Whether a stream with an estimated and a maximum number of tokens is expected to end within
    /// `left`; a `bound` of 0 means that there is no maximum.
    pub fn ends_within(&self, guess: f64, bound: f64, left: Duration) -> bool {
        let tokens =
            if bound > 0.0 { bound.min(LENGTH_MARGIN * guess) } else { LENGTH_MARGIN * guess };
        tokens * self.token_ms * PACE_MARGIN <= left.as_secs_f64() * 1000.0
    }
}

/// Recent times of the calls of services without engines.
#[derive(Clone, Debug, Default)]
pub struct CallTimes {
    /// Moving average of each service, milliseconds.
    mean_ms: BTreeMap<ServiceId, f64>,
}

impl CallTimes {
    /// Records an answered call.
    pub fn record(&mut self, service: &ServiceId, took: Duration) {
        let took_ms = took.as_secs_f64() * 1000.0;
        if let Some(mean_ms) = self.mean_ms.get_mut(service) {
            *mean_ms += MEAN_WEIGHT * (took_ms - *mean_ms);
        } else if self.mean_ms.len() < MAX_SERVICES {
            self.mean_ms.insert(service.clone(), took_ms);
        }
    }

    /// Whether a call of a service is expected to end within `left`; also true if nothing is known
    /// of its calls.
    pub fn ends_within(&self, service: &str, left: Duration) -> bool {
        let mean_ms = self.mean_ms.get(service);
        mean_ms.is_none_or(|mean_ms| mean_ms * PACE_MARGIN <= left.as_secs_f64() * 1000.0)
    }
}
