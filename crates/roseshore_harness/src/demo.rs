//! The demo: starts a declared fleet and checks its main features.
//!
//! Each check prints one line, `ok` or `WRONG`, with what was observed; the result is the number of
//! failed checks. Expected answers are computed from the fake engines' sampling function, not taken
//! from an earlier answer of the system.

use crate::caller::{Caller, Chat, ClientReply, RequestOptions};
use crate::fleets;
use crate::process::{self, ProcessError};
use crate::world::{Plan, World};
use roseshore_core::declare::{Source, parse};
use roseshore_core::fleet::{ServiceKind, TargetKind};
use roseshore_core::prelude::*;
use std::io::{BufRead, stdin};
use std::net::SocketAddr;
use std::path::Path;
use std::thread;

/// Number of daemons in each data centre.
const DAEMONS: usize = 2;
/// Length in tokens of the answer during which a stage is killed.
const ANSWER_TOKENS: u32 = 60;
/// Number of tokens received before the stage is killed.
const KILL_AFTER_TOKENS: usize = 15;

/// Runs the demo and returns the number of failed checks. With `stay`, the fleet then stays up until
/// Enter is pressed.
///
/// # Errors
/// If the fleet declaration is invalid or cannot be read, or its processes do not become ready.
pub fn run(path: &Path, stay: bool) -> Result<usize, ProcessError> {
    let fleet = read(path)?;
    let selection = Selection::of(&fleet)?;
    let plan = Plan { fleet, daemons: DAEMONS, ..Plan::default() };
    let world = World::start(plan)?;
    println!("started {} processes, platform at {}", world.processes(), world.log);
    let mut demo = Demo { world, selection, wrong: 0 };
    demo.apply(path)?;
    demo.streamed();
    demo.lookup();
    demo.duplicate_call();
    demo.stage_lost();
    demo.operators();
    println!("{} wrong", demo.wrong);
    if stay {
        demo.stay();
    }
    Ok(demo.wrong)
}

fn read(path: &Path) -> Result<Fleet, ProcessError> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|err| ProcessError::Call(format!("`{name}` cannot be read: {err}")))?;
    parse(&[Source { name, text }]).map_err(|mistakes| {
        let lines: Vec<String> = mistakes.iter().map(ToString::to_string).collect();
        ProcessError::Call(lines.join("\n"))
    })
}

/// The organisation, services and model of the declared fleet that the demo uses.
struct Selection {
    customer: OrganisationId,
    answers: ServiceId,
    model: ModelId,
    version: VersionId,
    lookups: ServiceId,
    once: Option<ServiceId>,
}

impl Selection {
    fn of(fleet: &Fleet) -> Result<Selection, ProcessError> {
        let lacks = |what: &str| ProcessError::Call(format!("the fleet declares no {what}"));
        let find = |fits: &dyn Fn(&Service) -> bool| {
            fleet.services.iter().find(|(_, s)| fits(s)).map(|(id, s)| (id.clone(), s))
        };
        let (answers, service) = find(&|s| s.kind == ServiceKind::Model && s.idempotent)
            .ok_or_else(|| lacks("idempotent model service"))?;
        let (lookups, _) =
            find(&|s| s.kind == ServiceKind::Lookup).ok_or_else(|| lacks("lookup service"))?;
        let once = find(&|s| s.kind == ServiceKind::Plain && !s.idempotent).map(|(id, _)| id);
        let model = service.model.clone().ok_or_else(|| lacks("model"))?;
        let version = fleet.models.get(&model).map(|m| m.version.clone());
        let customer = fleet.organisations.keys().next().cloned();
        Ok(Selection {
            customer: customer.ok_or_else(|| lacks("organisation"))?,
            answers,
            version: version.ok_or_else(|| lacks("version"))?,
            model,
            lookups,
            once,
        })
    }

    fn text(&self, chat: &Chat<'_>) -> String {
        fleets::text_of(&self.model, &self.version, chat)
    }
}

struct Demo {
    world: World,
    selection: Selection,
    wrong: usize,
}

impl Demo {
    fn check(&mut self, what: &str, held: bool, seen: &str) {
        let mark = if held { "ok   " } else { "WRONG" };
        self.wrong += usize::from(!held);
        println!("{mark} {what}: {seen}");
    }

    fn marks(&self) -> RequestOptions {
        RequestOptions::of(&self.selection.customer)
    }

    fn daemon(&self, number: usize) -> SocketAddr {
        let daemons = &self.world.daemons;
        daemons[number % daemons.len()].addr
    }

    fn last(&self) -> SocketAddr {
        self.daemon(self.world.daemons.len() - 1)
    }

    /// Runs the command-line tool for operators; returns its exit code and standard output.
    fn tool(&self, words: &[&str]) -> Result<(i32, String), ProcessError> {
        let hosts = self.daemon(0).to_string();
        let mut args = vec!["--hosts".to_owned(), hosts];
        args.extend(words.iter().map(|w| (*w).to_owned()));
        process::run("roseshore", &args)
    }

    fn apply(&mut self, path: &Path) -> Result<(), ProcessError> {
        let path = path.display().to_string();
        let (code, out) = self.tool(&["apply", &path, "--id", "demo", "--wait", "20s"])?;
        self.check("the fleet is declared and in force everywhere", code == 0, last_line(&out));
        self.world.ready()?;
        let (code, out) = self.tool(&["apply", &path, "--dry-run"])?;
        self.check("declaring it again would change nothing", code == 0, last_line(&out));
        Ok(())
    }

    fn streamed(&mut self) {
        let service = self.selection.answers.clone();
        let chat = Chat { service: &service, prompt: "draft the changelog of 1.4.0", tokens: 24 };
        let got = self.world.caller.stream(self.daemon(0), &chat, &self.marks(), |_| ());
        let right = got.whole && got.joined() == self.selection.text(&chat);
        let seen = format!(
            "{} tokens, the first after {:.1} ms, all after {:.1} ms",
            got.gaps.len() + 1,
            got.first.as_secs_f64() * 1e3,
            got.took.as_secs_f64() * 1e3
        );
        self.check("a streamed answer is whole and right", right, &seen);
    }

    fn lookup(&mut self) {
        let (service, marks) = (self.selection.lookups.clone(), self.marks());
        let got = self.world.caller.lookup(self.last(), &service, "pkg-7", &marks);
        self.check("a lookup finds its record", got.status == 200, &line(&got));
        let got = self.world.caller.lookup(self.last(), &service, "no-such-name", &marks);
        let missing = got.status == 404 && got.code.as_deref() == Some("RS601");
        self.check("a name that no source holds is not found", missing, &line(&got));
    }

    fn duplicate_call(&mut self) {
        let Some(service) = self.selection.once.clone() else { return };
        let marks = self.marks().keyed("demo-note");
        let hosts = [self.daemon(0), self.last()];
        let call = |host| self.world.caller.call(host, &service, "publish 1.4.0", &marks);
        let got: Vec<ClientReply> = thread::scope(|scope| {
            let calls = hosts.map(|host| scope.spawn(move || call(host)));
            calls.into_iter().filter_map(|call| call.join().ok()).collect()
        });
        let again = call(self.daemon(1));
        let ran = self.world.ran("demo-note").unwrap_or(0);
        let same = got.iter().all(|g| g.status == 200 && g.text == again.text);
        self.check("a doubled call gets one answer", same && again.replayed, &line(&again));
        self.check("and ran once", ran == 1, &format!("{ran} runs over all replicas"));
    }

    fn stage_lost(&mut self) {
        let service = self.selection.answers.clone();
        let chat =
            Chat { service: &service, prompt: "summarise the advisory", tokens: ANSWER_TOKENS };
        let (addr, marks) = (self.daemon(0), self.marks());
        let engines = engines(&self.world);
        let mut killed = None;
        let caller = Caller::default();
        let targets = &mut self.world.targets;
        let got = self.world.caller.stream(addr, &chat, &marks, |count| {
            if count == KILL_AFTER_TOKENS {
                killed = engines.iter().rev().find(|(_, at)| busy(&caller, *at)).map(|(id, _)| id);
                if let Some(process) = killed.and_then(|id| targets.get_mut(id)) {
                    process.kill();
                }
            }
        });
        let right = got.whole && got.joined() == self.selection.text(&chat);
        let id = got.request.clone().unwrap_or_default();
        let fate = self.world.caller.get(addr, &format!("/v1/requests/{id}")).unwrap_or_default();
        let resumed = fate["resumed"].as_u64().unwrap_or(0);
        let pause = got.gaps.iter().max().copied().unwrap_or_default();
        let seen = format!(
            "killed {}, resumed {resumed} times, longest pause {:.0} ms",
            killed.map_or("nothing", String::as_str),
            pause.as_secs_f64() * 1e3
        );
        self.check("an answer outlives a killed stage", right && resumed > 0, &seen);
        match self.tool(&["explain", &id]) {
            Ok((code, out)) => {
                self.check("its spans are shown", code == 0, &format!("request {id}"));
                println!("{out}");
            }
            Err(err) => self.check("its spans are shown", false, &err.to_string()),
        }
    }

    fn operators(&mut self) {
        for words in [&["status"][..], &["running"], &["late"], &["refused", "since=1h"]] {
            match self.tool(words) {
                Ok((code, out)) => {
                    let seen = format!("{} lines", out.lines().count());
                    self.check(&format!("operators ask `{}`", words.join(" ")), code == 0, &seen);
                }
                Err(err) => self.check("operators ask", false, &err.to_string()),
            }
        }
    }

    fn stay(&self) {
        let host = self.daemon(0);
        let (answers, customer) = (&self.selection.answers, &self.selection.customer);
        println!("\nThe fleet stays up. Type, for example:");
        println!("  target/release/roseshore --hosts {host} status");
        println!("  curl -N http://{host}/v1/chat/completions -H 'x-organisation: {customer}' \\");
        println!(
            "    -d '{{\"model\":\"{answers}\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"hello\"}}]}}'"
        );
        println!("Press Enter to stop it.");
        // Enter, end of input and a read error all end the wait.
        let _ = stdin().lock().lines().next();
    }
}

fn engines(world: &World) -> Vec<(TargetId, SocketAddr)> {
    let targets = world.plan.fleet.targets.iter();
    let engines = targets.filter(|(_, t)| t.kind == TargetKind::Engine);
    engines.map(|(id, t)| (id.clone(), t.addr)).collect()
}

fn busy(caller: &Caller, engine: SocketAddr) -> bool {
    caller.get(engine, "/v1/load").is_ok_and(|load| load["running"].as_u64().unwrap_or(0) > 0)
}

fn line(got: &ClientReply) -> String {
    let code = got.code.as_deref().unwrap_or("no code");
    format!("status {}, {code}, {:.1} ms", got.status, got.took.as_secs_f64() * 1e3)
}

fn last_line(text: &str) -> &str {
    text.lines().last().unwrap_or_default()
}
