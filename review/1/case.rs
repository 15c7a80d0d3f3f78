//! Case 1: the operator takes away the only key of the only tenant. Requests with that key, with a
//! key that no configuration ever held, and without a key are run from then on.

#[path = "../standins/lab.rs"]
mod lab;

use lab::{Record, Replica, Runs, Store, ms, sleep_ms};
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// A key that no configuration holds at any time.
const NEVER_HELD: &str = "zzzzzzzzzzzzzzzzzzzz";
/// `RevokeMs` of the settings.
const REVOKE_MS: u64 = 5000;
/// When the operator writes the second version, and when the case ends.
const CHANGE_AT_MS: u64 = 4000;
const LENGTH_MS: u64 = 20_000;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Key {
    Held,
    NeverHeld,
    None,
}

struct Sent {
    at: u64,
    key: Key,
    host: String,
}

fn send(addr: SocketAddr, attempt: &str, key: Key) -> Result<u16, &'static str> {
    let line = match key {
        Key::Held => format!("Api-Key: {KEY}\r\n"),
        Key::NeverHeld => format!("Api-Key: {NEVER_HELD}\r\n"),
        Key::None => String::new(),
    };
    let bytes = format!(
        "POST /post/2f HTTP/1.1\r\nHost: shop.example\r\nRoseshore-Attempt-Id: {attempt}\r\n\
         Roseshore-Deadline-Ms: 1500\r\n{line}Content-Length: 5\r\n\r\nentry"
    );
    let mut stream =
        TcpStream::connect_timeout(&addr, Duration::from_secs(1)).map_err(|_| "no connection")?;
    stream.write_all(bytes.as_bytes()).map_err(|_| "not sent")?;
    lab::read_answer(&mut stream, Instant::now() + Duration::from_millis(1500)).map(|a| a.status)
}

fn main() {
    lab::guard();
    let record = Record::create(&std::env::args().nth(1).unwrap_or_else(|| "record.txt".to_owned()));
    let trouble = lab::trouble();
    record.say(&format!("trouble={trouble}"));
    let store = Store::start();
    let runs: Runs = Arc::default();
    let zones = ["north", "south"];
    let _replicas: Vec<Replica> = (0..3)
        .map(|n| {
            let id = format!("i-{n}7f3a91c2");
            Replica::start(&store, "plain", zones[n % 2], &id, 20, &runs, &record)
        })
        .collect();
    let routes = [lab::route("post", "non_idempotent", 800, 1)];
    let with_key = format!("[{{\"Name\":\"hule930\",\"ApiKeys\":[\"{KEY}\"],\"Priority\":1}}]");
    let without = "[{\"Name\":\"hule930\",\"ApiKeys\":[],\"Priority\":1}]";
    store.put("keyed.op", "config", Some(&lab::config(7, &routes, &with_key)));
    let hosts = lab::start_hosts(store.addr, &["north", "north", "south"]);
    lab::wait_ready(&hosts, 20);
    record.say("all hosts are ready");

    let begin = ms();
    let sent: Arc<Mutex<HashMap<String, Sent>>> = Arc::default();
    let stop = lab::Stop::default();
    let callers: Vec<_> = hosts
        .iter()
        .flat_map(|host| [Key::Held, Key::NeverHeld, Key::None].map(|key| (host, key)))
        .map(|(host, key)| {
            let (addr, name) = (host.callers, host.name.clone());
            let (sent, record, stop) = (sent.clone(), record.clone(), stop.clone());
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let attempt = lab::attempt();
                    let at = ms();
                    sent.lock().unwrap().insert(attempt.clone(), Sent { at, key, host: name.clone() });
                    record.line(&format!("sent attempt={attempt} host={name} key={key:?}"));
                    let got = send(addr, &attempt, key);
                    record.line(&format!("answer attempt={attempt} key={key:?} {got:?}"));
                    sleep_ms(100);
                }
            })
        })
        .collect();

    sleep_ms(CHANGE_AT_MS);
    let tenants = if trouble { without } else { with_key.as_str() };
    store.put("keyed.op", "config", Some(&lab::config(11, &routes, tenants)));
    let acknowledged = ms();
    record.say(&format!("version 11 acknowledged at {acknowledged} ms, key removed: {trouble}"));
    sleep_ms(LENGTH_MS - CHANGE_AT_MS);
    stop.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|caller| caller.join().unwrap());
    sleep_ms(300);

    let (sent, runs) = (sent.lock().unwrap(), runs.lock().unwrap());
    let count = |key: Key, after: u64, until: u64| {
        let hits = runs.iter().filter(|run| {
            sent.get(&run.attempt).is_some_and(|s| s.key == key && s.at > after && s.at <= until)
        });
        hits.count()
    };
    let end = u64::MAX;
    record.say(&format!(
        "before the change: run with the key {}, with one never held {}, without {}",
        count(Key::Held, begin, acknowledged),
        count(Key::NeverHeld, begin, acknowledged),
        count(Key::None, begin, acknowledged),
    ));
    let late = acknowledged + REVOKE_MS;
    let revoked = if trouble { count(Key::Held, late, end) } else { 0 };
    let foreign = count(Key::NeverHeld, begin, end);
    record.say(&format!(
        "sent more than {REVOKE_MS} ms after the acknowledgement: run with the removed key {revoked}; \
         run with the key never held {foreign}, without a key {}",
        count(Key::None, begin, end)
    ));
    for host in &hosts {
        let of = runs.iter().filter_map(|run| sent.get(&run.attempt).filter(|s| s.host == host.name));
        let late = of.filter(|s| s.at > late && s.key == Key::Held).count();
        record.line(&format!("host {} ran {late} requests with the key after that time", host.name));
    }
    if count(Key::Held, begin, acknowledged) == 0 {
        lab::quit(2, "nothing was served before the change");
    }
    let broken = revoked > 0 || foreign > 0;
    record.say(if broken { "BROKEN" } else { "held" });
    lab::quit(i32::from(broken), "");
}
