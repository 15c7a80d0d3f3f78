//! The configuration driver: several daemons in one process over a log in memory.

use parking_lot::{Condvar, Mutex};
use roseshore_core::config::{
    Command, CommandResult, ReaderLimits, SNAPSHOTS, STREAM, SnapshotLimits, State,
};
use roseshore_core::prelude::*;
use roseshore_fakes::wait::wait_until as eventually;
use roseshore_ports::inside::{ConfigSource, Member, MemberState, Members, PeerHandler};
use roseshore_ports::outside::{CallError, CallResult, Log, Peers};
use roseshore_wire::peer::{PeerReply, PeerRequest};
use roseshore_wire::platform::{Record, Records};
use roseshored::fleets::{FleetDriver, FleetSettings};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

const BOUND: Duration = Duration::from_secs(30);
const CENTRES: [&str; 3] = ["korangi", "clifton", "landhi"];

#[derive(Default)]
struct Stream {
    records: Vec<Record>,
    oldest: usize,
}

#[derive(Default)]
struct Faults {
    /// Data centres that cannot reach the log.
    platform: BTreeSet<String>,
    /// Data centres that cannot reach the others.
    peers: BTreeSet<String>,
    /// Number of next appends whose reply is lost after they took effect.
    lose: u32,
    /// Number of reads that succeed before the log becomes unreachable; `None` for no limit.
    reads: Option<u32>,
}

/// What all daemons share: the log and the faults.
#[derive(Default)]
struct SharedState {
    streams: Mutex<BTreeMap<String, Stream>>,
    grown: Condvar,
    faults: Mutex<Faults>,
}

impl SharedState {
    fn add(&self, stream: &str, data: &[String]) -> Offset {
        let mut streams = self.streams.lock();
        let records = &mut streams.entry(stream.to_owned()).or_default().records;
        let first = records.len() as Offset;
        let record =
            |(offset, it): (Offset, &String)| Record { offset, time_ms: 0, data: it.clone() };
        records.extend((first..).zip(data).map(record));
        self.grown.notify_all();
        first
    }

    fn trim(&self, stream: &str, oldest: usize) {
        self.streams.lock().entry(stream.to_owned()).or_default().oldest = oldest;
    }

    fn end(&self, stream: &str) -> usize {
        self.streams.lock().get(stream).map_or(0, |it| it.records.len())
    }
}

/// The log as one data centre reaches it.
struct DataCentreLog(Arc<SharedState>, String);

impl DataCentreLog {
    fn open(&self) -> CallResult<()> {
        let cut = self.0.faults.lock().platform.contains(&self.1);
        if cut { Err(CallError::Unreached("cut off".into())) } else { Ok(()) }
    }
}

impl Log for DataCentreLog {
    fn append(&self, stream: &str, records: &[String]) -> CallResult<Offset> {
        self.open()?;
        let first = self.0.add(stream, records);
        let mut faults = self.0.faults.lock();
        if faults.lose > 0 && stream == STREAM {
            faults.lose -= 1;
            return Err(CallError::Lost("reply lost".into()));
        }
        Ok(first)
    }

    fn read(&self, stream: &str, from: Offset, max: usize, wait: Duration) -> CallResult<Records> {
        self.open()?;
        if let Some(left) = &mut self.0.faults.lock().reads {
            *left = left.checked_sub(1).ok_or_else(|| CallError::Unreached("out".into()))?;
        }
        let mut streams = self.0.streams.lock();
        let until = Instant::now() + wait;
        while streams.get(stream).is_none_or(|it| it.records.len() as Offset <= from) {
            if self.0.grown.wait_until(&mut streams, until).timed_out() {
                break;
            }
        }
        // A cut also fails a long poll that is waiting.
        self.open()?;
        let Stream { records, oldest } = streams.entry(stream.to_owned()).or_default();
        let (oldest, end) = (*oldest as Offset, records.len() as Offset);
        if from < oldest {
            return Err(CallError::Trimmed(oldest, end));
        }
        let records = records.iter().skip(from as usize).take(max).cloned().collect();
        Ok(Records { records, end, oldest })
    }
}

struct Node {
    host: HostId,
    centre: DataCentreId,
    addr: SocketAddr,
    driver: Arc<FleetDriver>,
}

/// All daemons and the state that they share. A daemon's [`View`] of another one is updated only
/// while their data centres are connected.
#[derive(Default)]
struct Network {
    nodes: Mutex<Vec<Arc<Node>>>,
    state: Arc<SharedState>,
}

struct View {
    net: Arc<Network>,
    own: HostId,
    seen: Mutex<BTreeMap<HostId, Member>>,
}

impl Network {
    fn connected(&self, a: &str, b: &str) -> bool {
        let faults = self.state.faults.lock();
        a == b || !(faults.peers.contains(a) || faults.peers.contains(b))
    }

    fn node(&self, host: &str) -> Arc<Node> {
        Arc::clone(self.nodes.lock().iter().find(|it| it.host == host).expect("a node"))
    }
}

fn member(node: &Node) -> Member {
    let (offset, digest) = node.driver.inspect(|it| (it.offset(), it.digest()));
    Member {
        host: node.host.clone(),
        data_centre: node.centre.clone(),
        peer: node.addr,
        incarnation: 1,
        state: MemberState::Alive,
        offset,
        digest,
    }
}

impl Members for View {
    fn own(&self) -> Member {
        member(&self.net.node(&self.own))
    }

    fn all(&self) -> Vec<Member> {
        let own = self.net.node(&self.own);
        let nodes = self.net.nodes.lock().clone();
        let mut seen = self.seen.lock();
        for node in nodes.iter().filter(|it| self.net.connected(&own.centre, &it.centre)) {
            seen.insert(node.host.clone(), member(node));
        }
        seen.values().cloned().collect()
    }

    fn ranked(&self, _: &str) -> Vec<Member> {
        let centre = self.own().data_centre;
        self.all().into_iter().filter(|it| it.data_centre == centre).collect()
    }

    fn leaving(&self, _: &HostId) -> bool {
        false
    }
}

impl Peers for View {
    fn ask(&self, addr: SocketAddr, request: &PeerRequest, _: Duration) -> CallResult<PeerReply> {
        let own = self.net.node(&self.own);
        let nodes = self.net.nodes.lock().clone();
        let peer = nodes.iter().find(|it| it.addr == addr);
        let peer = peer.filter(|it| self.net.connected(&own.centre, &it.centre));
        let peer = peer.ok_or_else(|| CallError::Unreached("cut off".into()))?;
        peer.driver.answer(request).ok_or_else(|| CallError::Lost("no answer".into()))
    }
}

/// A set of daemons that are stopped on drop.
struct Cluster {
    net: Arc<Network>,
    views: BTreeMap<HostId, Arc<View>>,
}

impl Cluster {
    fn new() -> Cluster {
        Cluster { net: Arc::new(Network::default()), views: BTreeMap::new() }
    }

    fn state(&self) -> &SharedState {
        &self.net.state
    }

    fn start(&mut self, centre: &str) -> Arc<Node> {
        let index = self.views.len();
        let host = format!("{centre}-{index}");
        let log = Arc::new(DataCentreLog(Arc::clone(&self.net.state), centre.into()));
        let ms = Duration::from_millis;
        let settings = FleetSettings {
            reader: ReaderLimits {
                readers: 1,
                poll_wait: ms(100),
                poll_interval: ms(400),
                min_backoff: ms(10),
                max_backoff: ms(100),
            },
            snapshots: SnapshotLimits {
                max_records: 8,
                max_age: Duration::from_hours(1),
                retry_after: ms(50),
            },
            tick: ms(10),
            peer: ms(500),
        };
        let driver = FleetDriver::new(log, settings);
        let addr = SocketAddr::from(([127, 0, 0, 1], 9000 + index as u16));
        let node = Arc::new(Node { host: host.clone(), centre: centre.into(), addr, driver });
        self.net.nodes.lock().push(Arc::clone(&node));
        let view = View { net: Arc::clone(&self.net), own: host.clone(), seen: Mutex::default() };
        let view = Arc::new(view);
        node.driver.start(view.clone(), view.clone()).expect("threads");
        self.views.insert(host, view);
        node
    }

    /// Two daemons in each data centre.
    fn full() -> (Cluster, Vec<Arc<Node>>) {
        let mut cluster = Cluster::new();
        let nodes = CENTRES.iter().chain(&CENTRES).map(|it| cluster.start(it)).collect();
        (cluster, nodes)
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.net.nodes.lock().iter().for_each(|it| it.driver.stop());
    }
}

fn command(id: &str, base: Option<Offset>, rate: u32) -> Command {
    let text = format!(
        r#"{{"format":1,"id":"{id}","operator":"op-{id}","made_at":0,"changes":[{{
            "key":{{"kind":"organisation","id":"o"}},"base":null,"put":{{"organisation":{{"rate":{rate}}}}}}}]}}"#
    );
    let mut command: Command = serde_json::from_str(&text).expect("a command");
    command.changes[0].base = base;
    command
}

fn submit(node: &Node, command: &Command, wait: Duration) -> CommandResult {
    node.driver.submit(command, Instant::now() + wait)
}

fn rate(node: &Node) -> Option<f64> {
    Some(node.driver.current()?.fleet.organisations.get("o")?.rate)
}

fn cut(cluster: &Cluster, platform: &[&str], peers: &[&str]) {
    let mut faults = cluster.state().faults.lock();
    faults.platform = platform.iter().map(|it| (*it).to_owned()).collect();
    faults.peers = peers.iter().map(|it| (*it).to_owned()).collect();
}

fn invalid_records(count: usize) -> Vec<String> {
    vec!["noise".into(); count]
}

#[test]
fn an_accepted_command_is_in_force_everywhere() {
    let (cluster, nodes) = Cluster::full();
    assert!(nodes.iter().all(|it| it.driver.current().is_none()), "nothing is declared yet");
    assert_eq!(submit(&nodes[4], &command("a", None, 5), BOUND), CommandResult::Accepted(0));
    eventually("every daemon has it", || nodes.iter().all(|it| rate(it) == Some(5.0)));
    let view = &cluster.views[&nodes[4].host];
    let confirmation = nodes[4].driver.wait_confirmed(&**view, 0, Instant::now() + BOUND);
    assert_eq!((confirmation.in_force.len(), confirmation.unconfirmed.len()), (3, 0));
    let digests: BTreeSet<u64> = nodes.iter().map(|it| it.driver.inspect(State::digest)).collect();
    assert_eq!(digests.len(), 1);
}

#[test]
fn of_concurrent_commands_one_is_accepted() {
    let (_cluster, nodes) = Cluster::full();
    let racers = nodes.iter().enumerate().map(|(index, node)| {
        let node = Arc::clone(node);
        std::thread::spawn(move || submit(&node, &command(&format!("c{index}"), None, 1), BOUND))
    });
    let racers: Vec<_> = racers.collect();
    let ends: Vec<CommandResult> =
        racers.into_iter().map(|it| it.join().expect("an end")).collect();
    let won = ends.iter().filter(|it| matches!(it, CommandResult::Accepted(_))).count();
    let named = |it: &&CommandResult| matches!(it, CommandResult::Rejected(Code::CommandConflict, Some(_), why) if why.contains("changed it with command"));
    assert_eq!((won, ends.iter().filter(named).count()), (1, nodes.len() - 1), "{ends:?}");
}

#[test]
fn a_lost_reply_is_settled_by_reading() {
    let (cluster, nodes) = Cluster::full();
    cluster.state().faults.lock().lose = 1;
    assert_eq!(submit(&nodes[0], &command("a", None, 5), BOUND), CommandResult::Accepted(0));
    assert_eq!(
        submit(&nodes[1], &command("a", None, 5), BOUND),
        CommandResult::Accepted(0),
        "sent again"
    );
    eventually("everywhere", || nodes.iter().all(|it| rate(it) == Some(5.0)));
}

/// What is cut while a command is accepted elsewhere, and whether the command still reaches the
/// data centre `landhi`.
struct CutCase {
    name: &'static str,
    platform: &'static [&'static str],
    peers: &'static [&'static str],
    reached: bool,
}

#[test]
fn a_cut_off_data_centre_keeps_serving_and_rejoins() {
    let cases = [
        CutCase {
            name: "cut off from all",
            platform: &["landhi"],
            peers: &["landhi"],
            reached: false,
        },
        CutCase {
            name: "cut off from the platform",
            platform: &["landhi"],
            peers: &[],
            reached: true,
        },
        CutCase {
            name: "cut off from the others",
            platform: &[],
            peers: &["landhi"],
            reached: true,
        },
    ];
    for case in cases {
        let (cluster, nodes) = Cluster::full();
        assert_eq!(submit(&nodes[0], &command("a", None, 5), BOUND), CommandResult::Accepted(0));
        eventually("the first everywhere", || nodes.iter().all(|it| rate(it) == Some(5.0)));
        cut(&cluster, case.platform, case.peers);
        assert_eq!(
            submit(&nodes[0], &command("b", Some(0), 6), BOUND),
            CommandResult::Accepted(1),
            "{}",
            case.name
        );
        if case.reached {
            eventually(case.name, || nodes.iter().all(|it| rate(it) == Some(6.0)));
        } else {
            let view = &cluster.views[&nodes[0].host];
            let unconfirmed = || nodes[0].driver.confirmation(&**view, 1).unconfirmed;
            eventually("only the cut-off data centre is behind", || unconfirmed() == ["landhi"]);
            assert_eq!(rate(&nodes[2]), Some(5.0), "{}: serves what it knew", case.name);
        }
        if !case.platform.is_empty() {
            let end = submit(&nodes[2], &command("c", Some(0), 7), BOUND);
            let plain = matches!(end, CommandResult::Rejected(Code::LogUnreachable, None, _));
            assert!(plain, "{}: {end:?}", case.name);
        }
        cut(&cluster, &[], &[]);
        eventually("rejoined", || nodes.iter().all(|it| rate(it) == Some(6.0)));
        assert_eq!(cluster.state().end(STREAM), 2, "{}: the rejected one never comes", case.name);
    }
}

/// The environment in which a daemon starts.
struct StartCase {
    name: &'static str,
    /// Records in the log besides the one that declares the organisation.
    records: usize,
    /// Whether the log has been trimmed.
    trimmed: bool,
    /// Whether the log is unreachable.
    out: bool,
    /// Whether another daemon is running.
    peers: bool,
    ready: bool,
}

#[test]
fn a_new_daemon_loads_the_configuration_or_has_none() {
    let cases = [
        StartCase {
            name: "the log alone",
            records: 3,
            trimmed: false,
            out: false,
            peers: false,
            ready: true,
        },
        StartCase {
            name: "a trimmed log with a snapshot",
            records: 20,
            trimmed: true,
            out: false,
            peers: false,
            ready: true,
        },
        StartCase {
            name: "the log is unavailable, peers have the records",
            records: 3,
            trimmed: false,
            out: true,
            peers: true,
            ready: true,
        },
        StartCase {
            name: "the log is unavailable, peers have a snapshot only",
            records: 2000,
            trimmed: false,
            out: true,
            peers: true,
            ready: true,
        },
        StartCase {
            name: "the log is unavailable and no other daemon runs",
            records: 3,
            trimmed: false,
            out: true,
            peers: false,
            ready: false,
        },
    ];
    for case in cases {
        let mut cluster = Cluster::new();
        let old = cluster.start(CENTRES[0]);
        assert_eq!(submit(&old, &command("a", None, 5), BOUND), CommandResult::Accepted(0));
        cluster.state().add(STREAM, &invalid_records(case.records));
        let end = case.records as Offset + 1;
        eventually("the first daemon has all records", || old.driver.inspect(State::offset) == end);
        if case.trimmed {
            eventually("a snapshot", || cluster.state().end(SNAPSHOTS) > 0);
            cluster.state().trim(STREAM, case.records);
            // Records that the snapshot may lack are kept; only those before it are trimmed.
            eventually("a late snapshot", || {
                cluster.state().add(STREAM, &invalid_records(1));
                std::thread::sleep(Duration::from_millis(20));
                cluster.state().end(SNAPSHOTS) > 2
            });
        }
        if !case.peers {
            old.driver.stop();
            cluster.net.nodes.lock().clear();
        }
        if case.out {
            cut(&cluster, &CENTRES, &[]);
        }
        let new = cluster.start(CENTRES[1]);
        if case.ready {
            eventually(case.name, || rate(&new) == Some(5.0));
            assert!(new.driver.inspect(State::offset) >= end, "{}: not an old state", case.name);
        } else {
            std::thread::sleep(Duration::from_millis(300));
            assert!(new.driver.current().is_none(), "{}", case.name);
            cut(&cluster, &[], &[]);
            eventually("the log is available again", || rate(&new) == Some(5.0));
        }
    }
}

#[test]
fn a_new_daemon_serves_no_state_older_than_its_source() {
    let mut cluster = Cluster::new();
    let text = |it: &Command| serde_json::to_string(it).expect("JSON");
    cluster.state().add(STREAM, &[text(&command("a", None, 5))]);
    cluster.state().add(STREAM, &invalid_records(200));
    cluster.state().add(STREAM, &[text(&command("b", Some(0), 6))]);
    cluster.state().faults.lock().reads = Some(1);
    let new = cluster.start(CENTRES[0]);
    eventually("the first part", || new.driver.inspect(State::offset) > 0);
    assert!(new.driver.inspect(State::offset) < 202, "the rest is out of reach");
    assert!(new.driver.current().is_none(), "its state is known to be outdated");
    cluster.state().faults.lock().reads = None;
    eventually("the log is available again", || new.driver.current().is_some());
    assert_eq!(rate(&new), Some(6.0));
}
