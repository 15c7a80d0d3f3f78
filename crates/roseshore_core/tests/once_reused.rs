//! A key that comes back with another body, at every step of the first one's work.

use roseshore_core::once::Outcome;
use roseshore_core::once::batch::AppendResult;
use roseshore_core::once::partition::{
    Action, Attempt, Decision, LogRecord, Partition, ReadResult,
};
use roseshore_core::once::record::Owner;
use roseshore_core::prelude::*;

const TIME: u64 = 1_800_000_000_000;

struct World {
    machine: Partition,
    log: Vec<String>,
    now: Instant,
}

impl World {
    fn begin(&mut self, digest: u64) {
        let deadline = self.now + Duration::from_secs(5);
        let key = format!("o/s/k@{TIME}");
        self.machine.begin(Attempt { key, digest, deadline }, self.now);
    }

    /// Carries actions out until none is left that the log decides; returns the last decision.
    fn turn(&mut self, append: bool) -> Option<Decision> {
        let mut last = None;
        for _ in 0..8 {
            self.now += Duration::from_millis(20);
            for action in self.machine.actions(self.now) {
                match action {
                    Action::Append(lines) if append => {
                        self.log.extend(lines);
                        self.machine.on_append(AppendResult::Done, self.now);
                    }
                    Action::Append(_)
                    | Action::Recorded(_)
                    | Action::ReportKey(..)
                    | Action::ReportSettle(..) => {}
                    Action::Read { from, .. } => self.read(from),
                    Action::Decide(_, decision) => last = Some(decision),
                }
            }
            self.machine.tick(self.now);
        }
        last
    }

    fn read(&mut self, from: Offset) {
        let line = |(at, data): (usize, &String)| LogRecord {
            offset: at as Offset,
            time: TIME,
            data: data.clone(),
        };
        let records = self.log.iter().enumerate().skip(from as usize).map(line).collect();
        let end = self.log.len() as Offset;
        self.machine.on_read(ReadResult::Records { records, end }, self.now);
    }
}

struct Case {
    name: &'static str,
    /// Whether the outcome has reached the log.
    recorded: bool,
    digest: u64,
    code: Option<Code>,
}

/// The same body gets the answer, another one is refused, recorded or not yet.
#[test]
fn reused() {
    let cases = [
        Case { name: "recorded, same body", recorded: true, digest: 1, code: None },
        Case {
            name: "recorded, other body",
            recorded: true,
            digest: 2,
            code: Some(Code::KeyReused),
        },
        Case { name: "not recorded yet, same body", recorded: false, digest: 1, code: None },
        Case {
            name: "not recorded yet, other body",
            recorded: false,
            digest: 2,
            code: Some(Code::KeyReused),
        },
    ];
    for case in cases {
        let own = Owner { host: "h".into(), incarnation: 1 };
        let machine = Partition::new(own, 1, 100, 100);
        let mut world = World { machine, log: Vec::new(), now: Instant::now() };
        world.begin(1);
        let Some(Decision::Won(offset)) = world.turn(true) else { panic!("{}", case.name) };
        assert!(world.machine.dispatch(offset, world.now), "{}", case.name);
        let (content, body) = ("text/plain".to_owned(), b"yes".to_vec());
        let outcome = Outcome { verdict: Verdict::Answered, status: 200, content, body };
        world.machine.record_outcome(offset, outcome, world.now);
        world.turn(case.recorded);
        world.begin(case.digest);
        let code = match world.turn(case.recorded) {
            Some(Decision::Replay(_)) => None,
            Some(Decision::Refused(refusal)) => Some(refusal.code),
            other => panic!("{}: {other:?}", case.name),
        };
        assert_eq!(code, case.code, "{}", case.name);
    }
}
