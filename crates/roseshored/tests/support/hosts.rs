//! A member list of one daemon with a settable set of leaving hosts.

use parking_lot::Mutex;
use roseshore_core::prelude::*;
use roseshore_ports::inside::{Member, MemberState, Members};
use std::collections::BTreeSet;

/// The hosts reported as leaving.
#[derive(Default)]
pub(crate) struct Hosts(pub(crate) Mutex<BTreeSet<HostId>>);

impl Members for Hosts {
    fn own(&self) -> Member {
        Member {
            host: "h".into(),
            data_centre: "d".into(),
            peer: "127.0.0.1:1".parse().unwrap(),
            incarnation: 1,
            state: MemberState::Alive,
            offset: 0,
            digest: 0,
        }
    }

    fn all(&self) -> Vec<Member> {
        vec![self.own()]
    }

    fn ranked(&self, _: &str) -> Vec<Member> {
        vec![self.own()]
    }

    fn leaving(&self, host: &HostId) -> bool {
        self.0.lock().contains(host)
    }
}
