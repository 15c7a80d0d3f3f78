//! Stand-in of a model replica: it holds a range of layers, takes orders, reports its state, runs
//! streams over paths, and falls when it is ordered to hold more than it has memory for.

use super::lab::{HEARTBEAT, Link, Record, Store, ms, sleep_ms};
use std::collections::HashMap;
use std::io::ErrorKind;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

pub const LAYER_MB: f64 = 1750.0;
/// Time to load all layers of a model.
const LOAD_S: f64 = 4.0;

/// An order that a replica received.
#[derive(Clone, Debug)]
pub struct Order {
    pub at: u64,
    pub replica: String,
    pub service: String,
    pub layers: (u16, u16),
    pub size_mb: f64,
    /// Whether the layers need more than the replica's memory.
    pub over: bool,
    pub status: u16,
}

struct State {
    held: Option<(u16, u16)>,
    /// The layers being loaded, and when they are there.
    loading: Option<((u16, u16), Instant)>,
    call_seq: u64,
    streams: Vec<TcpStream>,
}

impl State {
    fn settle(&mut self) {
        if let Some((layers, at)) = self.loading {
            if Instant::now() >= at {
                (self.held, self.loading) = (Some(layers), None);
            }
        }
    }
}

/// What a replica is.
#[derive(Clone)]
pub struct Spec {
    pub id: String,
    pub service: String,
    pub model: String,
    pub layers: u16,
    pub kind: String,
    pub size_mb: f64,
    pub zone: String,
    /// Events of each stream, their size in bytes, and the time between them.
    pub events: (u32, usize, u64),
}

/// A running replica.
#[derive(Clone)]
pub struct Engine {
    pub spec: Spec,
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
    ended: Arc<AtomicBool>,
    world: World,
    born: u64,
}

/// All replicas by address, and the orders that they received.
#[derive(Clone, Default)]
pub struct World {
    pub engines: Arc<Mutex<HashMap<SocketAddr, Engine>>>,
    pub orders: Arc<Mutex<Vec<Order>>>,
}

impl Engine {
    /// Starts a replica at an address; it writes its first entry after `listed_after`.
    pub fn start(
        store: &Store,
        world: &World,
        spec: Spec,
        addr: SocketAddr,
        listed_after: Duration,
        record: &Record,
    ) -> Engine {
        let listener = TcpListener::bind(addr).expect("the address is free");
        listener.set_nonblocking(true).expect("a socket");
        let addr = listener.local_addr().expect("bound");
        let state = State { held: None, loading: None, call_seq: 0, streams: Vec::new() };
        let born = SystemTime::UNIX_EPOCH.elapsed().expect("a date").as_millis() as u64;
        let engine = Engine {
            spec,
            addr,
            state: Arc::new(Mutex::new(state)),
            ended: Arc::default(),
            world: world.clone(),
            born,
        };
        world.engines.lock().unwrap().insert(addr, engine.clone());
        record.line(&format!(
            "start replica={} service={} kind={} address={addr}",
            engine.spec.id, engine.spec.service, engine.spec.kind
        ));
        let (accepting, log) = (engine.clone(), record.clone());
        thread::spawn(move || {
            while !accepting.ended.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        if let Ok(copy) = stream.try_clone() {
                            accepting.state.lock().unwrap().streams.push(copy);
                        }
                        let (engine, log) = (accepting.clone(), log.clone());
                        thread::spawn(move || engine.serve(Link::new(stream), &log));
                    }
                    Err(err) if err.kind() == ErrorKind::WouldBlock => {
                        thread::sleep(Duration::from_millis(1));
                    }
                    Err(_) => return,
                }
            }
        });
        let (beating, store) = (engine.clone(), store.clone());
        thread::spawn(move || {
            thread::sleep(listed_after);
            let mut last = None;
            while !beating.ended.load(Ordering::SeqCst) {
                // The entry is written at each heartbeat, and at once when the layers change.
                let held = {
                    let mut state = beating.state.lock().unwrap();
                    state.settle();
                    state.held
                };
                let due = last.is_none_or(|(at, known): (Instant, _)| {
                    at.elapsed() >= HEARTBEAT || known != held
                });
                if due {
                    store.put("keyed.servers", &beating.spec.id, Some(&beating.entry()));
                    last = Some((Instant::now(), held));
                }
                sleep_ms(20);
            }
            // Three heartbeats without a write.
            let written = last.map_or(Instant::now(), |(at, _)| at);
            thread::sleep((HEARTBEAT * 3).saturating_sub(written.elapsed()));
            store.put("keyed.servers", &beating.spec.id, None);
        });
        engine
    }

    /// Ends the process of the replica: its port and all its connections close.
    pub fn crash(&self) {
        self.ended.store(true, Ordering::SeqCst);
        for stream in std::mem::take(&mut self.state.lock().unwrap().streams) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }

    pub fn holds(&self) -> Option<(u16, u16)> {
        let mut state = self.state.lock().unwrap();
        state.settle();
        state.held
    }

    fn layers_json(held: Option<(u16, u16)>) -> String {
        held.map_or("[]".to_owned(), |(from, to)| {
            format!("[{{\"From\":{from},\"TargetVersion\":{to},\"Version\":1}}]")
        })
    }

    fn models_json(&self) -> String {
        format!("[{{\"Name\":\"{}\",\"Version\":1,\"Adapters\":[]}}]", self.spec.model)
    }

    fn entry(&self) -> String {
        let mut state = self.state.lock().unwrap();
        state.settle();
        format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\"Slots\":192,\
             \"State\":\"ready\",\"ColdLeftMs\":0,\"Stage\":\"unified\",\"Models\":{},\"Layers\":{},\
             \"RouteType\":\"{}\",\"CallSeq\":{},\"born\":{}}}",
            self.spec.service,
            self.addr,
            self.spec.zone,
            self.models_json(),
            Engine::layers_json(state.held),
            self.spec.kind,
            state.call_seq,
            self.born
        )
    }

    fn serve(&self, mut link: Link, record: &Record) {
        while let Some(head) = link.head() {
            let length = head.field("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
            let Some(body) = link.bytes(length) else { return };
            if self.ended() {
                return;
            }
            let line = head.line.clone();
            let path = line.split(' ').nth(1).unwrap_or("");
            let attempt = head.field("roseshore-attempt-id").unwrap_or("").to_owned();
            let reply = |status: u16, more: &str, body: &str| {
                format!(
                    "HTTP/1.1 {status} x\r\n{more}Content-Length: {}\r\n\r\n{body}",
                    body.len()
                )
            };
            let out = match path {
                "/report" => {
                    let mut state = self.state.lock().unwrap();
                    state.settle();
                    let body = format!(
                        "{{\"Stage\":\"unified\",\"Models\":{},\"Layers\":{},\"RouteType\":\"{}\",\
                         \"Utilization\":{},\"CallSeq\":{},\"Waiting\":0,\"Running\":0,\"KvUsed\":0,\
                         \"KvTotal\":90000,\"KvHandles\":0,\"pace\":1.0,\"born\":{}}}",
                        self.models_json(),
                        Engine::layers_json(state.held),
                        self.spec.kind,
                        state.loading.is_some(),
                        state.call_seq,
                        self.born
                    );
                    reply(200, "Content-Type: application/json\r\n", &body)
                }
                "/order" => {
                    let (status, over) = self.order(&String::from_utf8_lossy(&body), record);
                    if over {
                        // It runs out of memory before it can answer.
                        self.crash();
                        return;
                    }
                    reply(status, "", "")
                }
                "/healthz" => reply(200, &format!("Roseshore-Replica-Id: {}\r\n", self.spec.id), ""),
                _ => match self.refuses(&head, &attempt) {
                    Some((status, more)) => reply(status, &more, ""),
                    None => {
                        let head_after: u32 = head
                            .field("last-event-id")
                            .and_then(|id| id.parse().ok())
                            .unwrap_or(0);
                        record.line(&format!(
                            "run replica={} attempt={attempt} after={head_after}",
                            self.spec.id
                        ));
                        let head = format!(
                            "HTTP/1.1 200 OK\r\nRoseshore-Attempt-Id: {attempt}\r\n\
                             Roseshore-Replica-Seal: seal-{}\r\nRoseshore-Weight-Versions: 1\r\n\
                             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
                            self.spec.id
                        );
                        if link.stream.write_all(head.as_bytes()).is_err() {
                            return;
                        }
                        let (count, size, gap_ms) = self.spec.events;
                        let first = head_after + 1;
                        for id in first..=count {
                            sleep_ms(gap_ms);
                            let event = format!("id: {id}\ndata: {:x<size$}\n\n", "token ");
                            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                            if link.stream.write_all(chunk.as_bytes()).is_err() {
                                return;
                            }
                        }
                        "0\r\n\r\n".to_owned()
                    }
                },
            };
            if link.stream.write_all(out.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Handles an order; returns the status, and whether the replica falls by it.
    fn order(&self, body: &str, record: &Record) -> (u16, bool) {
        let number = |name: &str| -> Option<u64> {
            let rest = &body[body.find(&format!("\"{name}\":"))? + name.len() + 3..];
            rest.split([',', '}']).next()?.trim().parse().ok()
        };
        let (Some(from), Some(to)) = (number("From"), number("TargetVersion")) else {
            return (400, false);
        };
        let layers = (from as u16, to as u16);
        let needed = f64::from(layers.1 - layers.0) * LAYER_MB;
        let over = needed > self.spec.size_mb;
        let mut state = self.state.lock().unwrap();
        state.settle();
        let fits = state.loading.is_none()
            && number("ExpectedRev").is_none_or(|expected| expected == state.call_seq);
        let status = if fits { 202 } else { 409 };
        if fits {
            state.call_seq += 1;
            let share = f64::from(layers.1 - layers.0) / f64::from(self.spec.layers);
            let done = Instant::now() + Duration::from_secs_f64(LOAD_S * share.min(1.0));
            state.loading = Some((layers, done));
        }
        drop(state);
        let order = Order {
            at: ms(),
            replica: self.spec.id.clone(),
            service: self.spec.service.clone(),
            layers,
            size_mb: self.spec.size_mb,
            over,
            status,
        };
        record.line(&format!(
            "order replica={} service={} layers={}-{} needs_mb={needed:.0} size_mb={:.0} status={status} over={over}",
            order.replica, order.service, layers.0, layers.1, order.size_mb
        ));
        self.world.orders.lock().unwrap().push(order);
        (status, over && status == 202)
    }

    /// Why a request is not run, as a status and header fields; `None` if it is run.
    fn refuses(&self, head: &super::lab::Head, attempt: &str) -> Option<(u16, String)> {
        let not_run = "Roseshore-Not-Executed: 1\r\n";
        if attempt.is_empty() {
            return Some((400, not_run.to_owned()));
        }
        let echo = format!("Roseshore-Attempt-Id: {attempt}\r\n");
        if head.field("roseshore-expect-replica").is_some_and(|id| id != self.spec.id) {
            return Some((421, format!("{echo}Roseshore-Replica-Id: {}\r\n", self.spec.id)));
        }
        let own = format!("{}=0-{}", self.addr, self.spec.layers);
        let path = head.field("roseshore-hop-count").unwrap_or(&own).to_owned();
        for hop in path.split(',') {
            let (addr, range) = hop.split_once('=')?;
            let (from, to) = range.split_once('-')?;
            let (from, to): (u16, u16) = (from.parse().ok()?, to.parse().ok()?);
            let at: SocketAddr = addr.parse().ok()?;
            let engine = self.world.engines.lock().unwrap().get(&at).cloned();
            let live = engine.filter(|engine| !engine.ended());
            let fault = format!("{echo}At-Server: {addr}\r\n");
            let Some(engine) = live else { return Some((503, not_run.to_owned() + &fault)) };
            let same = engine.spec.service == self.spec.service;
            if !same || engine.holds().is_none_or(|held| from < held.0 || held.1 < to) {
                return Some((421, fault));
            }
        }
        None
    }
}
