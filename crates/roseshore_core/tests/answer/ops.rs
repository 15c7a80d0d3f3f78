//! Random operations on an answer and its simulated environment.

use crate::faults::{FAULTS, current};
use crate::world::{REPLICAS, State, World};
use proptest::prelude::*;
use roseshore_core::answer::{Input, ProbeResult, StreamFailure};
use roseshore_core::prelude::*;

/// One random operation.
#[derive(Clone, Debug)]
pub(crate) enum Op {
    Step(u8),
    Pump(u8),
    Fault(usize),
    State(usize, usize, State),
    Restart(usize, usize),
    Swap(usize, usize),
    Repeat(usize),
    Drop(usize),
    Opened(Epoch),
    OpenFailed(Epoch),
    Moved(Epoch, bool),
    Probed(Epoch, usize, u8),
    Ended(Epoch),
    Wait(u16),
    CallerLeft,
}

pub(crate) fn op() -> impl Strategy<Value = Op> {
    let state = prop_oneof![
        Just(State::Live),
        Just(State::Dead),
        Just(State::Frozen),
        Just(State::Busy),
        Just(State::OtherVersion)
    ];
    prop_oneof![
        8 => (1..4_u8).prop_map(Op::Step),
        4 => (1..6_u8).prop_map(Op::Pump),
        2 => (0..FAULTS.len()).prop_map(Op::Fault),
        2 => (0..3_usize, 0..REPLICAS, state).prop_map(|(r, a, s)| Op::State(r, a, s)),
        1 => (0..3_usize, 0..REPLICAS).prop_map(|(r, a)| Op::Restart(r, a)),
        2 => (0..8_usize, 0..8_usize).prop_map(|(a, b)| Op::Swap(a, b)),
        2 => (0..8_usize).prop_map(Op::Repeat),
        2 => (0..8_usize).prop_map(Op::Drop),
        1 => (0..4_u32).prop_map(Op::Opened),
        1 => (0..4_u32).prop_map(Op::OpenFailed),
        1 => (0..4_u32, any::<bool>()).prop_map(|(e, done)| Op::Moved(e, done)),
        1 => (0..4_u32, 0..3_usize, 0..4_u8).prop_map(|(e, r, h)| Op::Probed(e, r, h)),
        1 => (0..4_u32).prop_map(Op::Ended),
        2 => (0..700_u16).prop_map(Op::Wait),
        1 => Just(Op::CallerLeft),
    ]
}

impl Op {
    pub(crate) fn apply(self, world: &mut World) {
        let len = world.queue.len();
        match self {
            Op::Step(times) => (0..times).for_each(|_| {
                if world.end.is_none() {
                    world.step();
                }
            }),
            Op::Pump(times) => (0..times).for_each(|_| world.pump_stream()),
            Op::Fault(at) if world.epoch > 0 => (FAULTS[at].apply)(world),
            Op::State(range, at, state) => world.engines[range][at].state = state,
            Op::Restart(range, at) => world.engines[range][at].incarnation += 1,
            Op::Swap(a, b) if a < len && b < len => world.queue.swap(a, b),
            Op::Repeat(at) if at < len => world.queue.push_back(world.queue[at].clone()),
            Op::Drop(at) if at < len => drop(world.queue.remove(at)),
            Op::Opened(epoch) => world.feed(Input::Opened(epoch)),
            // An engine that has begun never reports that it was unreachable.
            Op::OpenFailed(epoch) => world.feed(Input::OpenFailed(epoch, StreamFailure::Lost)),
            Op::Moved(epoch, done) => world.feed(Input::Moved(epoch, done)),
            Op::Probed(epoch, range, result) => {
                let target = current(world, range);
                let result = match result {
                    0 => ProbeResult::Dead,
                    1 => ProbeResult::Silent,
                    incarnation => ProbeResult::Alive(u64::from(incarnation)),
                };
                world.feed(Input::Probed(epoch, target, result));
            }
            Op::Ended(epoch) => world.feed(Input::Ended(epoch, None)),
            Op::Wait(ms) => {
                world.now += Duration::from_millis(u64::from(ms));
                world.feed(Input::Tick);
            }
            Op::CallerLeft => world.feed(Input::CallerLeft),
            _ => {}
        }
    }
}
