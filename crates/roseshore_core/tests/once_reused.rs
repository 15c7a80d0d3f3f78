//! A key that is used again with another body, before and after the first outcome is recorded.

use roseshore_core::once::Outcome;
use roseshore_core::once::batch::AppendResult;
use roseshore_core::once::partition::{
    Action, Attempt, Decision, LogRecord, Partition, ReadResult,
};
use roseshore_core::once::record::Owner;
use roseshore_core::prelude::*;

const LOG_TIME: u64 = 1_800_000_000_000;

struct Simulation {
    machine: Partition,
    log: Vec<String>,
    now: Instant,
}

impl Simulation {
    fn begin(&mut self, digest: u64) {
        let deadline = self.now + Duration::from_secs(5);
        let key = format!("o/s/k@{LOG_TIME}");
        self.machine.begin(Attempt { key, digest, deadline }, self.now);
    }

    /// Carries out actions for several rounds, and returns the last decision. Without `append`,
    /// appends are not carried out.
    fn run(&mut self, append: bool) -> Option<Decision> {
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
            time: LOG_TIME,
            data: data.clone(),
        };
        let records = self.log.iter().enumerate().skip(from as usize).map(line).collect();
        let end = self.log.len() as Offset;
        self.machine.on_read(ReadResult::Records { records, end }, self.now);
    }
}

struct Case {
    name: &'static str,
    /// Whether the outcome is in the log.
    recorded: bool,
    digest: u64,
    code: Option<Code>,
}

/// The same body gets the answer and another one is refused, whether or not the outcome is
/// recorded.
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
        let mut sim = Simulation { machine, log: Vec::new(), now: Instant::now() };
        sim.begin(1);
        let Some(Decision::Won(offset)) = sim.run(true) else { panic!("{}", case.name) };
        assert!(sim.machine.dispatch(offset, sim.now), "{}", case.name);
        let (content, body) = ("text/plain".to_owned(), b"yes".to_vec());
        let outcome = Outcome { verdict: Verdict::Answered, status: 200, content, body };
        sim.machine.record_outcome(offset, outcome, sim.now);
        sim.run(case.recorded);
        sim.begin(case.digest);
        let code = match sim.run(case.recorded) {
            Some(Decision::Replay(_)) => None,
            Some(Decision::Refused(refusal)) => Some(refusal.code),
            other => panic!("{}: {other:?}", case.name),
        };
        assert_eq!(code, case.code, "{}", case.name);
    }
}
