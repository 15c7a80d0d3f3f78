//! Stand-ins for a review case: the platform's store, plain replicas, consumers, and the settings
//! and processes of entry hosts. Everything listens on loopback addresses.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs::File;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

/// Interval at which a replica writes its entry, `HeartbeatMs` of the settings.
pub const HEARTBEAT: Duration = Duration::from_millis(1200);
/// A case ends itself after this time.
pub const HARD_LIMIT: Duration = Duration::from_secs(115);

static STARTED: OnceLock<Instant> = OnceLock::new();
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Milliseconds since the start of the case.
pub fn ms() -> u64 {
    STARTED.get_or_init(Instant::now).elapsed().as_millis() as u64
}

pub fn sleep_ms(time: u64) {
    thread::sleep(Duration::from_millis(time));
}

/// Whether the disruption is to be made.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---- record ----------------------------------------------------------------------------------

/// What was sent, answered and run, in the order of events.
#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>);

impl Record {
    pub fn create(path: &str) -> Record {
        Record(Arc::new(Mutex::new(File::create(path).unwrap_or_else(|err| quit(2, &err.to_string())))))
    }

    pub fn line(&self, text: &str) {
        let at = ms();
        let _ = writeln!(self.0.lock().unwrap(), "{at:>7} {text}");
    }

    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

// ---- processes -------------------------------------------------------------------------------

/// Ends all processes that the case has started, and the case.
pub fn quit(code: i32, why: &str) -> ! {
    if !why.is_empty() {
        eprintln!("{why}");
    }
    for id in CHILDREN.lock().unwrap().iter() {
        let _ = Command::new("kill").args(["-9", &id.to_string()]).stderr(Stdio::null()).status();
    }
    let _ = std::fs::remove_dir_all(folder());
    std::process::exit(code);
}

/// Ends the case with 2 if it lasts too long, or if a thread of it panics.
pub fn guard() {
    ms();
    thread::spawn(|| {
        thread::sleep(HARD_LIMIT);
        quit(2, "the case did not end in time");
    });
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        report(info);
        quit(2, "the case could not run");
    }));
}

/// The temporary folder of the case.
pub fn folder() -> PathBuf {
    std::env::temp_dir().join(format!("roseshore-review-{}", std::process::id()))
}

/// An entry host, as the deploy file runs it.
pub struct Host {
    pub name: String,
    pub callers: SocketAddr,
    pub probes: SocketAddr,
    pub log: PathBuf,
    pub child: Child,
    boot: PathBuf,
}

/// Starts the daemon with the command of the deploy file.
fn launch(boot: &Path, log: &Path) -> Child {
    let out = File::options().create(true).append(true).open(log).expect("a log");
    let child = Command::new("target/release/roseshored")
        .args(["entry", "--metrics-port", "9464"])
        .env("ROSESHORE_BOOT", boot)
        .stdin(Stdio::null())
        .stdout(out.try_clone().expect("a log"))
        .stderr(out)
        .spawn()
        .unwrap_or_else(|err| quit(2, &format!("the daemon does not start: {err}")));
    CHILDREN.lock().unwrap().push(child.id());
    child
}

impl Host {
    pub fn signal(&self, signal: &str) {
        let _ = Command::new("kill").args([signal, &self.child.id().to_string()]).status();
    }

    /// How the process ended, if it has.
    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Starts the process again, as the platform does with one that has ended. It is not the first
    /// start of the system.
    pub fn restart(&mut self) {
        let text = std::fs::read_to_string(&self.boot).expect("settings");
        let text = text.replace("Bootstrap = true", "Bootstrap = false");
        std::fs::write(&self.boot, text).expect("settings");
        self.child = launch(&self.boot, &self.log);
    }

    /// Whether the balancer's question gets a 200.
    pub fn ready(&self) -> bool {
        probe(self.probes)
    }
}

/// Asks `GET /readyz` as the platform does.
pub fn probe(addr: SocketAddr) -> bool {
    let bytes = format!("GET /readyz HTTP/1.1\r\nHost: {addr}\r\nConnection: close\r\n\r\n");
    let Ok(mut stream) = TcpStream::connect_timeout(&addr, Duration::from_millis(900)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(900)));
    stream.write_all(bytes.as_bytes()).is_ok()
        && read_answer(&mut stream, Instant::now() + Duration::from_millis(900))
            .is_ok_and(|answer| answer.status == 200)
}

/// The loopback network of this case: the first from one that its process id gives on whose
/// addresses the ports of the hosts are free, also that of the metrics, which the deploy file fixes.
fn network() -> (u8, u8) {
    static FOUND: OnceLock<(u8, u8)> = OnceLock::new();
    *FOUND.get_or_init(|| {
        let free = |(a, b): &(u8, u8)| {
            (10..14).all(|number| {
                let at = |port: u16| format!("127.{a}.{b}.{number}:{port}");
                [8220, 8227, 8229, 7340, 9464].iter().all(|port| TcpListener::bind(at(*port)).is_ok())
                    && UdpSocket::bind(at(7340)).is_ok()
            })
        };
        let id = std::process::id();
        let networks = (id..id + 200).map(|n| ((10 + n % 200) as u8, (1 + n / 200 % 250) as u8));
        networks.into_iter().find(free).unwrap_or_else(|| quit(2, "no free ports"))
    })
}

pub fn address(number: u8) -> String {
    let (a, b) = network();
    format!("127.{a}.{b}.{number}")
}

/// Starts entry hosts with the settings of a small deployment: the bounds of the sheet of
/// `icx-roseshore`, 0.25 cores, 260 MB. Host `n` lies in zone `zones[n]`.
pub fn start_hosts(store: SocketAddr, zones: &[&str]) -> Vec<Host> {
    let folder = folder();
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    let seeds: Vec<String> =
        (0..zones.len().min(3)).map(|n| format!("\"{}:8229\"", address(10 + n as u8))).collect();
    let start = |(number, zone): (usize, &&str)| {
        let ip = address(10 + number as u8);
        let name = format!("edge-{zone}-{number}");
        let boot = folder.join(format!("{name}.toml"));
        let mut names: Vec<&str> = zones.to_vec();
        names.sort_unstable();
        names.dedup();
        let zone_table: String = names.iter().map(|zone| format!("{zone} = \"south\"\n")).collect();
        let text = format!(
            r#"NodeName = "{name}"
Role = "entry"
MachineClass = "edge"
Serves = ["edge","control"]
Ip = "{ip}"
Zone = "{zone}"
Region = "south"
PortRange = [7340,7355]
Seeds = [{seeds}]
Bootstrap = true
FaultCounted = false
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","layers"]
[Zones]
{zone_table}[Listen]
Frontend = "{ip}:8227"
Ready = "{ip}:8220"
Control = "{ip}:8229"
[Limits]
CpuShare = 0.25
Cores = 1
MemoryMb = 260
MaxFds = 4100
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
            seeds = seeds.join(","),
        );
        std::fs::write(&boot, text).expect("settings");
        let log = folder.join(format!("{name}.log"));
        let child = launch(&boot, &log);
        let at = |port: u16| format!("{ip}:{port}").parse().expect("an address");
        Host { name, callers: at(8227), probes: at(8220), log, child, boot }
    };
    zones.iter().enumerate().map(start).collect()
}

/// Waits until all hosts are ready; gives up after a time.
pub fn wait_ready(hosts: &[Host], limit_s: u64) {
    let end = Instant::now() + Duration::from_secs(limit_s);
    while !hosts.iter().all(Host::ready) {
        if Instant::now() > end {
            quit(2, "the hosts did not become ready");
        }
        sleep_ms(100);
    }
}

/// Keeps a copy of the hosts' logs beside the record.
pub fn keep_logs(hosts: &[Host], to: &Path) {
    for host in hosts {
        let _ = std::fs::copy(&host.log, to.join(format!("{}.log", host.name)));
    }
}

// ---- HTTP ------------------------------------------------------------------------------------

/// The head of a message: its first line, and its fields with names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    fn parse(text: &str) -> Head {
        let mut lines = text.split("\r\n");
        let line = lines.next().unwrap_or("").to_owned();
        let fields = lines.filter_map(|l| l.split_once(':'));
        let fields =
            fields.map(|(n, v)| (n.trim().to_ascii_lowercase(), v.trim().to_owned())).collect();
        Head { line, fields }
    }
}

/// A connection with its unread input.
pub struct Link {
    pub stream: TcpStream,
    pub input: Vec<u8>,
}

impl Link {
    pub fn new(stream: TcpStream) -> Link {
        let _ = stream.set_nodelay(true);
        Link { stream, input: Vec::new() }
    }

    /// Reads more input; false at the end of the connection.
    pub fn more(&mut self) -> bool {
        let mut chunk = [0; 16384];
        match self.stream.read(&mut chunk) {
            Ok(count) if count > 0 => {
                self.input.extend_from_slice(&chunk[..count]);
                true
            }
            _ => false,
        }
    }

    pub fn head(&mut self) -> Option<Head> {
        loop {
            if let Some(at) = self.input.windows(4).position(|w| w == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.input[..at]).into_owned();
                self.input.drain(..at + 4);
                return Some(Head::parse(&text));
            }
            if !self.more() {
                return None;
            }
        }
    }

    pub fn bytes(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.input.len() < count {
            if !self.more() {
                return None;
            }
        }
        Some(self.input.drain(..count).collect())
    }
}

/// What a consumer got.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
}

/// Reads an answer with a length; an error tells why there is none.
pub fn read_answer(stream: &mut TcpStream, until: Instant) -> Result<Answer, &'static str> {
    let mut link = Link { stream: stream.try_clone().map_err(|_| "no socket")?, input: Vec::new() };
    let mut head: Option<(Head, usize)> = None;
    loop {
        if head.is_none() {
            if let Some(at) = link.input.windows(4).position(|w| w == b"\r\n\r\n") {
                let parsed = Head::parse(&String::from_utf8_lossy(&link.input[..at]));
                link.input.drain(..at + 4);
                let length =
                    parsed.field("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
                head = Some((parsed, length));
            }
        }
        if let Some((head, length)) = &head {
            if link.input.len() >= *length {
                let status = head.line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
                let body = link.input[..*length].to_vec();
                return Ok(Answer { status, head: head.clone(), body });
            }
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err("no answer in time");
        }
        let _ = link.stream.set_read_timeout(Some(left));
        let mut chunk = [0; 16384];
        match link.stream.read(&mut chunk) {
            Ok(0) => return Err("closed without an answer"),
            Ok(count) => link.input.extend_from_slice(&chunk[..count]),
            Err(err) if matches!(err.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return Err("no answer in time");
            }
            Err(_) => return Err("reset without an answer"),
        }
    }
}

static NEXT_ATTEMPT: AtomicU64 = AtomicU64::new(1);

/// A new id of a consumer attempt.
pub fn attempt() -> String {
    format!("{:08x}{:08x}", std::process::id(), NEXT_ATTEMPT.fetch_add(1, Ordering::Relaxed))
}

// ---- the platform's store --------------------------------------------------------------------

type Entries = Vec<(String, Option<Vec<u8>>)>;

/// The platform's store: the topics `keyed.op`, `keyed.servers` and those of the system, one
/// partition each. Every acknowledged record is kept, and every answer is linearizable.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    topics: Arc<(Mutex<BTreeMap<String, Entries>>, Condvar)>,
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind(format!("{}:0", address(2))).expect("a port");
        let addr = listener.local_addr().expect("bound");
        let store = Store { addr, topics: Arc::default() };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(Link::new(stream)));
            }
        });
        store
    }

    /// Appends a record; it is acknowledged when this returns.
    pub fn put(&self, topic: &str, key: &str, value: Option<&str>) {
        let (topics, changed) = &*self.topics;
        let mut topics = topics.lock().unwrap();
        let value = value.map(|value| value.as_bytes().to_vec());
        topics.entry(topic.to_owned()).or_default().push((key.to_owned(), value));
        changed.notify_all();
    }

    fn serve(&self, mut link: Link) {
        while let Some(head) = link.head() {
            let length = head.field("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
            let Some(body) = link.bytes(length) else { return };
            let target = head.line.split(' ').nth(1).unwrap_or("").to_owned();
            sleep_ms(4);
            let (status, kind, body) = self.answer(&target, &body);
            let mut out = format!(
                "HTTP/1.1 {status} x\r\nContent-Type: {kind}\r\nContent-Length: {}\r\n\r\n",
                body.len()
            )
            .into_bytes();
            out.extend(body);
            if link.stream.write_all(&out).is_err() {
                return;
            }
        }
    }

    fn answer(&self, target: &str, body: &[u8]) -> (u16, &'static str, Vec<u8>) {
        let (call, query) = target.split_once('?').unwrap_or((target, ""));
        let get = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(n, _)| *n == name).map(|(_, value)| value.to_owned())
        };
        let topic = get("Topic").unwrap_or_default();
        let json = "application/json";
        match call {
            "/log-newest" => (200, json, self.newest(&topic, get("SinceRev").as_deref())),
            "/log-read" => {
                let from = get("From").and_then(|v| v.parse().ok()).unwrap_or(0);
                let wait = get("WaitMs").and_then(|v| v.parse().ok()).unwrap_or(0);
                (200, "application/octet-stream", self.read(&topic, from, wait))
            }
            "/log-append" => {
                let mut rest = body;
                while rest.len() > 4 {
                    let length = u32::from_be_bytes(rest[..4].try_into().unwrap()) as usize;
                    let (record, after) = rest[4..].split_at(length);
                    let (key, value) = record[1..].split_at(usize::from(record[0]));
                    let key = String::from_utf8_lossy(key).into_owned();
                    let value = (!value.is_empty()).then(|| value.to_vec());
                    let (topics, changed) = &*self.topics;
                    let mut topics = topics.lock().unwrap();
                    topics.entry(topic.clone()).or_default().push((key, value));
                    changed.notify_all();
                    rest = after;
                }
                let (topics, _) = &*self.topics;
                let end = topics.lock().unwrap().get(&topic).map_or(0, Vec::len);
                (200, json, format!("{{\"Offset\":{end},\"EndOffset\":{end}}}").into_bytes())
            }
            _ => (400, json, b"{}".to_vec()),
        }
    }

    fn newest(&self, topic: &str, since: Option<&str>) -> Vec<u8> {
        let (topics, _) = &*self.topics;
        let topics = topics.lock().unwrap();
        let records = topics.get(topic).map(Vec::as_slice).unwrap_or_default();
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let mut out = String::from("{\"Entries\":[");
        let mut comma = "";
        for (key, (offset, value)) in newest {
            let Some(value) = value else { continue };
            if since.is_some_and(|since| key.as_str() <= since) {
                continue;
            }
            let value = base64(value);
            let _ = write!(
                out,
                "{comma}{{\"PrivateKey\":\"{key}\",\"Value\":\"{value}\",\"Offset\":{offset}}}"
            );
            comma = ",";
        }
        let _ = write!(out, "],\"HasMore\":false,\"EndOffset\":{}}}", records.len());
        out.into_bytes()
    }

    fn read(&self, topic: &str, from: usize, wait_ms: u64) -> Vec<u8> {
        let (topics, changed) = &*self.topics;
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let mut topics = topics.lock().unwrap();
        loop {
            let records = topics.get(topic).map(Vec::as_slice).unwrap_or_default();
            let left = end.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut out = Vec::new();
                out.extend((records.len() as u64).to_be_bytes());
                out.extend(0_u64.to_be_bytes());
                for (key, value) in records.iter().skip(from) {
                    let value = value.as_deref().unwrap_or_default();
                    out.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
                    out.push(key.len() as u8);
                    out.extend(key.as_bytes());
                    out.extend(value);
                }
                return out;
            }
            topics = changed.wait_timeout(topics, left).unwrap().0;
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let bits = part.iter().fold(0_u32, |bits, byte| bits << 8 | u32::from(*byte))
            << (8 * (3 - part.len()));
        for n in 0..4 {
            let sign = SIGNS[(bits >> (18 - 6 * n) & 63) as usize] as char;
            out.push(if n <= part.len() { sign } else { '=' });
        }
    }
    out
}

// ---- plain replicas --------------------------------------------------------------------------

/// A request that a replica has begun to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: u64,
    pub replica: String,
    pub attempt: String,
    pub line: String,
    pub tenant: Option<String>,
    pub body: usize,
}

/// The runs of all replicas.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// A replica of a plain service: `Slots` requests at a time and a short queue, an entry in the
/// store that it writes at each heartbeat, and its proof in every answer.
pub struct Replica {
    pub id: String,
    pub addr: SocketAddr,
}

/// Bytes of a plain replica's answer.
pub static ANSWER_BYTES: AtomicU64 = AtomicU64::new(4);

pub const SLOTS: usize = 6;
const QUEUE: u64 = 24;

impl Replica {
    pub fn start(
        store: &Store,
        service: &str,
        zone: &str,
        id: &str,
        work_ms: u64,
        runs: &Runs,
        record: &Record,
    ) -> Replica {
        let listener = TcpListener::bind(format!("{}:0", address(3))).expect("a port");
        let addr = listener.local_addr().expect("bound");
        let (beats, entry_id) = (store.clone(), id.to_owned());
        let (entry_service, entry_zone) = (service.to_owned(), zone.to_owned());
        thread::spawn(move || {
            for sequence in 1.. {
                let entry = format!(
                    "{{\"Service\":\"{entry_service}\",\"Address\":\"{addr}\",\"Zone\":\"{entry_zone}\",\
                     \"Version\":\"v1\",\"Slots\":{SLOTS},\"State\":\"ready\",\"ColdLeftMs\":0,\
                     \"CallSeq\":{sequence}}}"
                );
                beats.put("keyed.servers", &entry_id, Some(&entry));
                thread::sleep(HEARTBEAT);
            }
        });
        let replica = Replica { id: id.to_owned(), addr };
        let (id, runs, record) = (id.to_owned(), runs.clone(), record.clone());
        thread::spawn(move || {
            let busy: Arc<(Mutex<usize>, Condvar)> = Arc::default();
            let waiting = Arc::new(AtomicU64::new(0));
            for stream in listener.incoming().flatten() {
                let (id, runs, record) = (id.clone(), runs.clone(), record.clone());
                let (busy, waiting) = (busy.clone(), waiting.clone());
                thread::spawn(move || {
                    serve_plain(Link::new(stream), &id, work_ms, &runs, &record, &busy, &waiting);
                });
            }
        });
        replica
    }
}

fn serve_plain(
    mut link: Link,
    id: &str,
    work_ms: u64,
    runs: &Runs,
    record: &Record,
    busy: &(Mutex<usize>, Condvar),
    waiting: &AtomicU64,
) {
    while let Some(head) = link.head() {
        let length = head.field("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        let Some(body) = link.bytes(length) else { return };
        let attempt = head.field("roseshore-attempt-id").unwrap_or("").to_owned();
        let mut answer = |status: u16, more: &str, body: &str| {
            let text = format!(
                "HTTP/1.1 {status} x\r\nRoseshore-Attempt-Id: {attempt}\r\n{more}Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            link.stream.write_all(text.as_bytes()).is_ok()
        };
        let go_on = if head.line.starts_with("GET /healthz ") {
            answer(200, &format!("Roseshore-Replica-Id: {id}\r\n"), "")
        } else if attempt.is_empty() {
            answer(400, "Roseshore-Not-Executed: 1\r\n", "")
        } else if head.field("roseshore-expect-replica").is_some_and(|expected| expected != id) {
            answer(421, &format!("Roseshore-Replica-Id: {id}\r\n"), "")
        } else if waiting.load(Ordering::Relaxed) >= QUEUE {
            answer(503, "Roseshore-Not-Executed: 1\r\n", "")
        } else {
            waiting.fetch_add(1, Ordering::Relaxed);
            let (count, freed) = busy;
            let mut taken = count.lock().unwrap();
            while *taken >= SLOTS {
                taken = freed.wait(taken).unwrap();
            }
            *taken += 1;
            drop(taken);
            waiting.fetch_sub(1, Ordering::Relaxed);
            let tenant = head.field("roseshore-tenant").map(str::to_owned);
            let run = Run {
                at: ms(),
                replica: id.to_owned(),
                attempt: attempt.clone(),
                line: head.line.clone(),
                tenant,
                body: body.len(),
            };
            record.line(&format!(
                "run replica={id} attempt={attempt} tenant={} body={}",
                run.tenant.as_deref().unwrap_or("-"),
                run.body
            ));
            runs.lock().unwrap().push(run);
            sleep_ms(work_ms);
            *count.lock().unwrap() -= 1;
            freed.notify_one();
            let body = "x".repeat(ANSWER_BYTES.load(Ordering::Relaxed) as usize);
            answer(200, &format!("Roseshore-Replica-Seal: seal-{id}\r\n"), &body)
        };
        if !go_on {
            return;
        }
    }
}

// ---- the operator's configuration ------------------------------------------------------------

/// A route of the service `plain` on the host name `shop.example`.
pub fn route(name: &str, kind: &str, timeout_ms: u64, attempts: u32) -> String {
    format!(
        "{{\"Name\":\"{name}\",\"Host\":\"shop.example\",\"PathPrefix\":\"/{name}/\",\"RouteType\":\"{kind}\",\
         \"TimeoutMs\":{timeout_ms},\"TargetLatencyMs\":300,\"Priority\":2,\"Service\":\"plain\",\
         \"MaxAttempts\":{attempts},\"Anonymous\":false,\"Sticky\":false}}"
    )
}

/// A configuration with these routes and tenants (JSON), and the limits of the pages' example.
pub fn config(version: u64, routes: &[String], tenants: &str) -> String {
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{{\"Name\":\"plain\",\"HealthPath\":\"/healthz\",\
         \"MaxConns\":110,\"Protocol\":\"h1\",\"Tls\":false}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\
         \"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\"Tenants\":{tenants}}}",
        routes.join(",")
    )
}

/// A flag that stops the threads of consumers.
pub type Stop = Arc<AtomicBool>;
