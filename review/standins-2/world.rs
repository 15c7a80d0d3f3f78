//! Stand-ins for the scripts `review/4` to `review/8`: the platform's store, replicas, the platform's
//! ingress, consumers, and the supervisor that starts the daemons. Standard library only.
//!
//! `world replica ...` is one replica, as a process of its own, so that a script can kill it. The other
//! words name the case to play; see `main`. Times in records are Unix milliseconds less the start.

use std::collections::{BTreeMap, HashMap};
use std::fs::{File, OpenOptions};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

mod cases;

pub const SIGTERM: i32 = 15;
/// The platform's time between check-ins of a replica, and the time without one after which its entry goes.
const CHECK_IN: Duration = Duration::from_millis(1200);
const LAPSE: Duration = Duration::from_millis(3600);
/// Delay after which the platform starts an ended process again.
const RESTART_DELAY: Duration = Duration::from_millis(300);

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, size: u32) -> i32;
    fn prctl(option: i32, value: u64, ...) -> i32;
}

/// Has a process killed when the one that started it ends, so that none is left behind.
fn ends_with_parent(command: &mut Command) -> &mut Command {
    use std::os::unix::process::CommandExt;
    const PR_SET_PDEATHSIG: i32 = 1;
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, 9u64);
            Ok(())
        })
    }
}

/// Gives a connection, or those of a listener, a small receive window, as the links of the platform have.
pub fn small_window(socket: &impl std::os::fd::AsRawFd) {
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    let bytes: i32 = 64 << 10;
    unsafe { setsockopt(socket.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &bytes, 4) };
}

/// Bytes of the answer of the route `package-index`.
pub const INDEX_BYTES: usize = 7_500_000;

pub fn signal(child: &Child, number: i32) {
    unsafe { kill(child.id() as i32, number) };
}

pub fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A small generator; the seed is fixed, so that the traffic is alike in each run.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }
}

// ---------------------------------------------------------------- HTTP

pub struct Message {
    pub first: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; `None` if the connection ended before or within it.
pub fn read_head(input: &mut impl BufRead) -> Option<Message> {
    let mut first = String::new();
    if input.read_line(&mut first).ok()? == 0 || !first.ends_with('\n') {
        return None;
    }
    let mut fields = Vec::new();
    loop {
        let mut line = String::new();
        if input.read_line(&mut line).ok()? == 0 || !line.ends_with('\n') {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        fields.push((name.to_owned(), value.trim().to_owned()));
    }
    Some(Message { first: first.trim_end().to_owned(), fields, body: Vec::new() })
}

/// Reads a whole message with a length or in chunks; `None` if it is not complete.
pub fn read_message(input: &mut impl BufRead) -> Option<Message> {
    let mut message = read_head(input)?;
    if message.field("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            if input.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let size = usize::from_str_radix(line.trim(), 16).ok()?;
            let mut piece = vec![0; size + 2];
            input.read_exact(&mut piece).ok()?;
            if size == 0 {
                return Some(message);
            }
            message.body.extend_from_slice(&piece[..size]);
        }
    }
    let length = message.field("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    input.read_exact(&mut body).ok()?;
    message.body = body;
    Some(message)
}

fn respond(stream: &mut TcpStream, status: u16, fields: &str, body: &[u8]) -> bool {
    let head = format!("HTTP/1.1 {status} X\r\n{fields}Content-Length: {}\r\n\r\n", body.len());
    let mut out = head.into_bytes();
    out.extend_from_slice(body);
    stream.write_all(&out).is_ok()
}

// ---------------------------------------------------------------- the store

type Records = Vec<(String, Vec<u8>)>;

struct StoreState {
    topics: HashMap<String, Records>,
    checked_in: HashMap<String, Instant>,
}

/// The platform's store: keyed topics of one partition. Replicas check in at `/check-in`, which is the
/// stand-in's own path.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().unwrap();
        let state = StoreState { topics: HashMap::new(), checked_in: HashMap::new() };
        let store = Store { addr, state: Arc::new((Mutex::new(state), Condvar::new())) };
        let (serving, lapsing) = (store.clone(), store.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        thread::spawn(move || {
            loop {
                sleep(ms(50));
                lapsing.lapse();
            }
        });
        store
    }

    pub fn put(&self, topic: &str, key: &str, value: Vec<u8>) {
        let mut state = self.state.0.lock().unwrap();
        state.topics.entry(topic.to_owned()).or_default().push((key.to_owned(), value));
        self.state.1.notify_all();
    }

    fn lapse(&self) {
        let mut state = self.state.0.lock().unwrap();
        let gone: Vec<String> = state
            .checked_in
            .iter()
            .filter(|(_, at)| at.elapsed() > LAPSE)
            .map(|(id, _)| id.clone())
            .collect();
        for id in gone {
            state.checked_in.remove(&id);
            state.topics.entry("keyed.servers".into()).or_default().push((id, Vec::new()));
            self.state.1.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut input = BufReader::new(stream.try_clone().unwrap());
        let mut stream = stream;
        while let Some(request) = read_message(&mut input) {
            let target = request.first.split(' ').nth(1).unwrap_or("").to_owned();
            let (call, query) = target.split_once('?').unwrap_or((&target, ""));
            let get = |name: &str| {
                query
                    .split('&')
                    .filter_map(|p| p.split_once('='))
                    .find(|(n, _)| *n == name)
                    .map(|(_, v)| v)
            };
            let topic = get("Topic").unwrap_or("").to_owned();
            let (status, body) = match call {
                "/check-in" => {
                    let id = get("Id").unwrap_or("").to_owned();
                    self.state.0.lock().unwrap().checked_in.insert(id.clone(), Instant::now());
                    self.put("keyed.servers", &id, request.body);
                    (200, Vec::new())
                }
                "/log-newest" => (200, self.newest(&topic)),
                "/log-read" => {
                    let number =
                        |name: &str| get(name).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
                    self.read(&topic, number("From") as usize, ms(number("WaitMs")))
                }
                "/log-append" => self.append(&topic, &request.body),
                _ => (400, Vec::new()),
            };
            if !respond(&mut stream, status, "", &body) {
                return;
            }
        }
    }

    fn newest(&self, topic: &str) -> Vec<u8> {
        let state = self.state.0.lock().unwrap();
        let records = state.topics.get(topic).cloned().unwrap_or_default();
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let entries: Vec<String> = newest
            .iter()
            .filter(|(_, (_, value))| !value.is_empty())
            .map(|(key, (offset, value))| {
                format!(r#"{{"PrivateKey":"{key}","Value":"{}","Offset":{offset}}}"#, base64(value))
            })
            .collect();
        format!(
            r#"{{"Entries":[{}],"HasMore":false,"EndOffset":{}}}"#,
            entries.join(","),
            records.len()
        )
        .into_bytes()
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> (u16, Vec<u8>) {
        let until = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        while state.topics.get(topic).map_or(0, Vec::len) <= from && Instant::now() < until {
            state = self.state.1.wait_timeout(state, until - Instant::now()).unwrap().0;
        }
        let records = state.topics.get(topic).cloned().unwrap_or_default();
        let mut out = (records.len() as u64).to_be_bytes().to_vec();
        out.extend_from_slice(&0u64.to_be_bytes());
        for (key, value) in records.iter().skip(from) {
            out.extend_from_slice(&((1 + key.len() + value.len()) as u32).to_be_bytes());
            out.push(key.len() as u8);
            out.extend_from_slice(key.as_bytes());
            out.extend_from_slice(value);
        }
        (200, out)
    }

    fn append(&self, topic: &str, mut body: &[u8]) -> (u16, Vec<u8>) {
        while body.len() > 5 {
            let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
            let (record, rest) = body[4..].split_at(length);
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            self.put(topic, &String::from_utf8_lossy(key), value.to_vec());
            body = rest;
        }
        (200, b"{\"Offset\":0,\"EndOffset\":0}".to_vec())
    }
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for piece in bytes.chunks(3) {
        let b = [piece[0], *piece.get(1).unwrap_or(&0), *piece.get(2).unwrap_or(&0)];
        let n = u32::from(b[0]) << 16 | u32::from(b[1]) << 8 | u32::from(b[2]);
        for i in 0..4 {
            let sign = SIGNS[(n >> (18 - 6 * i) & 63) as usize] as char;
            out.push(if i <= piece.len() { sign } else { '=' });
        }
    }
    out
}

// ---------------------------------------------------------------- replicas

/// What a replica serves. Its process gets this as arguments.
#[derive(Clone)]
pub struct ReplicaSpec {
    pub id: String,
    pub service: String,
    /// `plain`, or the accelerator of a model replica.
    pub kind: String,
    pub slots: u32,
    /// Where it listens; `127.0.0.1:0` for any free port.
    pub addr: String,
}

/// Kinds of accelerators, with their memory in MB, and the memory that a layer takes.
pub const KINDS: [(&str, u64); 2] = [("a100", 72_000), ("t4", 14_400)];
pub const LAYER_MB: u64 = 1750;

/// Memory of a kind of accelerator, MB; `None` for a plain replica.
pub fn memory_of(kind: &str) -> Option<u64> {
    KINDS.iter().find(|(name, _)| *name == kind).map(|(_, size)| *size)
}

/// A replica's process, and the file to which it writes what it ran.
pub struct Replica {
    pub child: Child,
    pub log: String,
}

impl Replica {
    pub fn start(world: &World, spec: &ReplicaSpec) -> Replica {
        let log = format!("{}/{}.runs", world.dir, spec.id);
        let mut command = Command::new(std::env::current_exe().unwrap());
        let child = ends_with_parent(&mut command)
            .args(["replica", &spec.id, &spec.service, &spec.kind, &spec.slots.to_string()])
            .args([&world.store.addr.to_string(), &log, &spec.addr])
            .stdin(Stdio::null())
            .spawn()
            .expect("a replica");
        Replica { child, log }
    }

    /// Lines `RUN id ms` and `END id ms whole|cut` of what it ran.
    pub fn runs(&self) -> Vec<(String, String, u64, String)> {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        text.lines()
            .filter_map(|line| {
                let mut words = line.split(' ').map(str::to_owned);
                Some((
                    words.next()?,
                    words.next()?,
                    words.next()?.parse().ok()?,
                    words.next().unwrap_or_default(),
                ))
            })
            .collect()
    }
}

struct ReplicaState {
    layers: Option<(u64, u64)>,
    orders: u64,
    running: u32,
    waiting: u32,
}

#[derive(Clone)]
struct ReplicaServer {
    spec: ReplicaSpec,
    born: u64,
    addr: SocketAddr,
    state: Arc<(Mutex<ReplicaState>, Condvar)>,
    log: Arc<Mutex<File>>,
    random: Arc<Mutex<Random>>,
}

fn replica(args: &[String]) {
    let spec = ReplicaSpec {
        id: args[0].clone(),
        service: args[1].clone(),
        kind: args[2].clone(),
        slots: args[3].parse().unwrap(),
        addr: args[6].clone(),
    };
    let listener = TcpListener::bind(&spec.addr).expect("a free port");
    let seed =
        spec.id.bytes().fold(88172645463325252, |n: u64, b| n.wrapping_mul(31) ^ u64::from(b));
    let state = ReplicaState { layers: None, orders: 0, running: 0, waiting: 0 };
    let server = ReplicaServer {
        spec,
        born: now_ms(),
        addr: listener.local_addr().unwrap(),
        state: Arc::new((Mutex::new(state), Condvar::new())),
        log: Arc::new(Mutex::new(
            OpenOptions::new().create(true).append(true).open(&args[5]).unwrap(),
        )),
        random: Arc::new(Mutex::new(Random(seed))),
    };
    let (keeper, store) = (server.clone(), args[4].clone());
    thread::spawn(move || keeper.check_in(&store));
    for stream in listener.incoming().flatten() {
        let server = server.clone();
        thread::spawn(move || server.serve(stream));
    }
}

impl ReplicaServer {
    /// What a model replica tells of itself, in its entry and in its reports.
    fn engine_fields(&self) -> String {
        if memory_of(&self.spec.kind).is_none() {
            return String::new();
        }
        let layers = match self.state.0.lock().unwrap().layers {
            Some((from, to)) => format!(r#"[{{"From":{from},"TargetVersion":{to},"Version":1}}]"#),
            None => "[]".to_owned(),
        };
        let ReplicaSpec { service, kind, .. } = &self.spec;
        format!(
            r#","RouteType":"{kind}","Stage":"unified","Models":[{{"Name":"{service}-model","Version":1,"Adapters":[]}}],"Layers":{layers},"born":{}"#,
            self.born
        )
    }

    fn record(&self) -> String {
        let ReplicaSpec { service, slots, .. } = &self.spec;
        let orders = self.state.0.lock().unwrap().orders;
        format!(
            r#"{{"Service":"{service}","Address":"{}","Zone":"north","Version":"v1","Slots":{slots},"State":"ready","ColdLeftMs":0,"CallSeq":{orders}{}}}"#,
            self.addr,
            self.engine_fields()
        )
    }

    fn check_in(&self, store: &str) {
        let mut last = (Instant::now(), String::new());
        loop {
            let record = self.record();
            if record != last.1 || last.0.elapsed() >= CHECK_IN {
                if let Ok(mut stream) = TcpStream::connect(store) {
                    let head = format!(
                        "POST /check-in?Id={} HTTP/1.1\r\nHost: store\r\nContent-Length: {}\r\n\r\n{record}",
                        self.spec.id,
                        record.len()
                    );
                    let _ = stream.write_all(head.as_bytes());
                    let _ = stream.set_read_timeout(Some(ms(1000)));
                    let _ = read_message(&mut BufReader::new(stream));
                }
                last = (Instant::now(), record);
            }
            sleep(ms(50));
        }
    }

    fn note(&self, word: &str, id: &str, more: &str) {
        let _ = writeln!(self.log.lock().unwrap(), "{word} {id} {} {more}", now_ms());
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut input = BufReader::new(stream.try_clone().unwrap());
        let mut stream = stream;
        while let Some(request) = read_message(&mut input) {
            let path = request.first.split(' ').nth(1).unwrap_or("");
            let kept = match path {
                "/report" => self.report(&mut stream),
                "/order" => self.order(&mut stream, &request),
                "/healthz" => respond(
                    &mut stream,
                    200,
                    &format!("Roseshore-Replica-Id: {}\r\n", self.spec.id),
                    b"",
                ),
                _ => self.run(&mut stream, &request),
            };
            if !kept {
                return;
            }
        }
    }

    fn report(&self, stream: &mut TcpStream) -> bool {
        let (orders, running, waiting) = {
            let state = self.state.0.lock().unwrap();
            (state.orders, state.running, state.waiting)
        };
        let body = format!(
            r#"{{"Utilization":false,"CallSeq":{orders},"Waiting":{waiting},"Running":{running},"KvUsed":0,"KvTotal":800000,"KvHandles":0,"pace":1.0{}}}"#,
            self.engine_fields()
        );
        respond(stream, 200, "Content-Type: application/json\r\n", body.as_bytes())
    }

    /// Takes a `place`. The loads before the first request take a tenth of the time, here none. A replica that
    /// is ordered beyond its memory falls.
    fn order(&self, stream: &mut TcpStream, request: &Message) -> bool {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let number = |name: &str| -> Option<u64> {
            let rest = text.split(&format!("\"{name}\":")).nth(1)?;
            rest.chars().take_while(char::is_ascii_digit).collect::<String>().parse().ok()
        };
        let (status, layers) = {
            let mut state = self.state.0.lock().unwrap();
            match (number("From"), number("TargetVersion")) {
                _ if number("ExpectedRev").is_some_and(|seen| seen != state.orders) => (409, None),
                (Some(from), Some(to)) => {
                    state.layers = Some((from, to));
                    state.orders += 1;
                    (202, Some((from, to)))
                }
                _ => (400, None),
            }
        };
        let kept = respond(stream, status, "", b"");
        if let Some((from, to)) = layers {
            let size = memory_of(&self.spec.kind).unwrap_or(0);
            let wanted = (to - from) * LAYER_MB;
            self.note("ORDER", &self.spec.id, &format!("{from}-{to}={wanted}/{size}"));
            if wanted > size {
                std::process::exit(1);
            }
        }
        kept
    }

    fn run(&self, stream: &mut TcpStream, request: &Message) -> bool {
        let Some(id) = request.field("Roseshore-Attempt-Id").map(str::to_owned) else {
            return respond(stream, 400, "Roseshore-Not-Executed: 1\r\n", b"");
        };
        let echo = format!("Roseshore-Attempt-Id: {id}\r\n");
        if request.field("Roseshore-Expect-Replica").is_some_and(|wanted| wanted != self.spec.id) {
            return respond(stream, 421, &format!("{echo}Roseshore-Not-Executed: 1\r\n"), b"");
        }
        {
            let mut state = self.state.0.lock().unwrap();
            if state.waiting > 2 * self.spec.slots {
                drop(state);
                return respond(stream, 503, &format!("{echo}Roseshore-Not-Executed: 1\r\n"), b"");
            }
            state.waiting += 1;
            while state.running >= self.spec.slots {
                state = self.state.1.wait(state).unwrap();
            }
            state.waiting -= 1;
            state.running += 1;
        }
        self.note("RUN", &id, "");
        let whole = self.answer(stream, request, &echo);
        self.note("END", &id, if whole { "whole" } else { "cut" });
        self.state.0.lock().unwrap().running -= 1;
        self.state.1.notify_one();
        whole
    }

    /// Work and answers as in the site file: 60 ms in the mean, 450 ms at most, 800 bytes.
    fn answer(&self, stream: &mut TcpStream, request: &Message, echo: &str) -> bool {
        let index = request.first.contains(" /package-index/");
        let draw = self.random.lock().unwrap().unit();
        sleep(Duration::from_secs_f64(0.001 * (30.0 + 60.0 * draw)));
        let load = {
            let s = self.state.0.lock().unwrap();
            format!("{},{},{}", s.running, s.waiting, self.spec.slots)
        };
        let fields =
            format!("{echo}Roseshore-Replica-Seal: s\r\nRoseshore-Replica-Load: {load}\r\n");
        respond(stream, 200, &fields, &vec![b'x'; if index { INDEX_BYTES } else { 800 }])
    }
}

// ---------------------------------------------------------------- daemons

pub struct Ports {
    pub front: u16,
    pub ready: u16,
    pub control: u16,
    pub peers: u16,
    pub metrics: u16,
}

/// A machine of the system: its settings and its process, which is started again when it ends.
pub struct Host {
    pub name: String,
    pub ip: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    process: Mutex<Child>,
    stopping: AtomicBool,
    /// When SIGTERM was last sent, and when the process last ended.
    pub term_at: AtomicU64,
    pub ended_at: AtomicU64,
    /// Ends that no signal of the script caused.
    pub own_ends: AtomicU64,
    pub in_use: AtomicBool,
    misses: AtomicU64,
    boot: String,
    metrics: u16,
    log: String,
    finished: AtomicBool,
}

impl Host {
    fn spawn(boot: &str, metrics: u16, log: &str) -> Child {
        let out = OpenOptions::new().create(true).append(true).open(log).unwrap();
        let mut command = Command::new("target/release/roseshored");
        ends_with_parent(&mut command)
            .args(["entry", "--metrics-port", &metrics.to_string()])
            .env_clear()
            .env("ROSESHORE_BOOT", boot)
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .stdin(Stdio::null())
            .stdout(out.try_clone().unwrap())
            .stderr(out)
            .spawn()
            .expect("target/release/roseshored, as the deploy file builds it")
    }

    /// Where the process writes its lines.
    pub fn log(&self) -> &str {
        &self.log
    }

    pub fn pid(&self) -> u32 {
        self.process.lock().unwrap().id()
    }

    pub fn terminate(&self) {
        let process = self.process.lock().unwrap();
        self.stopping.store(true, Ordering::SeqCst);
        self.term_at.store(now_ms(), Ordering::SeqCst);
        signal(&process, SIGTERM);
    }

    /// Ends the process as the platform does with one that goes over its memory.
    pub fn kill_over_memory(&self) {
        let _ = self.process.lock().unwrap().kill();
    }

    /// Starts the process again whenever it has ended, and sends SIGKILL after `GraceS`.
    fn supervise(&self, record: &Record) {
        while !self.finished.load(Ordering::SeqCst) {
            sleep(ms(5));
            let ended = self.process.lock().unwrap().try_wait().ok().flatten();
            let stopping = self.stopping.load(Ordering::SeqCst);
            let Some(status) = ended else {
                if stopping && now_ms() > self.term_at.load(Ordering::SeqCst) + 8000 {
                    let _ = self.process.lock().unwrap().kill();
                }
                continue;
            };
            self.ended_at.store(now_ms(), Ordering::SeqCst);
            if self.finished.load(Ordering::SeqCst) {
                return;
            }
            if !stopping {
                self.own_ends.fetch_add(1, Ordering::SeqCst);
            }
            record.line(&format!(
                "{} ended: {status}{}",
                self.name,
                if stopping { " after SIGTERM" } else { "" }
            ));
            sleep(RESTART_DELAY);
            *self.process.lock().unwrap() = Host::spawn(&self.boot, self.metrics, &self.log);
            self.stopping.store(false, Ordering::SeqCst);
        }
    }

    fn probe(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect_timeout(&self.ready, ms(500)) else { return false };
        let _ = stream.set_read_timeout(Some(ms(500)));
        let _ =
            stream.write_all(b"GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
        read_message(&mut BufReader::new(stream)).is_some_and(|answer| answer.status() == 200)
    }

    /// Resident memory, MB.
    pub fn memory_mb(&self) -> u64 {
        let text =
            std::fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with("VmRSS")).unwrap_or("");
        line.split_whitespace().nth(1).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0) / 1024
    }
}

// ---------------------------------------------------------------- the world

/// Lines of `record.txt`, in order of time.
pub struct Record {
    file: Mutex<File>,
    pub begun: u64,
}

impl Record {
    pub fn line(&self, text: &str) {
        let at = now_ms().saturating_sub(self.begun);
        let _ = writeln!(self.file.lock().unwrap(), "{:8.3} {text}", at as f64 / 1000.0);
    }
}

pub struct World {
    pub dir: String,
    pub store: Store,
    pub record: Arc<Record>,
    pub hosts: Vec<Arc<Host>>,
    pub replicas: Mutex<Vec<Replica>>,
    pub trouble: bool,
    pub over: AtomicBool,
}

impl World {
    /// Starts the store and the hosts of one zone. `folder` is the case's folder.
    pub fn start(folder: &str, count: usize, limits: &str, trouble: bool) -> World {
        let dir =
            format!("{}/roseshore-review-{}", std::env::temp_dir().display(), std::process::id());
        std::fs::create_dir_all(&dir).unwrap();
        let file = File::create(format!("{folder}/record.txt")).unwrap();
        let record = Arc::new(Record { file: Mutex::new(file), begun: now_ms() });
        let store = Store::start();
        let net = 1 + std::process::id() % 250;
        let ips: Vec<String> = (1..=count).map(|n| format!("127.77.{net}.{n}")).collect();
        let ports = free_ports(&ips);
        let mut hosts = Vec::new();
        for (index, ip) in ips.iter().enumerate() {
            let name = format!("edge-north-{}", index + 1);
            let boot = format!("{dir}/{name}.toml");
            std::fs::write(&boot, settings(&name, ip, &ips, &ports, store.addr, limits)).unwrap();
            let log = format!("{dir}/{name}.log");
            let process = Host::spawn(&boot, ports.metrics, &log);
            hosts.push(Arc::new(Host {
                name,
                ip: ip.clone(),
                front: format!("{ip}:{}", ports.front).parse().unwrap(),
                ready: format!("{ip}:{}", ports.ready).parse().unwrap(),
                process: Mutex::new(process),
                stopping: AtomicBool::new(false),
                term_at: AtomicU64::new(0),
                ended_at: AtomicU64::new(0),
                own_ends: AtomicU64::new(0),
                in_use: AtomicBool::new(false),
                misses: AtomicU64::new(2),
                boot,
                metrics: ports.metrics,
                log,
                finished: AtomicBool::new(false),
            }));
        }
        for host in &hosts {
            let (host, record) = (host.clone(), record.clone());
            thread::spawn(move || host.supervise(&record));
        }
        World {
            dir,
            store,
            record,
            hosts,
            replicas: Mutex::new(Vec::new()),
            trouble,
            over: AtomicBool::new(false),
        }
    }

    /// Asks each host every second whether it is ready, as the platform's ingress does.
    pub fn ingress(self: &Arc<World>) {
        for host in &self.hosts {
            let (world, host) = (self.clone(), host.clone());
            thread::spawn(move || {
                while !world.over.load(Ordering::SeqCst) {
                    let asked = Instant::now();
                    let ready = host.probe();
                    let misses = if ready { 0 } else { host.misses.load(Ordering::SeqCst) + 1 };
                    host.misses.store(misses, Ordering::SeqCst);
                    if misses < 2 || misses == 2 {
                        let used = misses < 2 && (ready || host.in_use.load(Ordering::SeqCst));
                        if host.in_use.swap(used, Ordering::SeqCst) != used {
                            world.record.line(&format!(
                                "ingress: {} is {}",
                                host.name,
                                if used { "in" } else { "out" }
                            ));
                        }
                    }
                    sleep(ms(1000).saturating_sub(asked.elapsed()));
                }
            });
        }
    }

    /// The host that a new connection is passed to: one that is in; any if fewer than half are in; none if
    /// none is in, since the connection then goes to another zone.
    pub fn choose(&self, hash: u64) -> Option<Arc<Host>> {
        let inside: Vec<&Arc<Host>> =
            self.hosts.iter().filter(|h| h.in_use.load(Ordering::SeqCst)).collect();
        if inside.is_empty() {
            return None;
        }
        let all: Vec<&Arc<Host>> = self.hosts.iter().collect();
        let used = if inside.len() * 2 < all.len() { all } else { inside };
        Some(used[(hash % used.len() as u64) as usize].clone())
    }

    pub fn add_replica(&self, spec: &ReplicaSpec) {
        let replica = Replica::start(self, spec);
        self.replicas.lock().unwrap().push(replica);
    }

    /// Waits until all hosts are ready; whether they are in time.
    pub fn ready(&self, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if self.hosts.iter().all(|h| h.in_use.load(Ordering::SeqCst)) {
                return true;
            }
            sleep(ms(50));
        }
        false
    }

    /// Ends all processes that were started, and removes the temporary folder.
    pub fn finish(&self) {
        self.over.store(true, Ordering::SeqCst);
        for host in &self.hosts {
            host.finished.store(true, Ordering::SeqCst);
            let mut process = host.process.lock().unwrap();
            let _ = process.kill();
            let _ = process.wait();
        }
        for replica in self.replicas.lock().unwrap().iter_mut() {
            let _ = replica.child.kill();
            let _ = replica.child.wait();
        }
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

fn free_ports(ips: &[String]) -> Ports {
    let free = |port: u16| ips.iter().all(|ip| TcpListener::bind(format!("{ip}:{port}")).is_ok());
    let mut found =
        (20_000 + std::process::id() as u16 % 10_000..60_000).filter(|port| free(*port));
    let mut next = || found.next().expect("a free port");
    let (front, ready, control, peers) = (next(), next(), next(), next());
    let metrics = if free(9464) { 9464 } else { next() };
    Ports { front, ready, control, peers, metrics }
}

/// The settings of a small deployment: those that `fleetbench wire` shows, for this machine.
fn settings(
    name: &str,
    ip: &str,
    ips: &[String],
    ports: &Ports,
    store: SocketAddr,
    limits: &str,
) -> String {
    let Ports { front, ready, control, peers, .. } = ports;
    let seeds: Vec<String> = ips.iter().take(3).map(|ip| format!("\"{ip}:{control}\"")).collect();
    format!(
        r#"NodeName = "{name}"
Role = "entry"
MachineClass = "edge"
Serves = ["edge","control"]
Ip = "{ip}"
Zone = "north"
Region = "home"
PortRange = [{peers},{peers}]
Seeds = [{}]
Bootstrap = true
FaultCounted = false
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","layers"]
[Zones]
north = "home"
[Listen]
Frontend = "{ip}:{front}"
Ready = "{ip}:{ready}"
Control = "{ip}:{control}"
[Limits]
CpuShare = 0.25
Cores = 1
{limits}
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 1
Zones = 1
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 2000
DowngradeSlackMs = 250
OuterMs = 5000
StrictRevoke = true
RevokeMs = 5000
RetryRatio = 0.2
RetryWindowS = 10
RetrySlack = 200
RecoverS = 12
PassMs = 120
RetryAfterS = 0
stall_ms = 3000
FencingEnforced = false
[Platform]
Address = "{store}"
form = "log"
WritesPerS = 400
ReadsPerS = 2000
parts = 8
AppendMs = 4.0
PartMbS = 20.0
ReadMbS = 80.0
RecordBytes = 262144
CallBytes = 2097152
keep_s = 300
PartMb = 200
TtlMinMs = 1000
"#,
        seeds.join(",")
    )
}

/// A configuration of plain services and two services of models, with the time-outs of the site file.
pub fn configuration(version: u64) -> Vec<u8> {
    let route = |name: &str,
                 kind: &str,
                 timeout: u32,
                 aim: u32,
                 priority: u32,
                 service: &str,
                 attempts: u32| {
        format!(
            r#"{{"Name":"{name}","Host":"icx.example","PathPrefix":"/{name}/","RouteType":"{kind}","TimeoutMs":{timeout},"TargetLatencyMs":{aim},"Priority":{priority},"Service":"{service}","MaxAttempts":{attempts},"Anonymous":true}}"#
        )
    };
    let routes = [
        route("index-lookup", "non_idempotent", 800, 300, 2, "index-api", 1),
        route("checksum-fetch", "idempotent", 800, 300, 2, "checksum-api", 2),
        route("advisory-summary", "streaming", 20_000, 500, 1, "scribe-models", 2),
        route("note-draft", "streaming", 20_000, 500, 1, "note-models", 2),
        route("package-index", "idempotent", 20_000, 300, 2, "index-api", 2),
    ];
    let service = |name: &str, connections: u32| {
        format!(
            r#"{{"Name":"{name}","HealthPath":"/healthz","MaxConns":{connections},"Protocol":"h1","Tls":false}}"#
        )
    };
    let engines = |name: &str, layers: u32| {
        let kinds: Vec<String> = KINDS
            .iter()
            .map(|(kind, size)| {
                format!(r#"{{"Name":"{kind}","SizeMb":{size}.0,"pace":2.4,"ReadFactor":3.2}}"#)
            })
            .collect();
        format!(
            r#"{{"Name":"{name}","HealthPath":"/healthz","MaxConns":1138,"Protocol":"h1","Tls":false,"Engine":{{"Slots":192,"KvCapacity":100000,"KvBytes":918000,"LinkMbps":400000.0,"Stride":3,"Models":[{{"Name":"{name}-model","pace":1.0,"LoadS":14.0,"WarmS":1.0}}],"step_ms":1.02,"per_seq_ms":0.00714,"context_per_k":0.00956,"read_per_s":105000.0,"pairs_per_m":0.309,"chunk":512,"report_lag_ms":200.0,"LoadsPerS":0.0,"loads_at_once":5,"delays":[],"usual":{{"prompt":774,"answer":200}},"Layers":{layers},"LayerMb":{LAYER_MB}.0,"ActBytes":45900,"PipeMbps":26000.0,"Kinds":[{}]}}}}"#,
            kinds.join(",")
        )
    };
    let services = [
        service("index-api", 110),
        service("checksum-api", 110),
        engines("scribe-models", 80),
        engines("note-models", 6),
    ];
    format!(
        r#"{{"Version":{version},"Routes":[{}],"Services":[{}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},"Tenants":[]}}"#,
        routes.join(","),
        services.join(",")
    )
    .into_bytes()
}

// ---------------------------------------------------------------- consumers

/// One try of a consumer, on a new connection.
#[derive(Clone, Debug)]
pub struct Try {
    pub id: String,
    pub class: &'static str,
    pub host: String,
    /// When its last byte was sent, and when it ended.
    pub sent: u64,
    pub ended: u64,
    /// The latest SIGTERM of its host; 0 if there was none.
    pub term: u64,
    /// A status with a whole answer, `cut`, `unread` or `no connection`.
    pub outcome: String,
}

/// Sends one request on a new connection and reads its answer.
pub fn consumer_try(host: &Arc<Host>, class: &'static str, id: &str) -> Try {
    let mut made = Try {
        id: id.to_owned(),
        class,
        host: host.name.clone(),
        sent: now_ms(),
        ended: 0,
        term: 0,
        outcome: "no connection".into(),
    };
    if let Ok(mut stream) = TcpStream::connect_timeout(&host.front, ms(1000)) {
        let _ = stream.set_nodelay(true);
        let (method, size, budget) = match class {
            "index-lookup" => ("POST", 600, 1500),
            _ => ("GET", 0, 1500),
        };
        let head = format!(
            "{method} /{class}/{id} HTTP/1.1\r\nHost: icx.example\r\nRoseshore-Attempt-Id: {id}\r\nRoseshore-Deadline-Ms: {budget}\r\nContent-Length: {size}\r\n\r\n{}",
            "q".repeat(size)
        );
        let _ = stream.set_read_timeout(Some(ms(budget)));
        let sent = stream.write_all(head.as_bytes()).is_ok();
        made.sent = now_ms();
        let mut input = BufReader::new(stream);
        made.outcome = match read_message(&mut input) {
            Some(answer) => answer.status().to_string(),
            None if !sent => "unread".into(),
            None if now_ms() >= made.sent + budget => "gave up".into(),
            None => "cut".into(),
        };
    }
    made.ended = now_ms();
    made.term = host.term_at.load(Ordering::SeqCst);
    made
}

/// Fetches the package index on a new connection. The body is read at `bytes_per_s` after `wait`; 0 stands
/// for at once. Returns the outcome and the bytes of the body that were read.
pub fn fetch_index(host: &Arc<Host>, id: &str, wait: Duration, bytes_per_s: f64) -> (Try, usize) {
    const BUDGET: u64 = 20_000;
    let mut made = Try {
        id: id.to_owned(),
        class: "package-index",
        host: host.name.clone(),
        sent: now_ms(),
        ended: 0,
        term: 0,
        outcome: "no connection".into(),
    };
    let mut count = 0;
    if let Ok(mut stream) = TcpStream::connect_timeout(&host.front, ms(1000)) {
        small_window(&stream);
        let head = format!(
            "GET /package-index/{id} HTTP/1.1\r\nHost: icx.example\r\nRoseshore-Attempt-Id: {id}\r\nRoseshore-Deadline-Ms: {BUDGET}\r\n\r\n"
        );
        let _ = stream.write_all(head.as_bytes());
        made.sent = now_ms();
        let _ = stream.set_read_timeout(Some(ms(BUDGET)));
        let mut input = BufReader::with_capacity(16 << 10, stream);
        made.outcome = "unread".into();
        if let Some(head) = read_head(&mut input) {
            made.outcome = head.status().to_string();
            let whole: usize =
                head.field("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
            sleep(wait);
            let mut piece = vec![0; 16 << 10];
            let begun = Instant::now();
            while count < whole {
                match input.read(&mut piece) {
                    Ok(0) | Err(_) => {
                        made.outcome = "cut".into();
                        break;
                    }
                    Ok(n) => count += n,
                }
                if bytes_per_s > 0.0 {
                    let due = Duration::from_secs_f64(count as f64 / bytes_per_s);
                    sleep(due.saturating_sub(begun.elapsed()));
                }
            }
        }
    }
    made.ended = now_ms();
    made.term = host.term_at.load(Ordering::SeqCst);
    (made, count)
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if args.first().map(String::as_str) == Some("replica") {
        return replica(&args[1..]);
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    std::process::exit(cases::play(&args[0], &args[1], trouble));
}
