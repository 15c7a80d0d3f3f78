//! Target lists of hosts whose store is restored from an older copy, repeatedly.

use proptest::prelude::*;
use roseshore_core::gateway::targets::{Absence, ListDelta, RecordChange, Target};
use roseshore_core::gateway::{Holding, Position, TargetRecord, Targets};
use roseshore_core::prelude::*;
use std::collections::BTreeMap;

const HOSTS: usize = 4;
const IDS: u8 = 8;

fn named(id: u8, layers: Layer) -> TargetRecord {
    TargetRecord {
        id: format!("t-{id}"),
        life: 1,
        service: "plain".to_owned(),
        addr: std::net::SocketAddr::from(([10, 0, 0, id], 80)),
        data_centre: "north".to_owned(),
        slots: 6,
        draining: false,
        kind: Some("big".to_owned()),
        holding: Some(Holding { layers: (0, layers) }),
    }
}

/// The store: its log, and the latest entries of the targets, whether the store still has them or
/// not.
#[derive(Default)]
struct Store {
    era: Era,
    log: Vec<(u8, Option<Layer>)>,
    latest: BTreeMap<u8, Layer>,
}

impl Store {
    fn write(&mut self, id: u8, layers: Option<Layer>) {
        self.log.push((id, layers));
        match layers {
            Some(layers) => _ = self.latest.insert(id, layers),
            None => _ = self.latest.remove(&id),
        }
    }

    fn restore(&mut self, lost: usize) {
        self.log.truncate(self.log.len().saturating_sub(lost));
        self.era += 1;
    }

    /// Each live target writes its entry again, and the other entries lapse.
    fn rewrite_all(&mut self) {
        for id in 0..IDS {
            let layers = self.latest.get(&id).copied();
            self.write(id, layers);
        }
    }

    fn newest(&self) -> Vec<TargetRecord> {
        let newest: BTreeMap<u8, Option<Layer>> = self.log.iter().copied().collect();
        newest.into_iter().filter_map(|(id, layers)| Some(named(id, layers?))).collect()
    }
}

#[derive(Default)]
struct Host {
    targets: Targets,
    read: Option<Position>,
}

impl Host {
    /// Reads up to `count` records, or the whole list if the host has read none of this era.
    fn read(&mut self, store: &Store, count: usize, absence: Absence) {
        let end = store.log.len() as Offset;
        let known = self.read.filter(|read| read.era == store.era);
        let Some(known) = known else {
            let next = Position { era: store.era, next: end };
            self.targets.advance_to(next);
            match self.read {
                Some(_) => self.targets.apply_older_list(store.newest(), absence),
                None => self.targets.replace_list(store.newest(), absence),
            };
            self.read = Some(next);
            return;
        };
        let next = Position { era: store.era, next: end.min(known.next + count as Offset) };
        self.targets.advance_to(next);
        for (id, layers) in &store.log[known.next as usize..next.next as usize] {
            match layers {
                Some(layers) => _ = self.targets.upsert(named(*id, *layers)),
                None => _ = self.targets.remove(&format!("t-{id}"), absence),
            }
        }
        self.read = Some(next);
    }

    /// Applies another host's copy as the gateway does.
    fn copy(&mut self, from: &Host, absence: Absence) {
        let known = self.read.unwrap_or_default();
        let Some(next) = from.read.filter(|next| *next > known) else { return };
        let ListDelta { records, dropped } = from.targets.changes_since(known);
        self.targets.advance_to(next);
        match dropped {
            Some(dropped) => self.targets.apply_delta(records, dropped, absence),
            None if self.read.is_some() && known.era < next.era => {
                self.targets.apply_older_list(records, absence)
            }
            None => self.targets.replace_list(records, absence),
        };
        let same = |a: &Targets, b: &Targets| a.list_version(next) == b.list_version(next);
        if same(&self.targets, &from.targets) {
            self.read = Some(next);
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    Write(u8, Option<Layer>),
    Restore(usize),
    Read(usize, usize),
    Copy(usize, usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..IDS, proptest::option::weighted(0.7, 1..9 as Layer))
            .prop_map(|(id, layers)| Step::Write(id, layers)),
        1 => (0..6usize).prop_map(Step::Restore),
        3 => (0..HOSTS, 1..6usize).prop_map(|(host, count)| Step::Read(host, count)),
        3 => (0..HOSTS, 0..HOSTS).prop_map(|(from, to)| Step::Copy(from, to)),
    ]
}

proptest! {
    /// Whatever was read, copied and lost before: once the targets have written again and lapsed
    /// entries have expired, each host that reads to the end has the same list as a host that has
    /// just started.
    #[test]
    fn hosts_agree_on_rewritten_entries(steps in proptest::collection::vec(step(), 1..120)) {
        let now = Instant::now();
        let lapse = Absence::Lapsed(now + Duration::from_secs(2));
        let mut store = Store::default();
        let mut hosts: Vec<Host> = (0..HOSTS).map(|_| Host::default()).collect();
        for step in steps {
            match step {
                Step::Write(id, layers) => store.write(id, layers),
                Step::Restore(lost) => store.restore(lost),
                Step::Read(host, count) => hosts[host].read(&store, count, lapse),
                Step::Copy(from, to) if from != to => {
                    let source = std::mem::take(&mut hosts[from]);
                    hosts[to].copy(&source, lapse);
                    hosts[from] = source;
                }
                Step::Copy(..) => {}
            }
        }
        for host in &mut hosts {
            host.read(&store, usize::MAX >> 1, lapse);
        }
        store.rewrite_all();
        let mut fresh = Host::default();
        fresh.read(&store, 0, lapse);
        for host in &mut hosts {
            host.read(&store, usize::MAX >> 1, lapse);
            host.targets.tick(now + Duration::from_secs(3));
            prop_assert_eq!(host.targets.listed_records(), fresh.targets.listed_records());
            prop_assert_eq!(host.targets.list_version(Position::default()),
                fresh.targets.list_version(Position::default()));
        }
    }
}

/// What the older copy says of target 1, and what a host knows of it.
struct Case {
    name: &'static str,
    known: fn(&mut Targets),
    copy: Option<TargetRecord>,
    /// End of the layer range if the target gets work; `None` if it gets none.
    used: Option<Layer>,
}

#[test]
fn a_known_incarnation_is_newer_than_the_copy() {
    let cases = [
        Case { name: "unknown to the host", known: |_| (), copy: Some(named(1, 3)), used: Some(3) },
        Case {
            name: "other layers since",
            known: |t| _ = t.upsert(named(1, 5)),
            copy: Some(named(1, 3)),
            used: Some(5),
        },
        Case {
            name: "draining since",
            known: |t| _ = t.upsert(TargetRecord { draining: true, ..named(1, 3) }),
            copy: Some(named(1, 3)),
            used: None,
        },
        Case {
            name: "another incarnation since",
            known: |t| _ = t.upsert(TargetRecord { life: 2, ..named(1, 5) }),
            copy: Some(named(1, 3)),
            used: Some(5),
        },
        Case {
            name: "an incarnation that the host missed",
            known: |t| _ = t.upsert(named(1, 3)),
            copy: Some(TargetRecord { life: 2, ..named(1, 5) }),
            used: Some(5),
        },
        Case {
            name: "removed since",
            known: |t| {
                t.upsert(named(1, 3));
                t.remove("t-1", Absence::Left);
            },
            copy: Some(named(1, 3)),
            used: None,
        },
        Case {
            name: "listed since",
            known: |t| _ = t.upsert(named(1, 4)),
            copy: None,
            used: Some(4),
        },
    ];
    let now = Instant::now();
    for case in cases {
        let mut targets = Targets::default();
        targets.advance_to(Position { era: 1, next: 40 });
        targets.upsert(named(2, 1));
        (case.known)(&mut targets);
        targets.advance_to(Position { era: 2, next: 9 });
        let copy: Vec<TargetRecord> = case.copy.into_iter().chain([named(2, 1)]).collect();
        targets.apply_older_list(copy, Absence::Lapsed(now + Duration::from_secs(2)));
        let used = || {
            let target = targets.get("t-1").filter(|t| t.accepts_work(now))?;
            target.holding().map(|held| held.layers.1)
        };
        assert_eq!(used(), case.used, "{}", case.name);
        // Once written again, the new entry applies.
        targets.advance_to(Position { era: 2, next: 10 });
        assert_ne!(
            targets.upsert(TargetRecord { life: 3, ..named(1, 8) }),
            RecordChange::Unchanged
        );
        let written = targets.get("t-1").and_then(Target::holding).map(|held| held.layers.1);
        assert_eq!(written, Some(8), "{}", case.name);
    }
}
