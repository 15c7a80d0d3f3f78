//! Calls of plain services: which attempts are made, and what the caller gets.

#[path = "support/fakes.rs"]
mod fakes;

use fakes::{
    EngineScript, FakeAdmission, FakeClaims, FakeEngine, FakeLedger, FirstFitRouter, KeyState,
    SingleMember, StaticConfig,
};
use parking_lot::Mutex;
use roseshore_core::prelude::*;
use roseshore_ports::inside::{Outcome, RequestInfo};
use roseshore_ports::outside::{CallContext, CallError, CallResult, ServiceReply, Services};
use roseshore_wire::service::ServiceLoad;
use roseshored::app::{App, Drain};
use roseshored::calls;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;

/// How a replica responds to a call.
#[derive(Clone, Copy, Debug)]
enum Behaviour {
    Answers,
    Fails,
    Unreachable,
    Refuses,
    Loses,
    Garbles,
    Panics,
}

/// Replicas that respond by a script, one entry per call.
struct Replicas {
    script: Mutex<VecDeque<Behaviour>>,
    keys: Mutex<Vec<Option<String>>>,
}

impl Services for Replicas {
    fn lookup(&self, _: SocketAddr, _: &str, _: &str, _: &CallContext) -> CallResult<ServiceReply> {
        Err(CallError::Unreached("no lookups here".into()))
    }

    fn call(
        &self,
        _: SocketAddr,
        _: &str,
        body: &[u8],
        key: Option<&str>,
        _: &CallContext,
    ) -> CallResult<ServiceReply> {
        self.keys.lock().push(key.map(str::to_owned));
        let behaviour = self.script.lock().pop_front().expect("no more calls than the script says");
        let reply = |status| {
            let (content, body) = ("text/plain".into(), body.to_vec());
            Ok(ServiceReply { status, content, body, replayed: false })
        };
        match behaviour {
            Behaviour::Answers => reply(200),
            Behaviour::Fails => reply(500),
            Behaviour::Unreachable => Err(CallError::Unreached("refused".into())),
            Behaviour::Refuses => Err(CallError::Refused(503, None, String::new())),
            Behaviour::Loses => Err(CallError::Lost("cut".into())),
            Behaviour::Garbles => Err(CallError::Garbled("what?".into())),
            Behaviour::Panics => panic!("asked for by the test"),
        }
    }

    fn load(&self, _: SocketAddr, _: Duration) -> CallResult<ServiceLoad> {
        Err(CallError::Unreached("no load here".into()))
    }
}

/// A fleet with three replicas of one plain service.
fn fleet(service: &str, idempotent: bool) -> Fleet {
    let replica = |number: u8| {
        format!(
            "[targets.t{number}]\nkind = 'service'\nhost = 'h'\ndata_centre = 'a'\n\
             addr = '127.0.0.1:9'\nserves = '{service}'\n"
        )
    };
    let replicas: String = (1..=3).map(replica).collect();
    let text = format!(
        "[data_centres.a]\nregion = 'r'\n[models]\n[organisations]\n[services.'{service}']\n\
         kind = 'plain'\nidempotent = {idempotent}\n{replicas}"
    );
    toml::from_str(&text).expect("a fleet of the test")
}

struct Case {
    name: &'static str,
    idempotent: bool,
    /// The result of claiming the key; `None` for a call without a key.
    key: Option<KeyState>,
    /// The replicas' behaviour in the order of the calls, all of which must be made.
    script: &'static [Behaviour],
    expected: &'static str,
    /// The calls made on the claims port.
    claim: &'static [&'static str],
}

fn recorded() -> Outcome {
    let (content, body) = ("text/plain".into(), b"first".to_vec());
    Outcome { verdict: Verdict::Answered, status: 201, content, body }
}

fn non_idempotent(
    name: &'static str,
    script: &'static [Behaviour],
    expected: &'static str,
) -> Case {
    Case { name, idempotent: false, key: None, script, expected, claim: &[] }
}

fn keyed(
    name: &'static str,
    key: KeyState,
    script: &'static [Behaviour],
    expected: &'static str,
    claim: &'static [&'static str],
) -> Case {
    Case { key: Some(key), claim, ..non_idempotent(name, script, expected) }
}

fn idempotent(name: &'static str, script: &'static [Behaviour], expected: &'static str) -> Case {
    Case { idempotent: true, ..non_idempotent(name, script, expected) }
}

fn cases() -> Vec<Case> {
    use Behaviour::{Answers, Fails, Garbles, Loses, Panics, Refuses, Unreachable};
    let refusal = Refusal::may_have_run(Code::KeyUnknown, "not known");
    vec![
        non_idempotent("once: answered", &[Answers], "200"),
        non_idempotent("once: an error of the target is an answer", &[Fails], "500"),
        non_idempotent("once: lost", &[Loses], "RS303 may_have_run"),
        non_idempotent("once: garbled", &[Garbles], "RS306 may_have_run"),
        non_idempotent("once: unreached, then answered", &[Unreachable, Answers], "200"),
        non_idempotent("once: refused, then lost", &[Refuses, Loses], "RS303 may_have_run"),
        non_idempotent(
            "once: no replica started it",
            &[Unreachable, Refuses, Unreachable],
            "RS302 not_run",
        ),
        idempotent("idempotent: lost, then answered", &[Loses, Answers], "200"),
        idempotent("idempotent: garbled, then answered", &[Garbles, Answers], "200"),
        idempotent(
            "idempotent: lost, then unreached",
            &[Loses, Unreachable, Unreachable],
            "RS302 may_have_run",
        ),
        idempotent(
            "idempotent: no replica started it",
            &[Refuses, Refuses, Refuses],
            "RS304 not_run",
        ),
        keyed(
            "key: answered",
            KeyState::Win,
            &[Answers],
            "200",
            &["begin k", "dispatch", "settle answered"],
        ),
        keyed(
            "key: lost",
            KeyState::Win,
            &[Loses],
            "RS303 may_have_run",
            &["begin k", "dispatch", "settle may_have_run"],
        ),
        keyed(
            "key: unreached, then answered",
            KeyState::Win,
            &[Unreachable, Answers],
            "200",
            &["begin k", "dispatch", "settle answered"],
        ),
        keyed(
            "key: no replica started it",
            KeyState::Win,
            &[Refuses, Refuses, Refuses],
            "RS304 not_run",
            &["begin k", "dispatch", "settle not_run"],
        ),
        keyed(
            "key: panic",
            KeyState::Win,
            &[Panics],
            "panic",
            &["begin k", "dispatch", "settle may_have_run"],
        ),
        keyed("key: claim lapsed", KeyState::Lapse, &[], "RS206 not_run", &["begin k", "dispatch"]),
        keyed("key: repeated", KeyState::Settled(recorded()), &[], "201 repeated", &["begin k"]),
        keyed("key: refused", KeyState::Refuse(refusal), &[], "RS402 may_have_run", &["begin k"]),
        Case {
            key: Some(KeyState::Win),
            claim: &[],
            ..idempotent("key of an idempotent service claims nothing", &[Answers], "200")
        },
    ]
}

#[test]
fn results_and_claims_by_replica_behaviour() {
    for (at, case) in cases().into_iter().enumerate() {
        let service = format!("s{at}");
        let script = Mutex::new(case.script.iter().copied().collect());
        let replicas = Arc::new(Replicas { script, keys: Mutex::default() });
        let key = Mutex::new(case.key.clone().unwrap_or(KeyState::Win));
        let claims = Arc::new(FakeClaims { key, calls: Mutex::default() });
        let app = app(&service, case.idempotent, claims.clone(), replicas.clone());
        let key = case.key.is_some().then(|| Key::from("k"));
        let run = || calls::run(&app, &request(&service), b"body", key.as_ref(), 7, None);
        let result = match catch_unwind(AssertUnwindSafe(run)) {
            Ok(Ok(end)) if end.repeated => format!("{} repeated", end.reply.status),
            Ok(Ok(end)) => end.reply.status.to_string(),
            Ok(Err(refusal)) => format!("{} {}", refusal.code, refusal.verdict.name()),
            Err(_) => "panic".into(),
        };
        assert_eq!(result, case.expected, "{}", case.name);
        assert!(replicas.script.lock().is_empty(), "{}: fewer calls than expected", case.name);
        assert!(replicas.keys.lock().iter().all(|sent| *sent == key), "{}", case.name);
        assert_eq!(*claims.calls.lock(), case.claim, "{}", case.name);
    }
}

/// Guards against retry budgets shared between two daemons of one process.
#[test]
fn each_daemon_has_its_own_retry_budget() {
    let attempts = |calls: usize| {
        let script = Mutex::new(VecDeque::from(vec![Behaviour::Loses; 3 * calls]));
        let replicas = Arc::new(Replicas { script, keys: Mutex::default() });
        let claims =
            Arc::new(FakeClaims { key: Mutex::new(KeyState::Win), calls: Mutex::default() });
        let app = app("shared", true, claims, replicas.clone());
        for _ in 0..calls {
            calls::run(&app, &request("shared"), b"", None, 7, None)
                .expect_err("every reply is lost");
        }
        replicas.keys.lock().len()
    };
    assert!(attempts(50) < 150, "the retry budget of the first daemon must run out");
    assert_eq!(attempts(1), 3, "the second daemon must have a full retry budget");
}

#[test]
fn a_call_past_its_deadline_is_not_sent() {
    let claims = Arc::new(FakeClaims { key: Mutex::new(KeyState::Win), calls: Mutex::default() });
    let replicas = Arc::new(Replicas { script: Mutex::default(), keys: Mutex::default() });
    let app = app("late", false, claims.clone(), replicas);
    let late = RequestInfo { deadline: Instant::now(), ..request("late") };
    let refusal = calls::run(&app, &late, b"", Some(&"k".into()), 7, None).expect_err("too late");
    assert_eq!((refusal.code, refusal.verdict), (Code::DeadlinePassed, Verdict::NotRun));
    assert_eq!(*claims.calls.lock(), ["begin k", "abandon"]);
}

fn request(service: &str) -> RequestInfo {
    let now = Instant::now();
    RequestInfo {
        request: "r1".into(),
        organisation: "o".into(),
        service: service.into(),
        deadline: now + Duration::from_secs(30),
        arrived: now,
        priority: 4,
        cost: 1,
    }
}

fn app(service: &str, idempotent: bool, claims: Arc<FakeClaims>, services: Arc<Replicas>) -> App {
    let fleets = Arc::new(StaticConfig::new(Some(fleet(service, idempotent))));
    App {
        router: Arc::new(FirstFitRouter::new(fleets.clone())),
        fleets,
        admission: Arc::new(FakeAdmission::default()),
        claims,
        ledger: Arc::new(FakeLedger::default()),
        members: Arc::new(SingleMember::new(&fakes::settings(&[]))),
        engine: Arc::new(FakeEngine {
            script: Mutex::new(EngineScript::Complete(1)),
            opened: Mutex::default(),
        }),
        services,
        budgets: Arc::default(),
        drain: Arc::new(Drain::default()),
    }
}
