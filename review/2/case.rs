//! Case 2: an entry of another writer appears among the servers in the store. Each host of its zone
//! panics when it has read the list, and again after each start.

#[path = "../standins/lab.rs"]
mod lab;
#[path = "../standins/engine.rs"]
mod engine;

use engine::{Engine, Spec, World};
use lab::{Record, Replica, Runs, Store, ms, sleep_ms};
use std::collections::HashSet;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const KEY: &str = "n2ctnfzs989anu6wsjnb";
const WORK_MS: u64 = 300;
const CALLERS: usize = 8;
const ENTRY_AT_MS: u64 = 4000;
const LENGTH_MS: u64 = 24_000;
/// Time after which the platform starts a process again that has ended.
const RESTART_MS: u64 = 1000;

struct Sent {
    at: u64,
    attempt: String,
    host: usize,
    /// Requests that were answered on the same connection before.
    before: u32,
    answer: Result<u16, &'static str>,
}

fn config() -> String {
    format!(
        "{{\"Version\":7,\"Routes\":[{}],\"Services\":[{{\"Name\":\"plain\",\"HealthPath\":\"/healthz\",\
         \"MaxConns\":110,\"Protocol\":\"h1\",\"Tls\":false}},{{\"Name\":\"models\",\"HealthPath\":\"/healthz\",\
         \"MaxConns\":1138,\"Protocol\":\"h1\",\"Tls\":false,\"Engine\":{{\"Slots\":192,\"KvCapacity\":100000,\
         \"KvBytes\":918000,\"LinkMbps\":400000.0,\"Stride\":3,\"Models\":[{{\"Name\":\"daka510000\",\"pace\":1.0,\
         \"LoadS\":4.0,\"WarmS\":1.0}}],\"step_ms\":1.02,\"per_seq_ms\":0.00714,\"context_per_k\":0.00956,\
         \"read_per_s\":105000.0,\"pairs_per_m\":0.309,\"chunk\":512,\"report_lag_ms\":200.0,\"LoadsPerS\":0.0,\
         \"loads_at_once\":5,\"delays\":[],\"usual\":{{\"prompt\":774,\"answer\":200}},\"Layers\":80,\
         \"LayerMb\":1750.0,\"ActBytes\":45900,\"PipeMbps\":26000.0,\"Kinds\":[{{\"Name\":\"a100\",\
         \"SizeMb\":72000.0,\"pace\":2.4,\"ReadFactor\":3.2}}]}}}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\
         \"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\"Tenants\":[{{\"Name\":\
         \"hule930\",\"ApiKeys\":[\"{KEY}\"],\"Priority\":1}}]}}",
        lab::route("post", "non_idempotent", 4000, 1)
    )
}

/// Sends one request on a connection that is kept.
fn send(stream: &mut TcpStream, attempt: &str) -> Result<u16, &'static str> {
    let bytes = format!(
        "POST /post/2f HTTP/1.1\r\nHost: shop.example\r\nRoseshore-Attempt-Id: {attempt}\r\n\
         Roseshore-Deadline-Ms: 4000\r\nApi-Key: {KEY}\r\nContent-Length: 5\r\n\r\nentry"
    );
    stream.write_all(bytes.as_bytes()).map_err(|_| "not sent")?;
    lab::read_answer(stream, Instant::now() + Duration::from_millis(4500)).map(|a| a.status)
}

fn main() {
    lab::guard();
    let record = Record::create(&std::env::args().nth(1).unwrap_or_else(|| "record.txt".to_owned()));
    let trouble = lab::trouble();
    record.say(&format!("trouble={trouble}"));
    let store = Store::start();
    let world = World::default();
    let runs: Runs = Arc::default();
    let free: SocketAddr = format!("{}:0", lab::address(3)).parse().expect("an address");
    let _plain: Vec<Replica> = (0..4)
        .map(|n| {
            let zone = ["north", "south"][n % 2];
            Replica::start(&store, "plain", zone, &format!("i-{n}7f3a91c2"), WORK_MS, &runs, &record)
        })
        .collect();
    for n in 0..6 {
        let spec = Spec {
            id: format!("i-a{n}7f3a91"),
            service: "models".to_owned(),
            model: "daka510000".to_owned(),
            layers: 80,
            kind: "a100".to_owned(),
            size_mb: 72_000.0,
            zone: ["north", "south"][n % 2].to_owned(),
            events: (20, 65, 20),
        };
        Engine::start(&store, &world, spec, free, Duration::ZERO, &record);
    }
    store.put("keyed.op", "config", Some(&config()));
    let mut hosts = lab::start_hosts(store.addr, &["north", "north", "south"]);
    lab::wait_ready(&hosts, 20);
    sleep_ms(6000);
    record.say("all hosts are ready, and the replicas hold layers");

    let begin = Instant::now();
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let stop = lab::Stop::default();
    let callers: Vec<_> = (0..hosts.len() * CALLERS)
        .map(|number| {
            let host = number / CALLERS;
            let addr = hosts[host].callers;
            let (sent, record, stop) = (sent.clone(), record.clone(), stop.clone());
            thread::spawn(move || {
                sleep_ms(37 * number as u64);
                while !stop.load(Ordering::Relaxed) {
                    let Ok(mut stream) = TcpStream::connect_timeout(&addr, Duration::from_secs(1))
                    else {
                        sleep_ms(200);
                        continue;
                    };
                    let mut before = 0;
                    while !stop.load(Ordering::Relaxed) {
                        let (at, attempt) = (ms(), lab::attempt());
                        record.line(&format!("sent attempt={attempt} host={host} before={before}"));
                        let answer = send(&mut stream, &attempt);
                        record.line(&format!("answer attempt={attempt} host={host} {answer:?}"));
                        let kept = answer.is_ok();
                        sent.lock().unwrap().push(Sent { at, attempt, host, before, answer });
                        if !kept {
                            break;
                        }
                        before += 1;
                        sleep_ms(20);
                    }
                }
            })
        })
        .collect();

    sleep_ms(ENTRY_AT_MS);
    let written = ms();
    if trouble {
        // Of another program, for a model of 96 layers: it lacks Version, ColdLeftMs, Stage, Models,
        // CallSeq and born.
        let entry = format!(
            "{{\"Service\":\"models\",\"Address\":\"{}:8080\",\"Zone\":\"north\",\"Slots\":192,\"State\":\"ready\",\
             \"Layers\":[{{\"From\":88,\"TargetVersion\":96}}],\"RouteType\":\"a100\"}}",
            lab::address(9)
        );
        store.put("keyed.servers", "tool-1", Some(&entry));
        record.say(&format!("{written} ms: entry of another writer: {entry}"));
    }
    let mut ends = vec![0; hosts.len()];
    let mut again: Vec<Option<Instant>> = vec![None; hosts.len()];
    while begin.elapsed() < Duration::from_millis(LENGTH_MS) {
        for (number, host) in hosts.iter_mut().enumerate() {
            if let Some(at) = again[number] {
                if Instant::now() >= at {
                    host.restart();
                    again[number] = None;
                }
            } else if let Some(status) = host.ended() {
                ends[number] += 1;
                again[number] = Some(Instant::now() + Duration::from_millis(RESTART_MS));
                record.line(&format!("{} ended by itself: {status}", host.name));
            }
        }
        sleep_ms(20);
    }
    stop.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|caller| caller.join().unwrap());

    let sent = sent.lock().unwrap();
    let ran: HashSet<String> = runs.lock().unwrap().iter().map(|run| run.attempt.clone()).collect();
    let mut most = 0;
    for (number, host) in hosts.iter().enumerate() {
        let of: Vec<&Sent> = sent.iter().filter(|s| s.host == number).collect();
        let closed = |s: &&&Sent| {
            s.before > 0 && ran.contains(&s.attempt) && s.answer.is_err_and(|why| why != "no answer in time")
        };
        let lost = of.iter().filter(closed).count();
        let late = of.iter().filter(|s| s.at > written + 5000);
        let served = late.filter(|s| s.answer == Ok(200)).count();
        most = most.max(lost);
        record.say(&format!(
            "{}: ended by itself {} times; requests on kept connections that were run, and whose connection \
             was closed without an answer: {lost}; served later than 5 s after {written} ms: {served}",
            host.name, ends[number]
        ));
    }
    for host in &hosts {
        let log = std::fs::read_to_string(&host.log).unwrap_or_default();
        if let Some(line) = log.lines().position(|line| line.contains("panicked at")) {
            let lines: Vec<&str> = log.lines().skip(line).take(2).collect();
            record.say(&format!("{}: {}", host.name, lines.join(" ")));
        }
    }
    if sent.iter().filter(|s| s.at < written && s.answer == Ok(200)).count() == 0 {
        lab::quit(2, "nothing was served before the disruption");
    }
    // "more than three times"
    let broken = most > 3;
    record.say(if broken { "BROKEN" } else { "held" });
    lab::quit(i32::from(broken), "");
}
