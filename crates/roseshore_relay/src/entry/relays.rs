//! Reaches targets through other hosts while this host's own links to them are lost.
//!
//! When a check of a target goes unanswered, other hosts are asked whether they reach it. If one
//! does, the fault is at this host's link, and the target stays in use: connections to it are
//! opened through a tunnel. The other host connects to the target and forwards bytes both ways. It
//! does not look into them, so retries, limits, keys and deadlines are decided at one place, the
//! host that has the request. A tunnel leads to a target itself, never through a third host.
//!
//! Nothing is sent on a tunnel before the other host has confirmed it, so a request whose tunnel
//! could not be opened has not run.

use super::probes::millis;
use super::{EntryHost, Role, Route, log_event};
use crate::chunks::chunk;
use crate::net::Ended;
use crate::slab::{Key, Slab};
use rand::seq::IndexedRandom;
use roseshore_core::gateway::Fault;
use roseshore_core::gateway::peers::{
    Datagram, PeerRequest, ReachQuery, ReachReply, TargetHash, TunnelReply, TunnelRequest,
};
use roseshore_core::gateway::targets::{Relay, Target};
use roseshore_core::prelude::*;
use roseshore_wire::frame;
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;

/// Hosts of the own data centre, and of others, that are asked at once whether they reach a target.
const ASKED_NEAR: usize = 3;
const ASKED_FAR: usize = 2;
/// Hosts that recently reached another target and are asked besides.
const ASKED_KNOWN: usize = 2;
/// Time for which a host that reached a target is asked for others.
const KNOWN_VALIDITY: Duration = Duration::from_millis(2500);
/// Age of a sign of life by which a target counts as reached without another check. It is less than
/// the time in which the asking host finds that the target does not answer.
const RECENT: Duration = Duration::from_millis(40);
/// The same when a host that reached the target for this one is asked again: the checks for many
/// hosts are then made once.
const RECENT_AGAIN: Duration = Duration::from_millis(800);
/// Time after which an answer about a target is of no use any more.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Targets in one question.
const MAX_ASKED: usize = 64;
/// Unwritten bytes of one side of a tunnel from which the other side is not read.
const PAUSE_BYTES: usize = 256 << 10;
/// The same while all tunnels together take too much memory.
const PAUSE_SHORT: usize = 16 << 10;
/// Time without data after which a tunnel does not keep a stopping host alive, unless its target
/// still owes a response. It is longer than hosts keep idle connections, and callers of a silent
/// stream wait.
const TUNNEL_IDLE: Duration = Duration::from_secs(3);

/// A question of another host that waits for a check.
#[derive(Clone, Debug)]
struct Waiting {
    from: SocketAddr,
    sent: u64,
    hash: TargetHash,
    id: TargetId,
    since: Instant,
}

/// A connection to a target that is kept for another host.
struct Tunnel {
    host: Key,
    target: Key,
    id: TargetId,
    opened: Option<Instant>,
    moved_at: Instant,
    /// Whether the target has sent nothing since the last data of the host.
    unanswered: bool,
    bytes: u64,
}

/// How forwarded bytes are written to the other side of a tunnel.
#[derive(Clone, Copy)]
enum Framing {
    Plain,
    Chunks,
}

/// Tunnels, and the questions that precede them.
#[derive(Default)]
pub(super) struct Relays {
    /// Targets for which other hosts are to be asked.
    wanted: Vec<TargetId>,
    waiting: Vec<Waiting>,
    /// Answers to be sent, by host and send time of the question.
    answers: BTreeMap<(SocketAddr, u64), Vec<TargetHash>>,
    /// Hosts that reached a target for this one, with the times of their last answers.
    known: BTreeMap<SocketAddr, Instant>,
    /// Tunnels that this host has asked for and that are not open yet.
    opening: HashMap<Key, (TargetId, SocketAddr)>,
    /// Tunnels that this host keeps open for others.
    tunnels: Slab<Tunnel>,
}

impl Relays {
    /// Forgets a tunnel that this host has asked for.
    pub(super) fn forget(&mut self, key: Key) {
        self.opening.remove(&key);
    }
}

impl EntryHost {
    /// How to reach a target.
    pub(super) fn route_to(&self, id: &str, addr: SocketAddr) -> Route {
        Route { to: addr, via: self.targets.get(id).and_then(Target::relay) }
    }

    /// Whether a failed send is the fault of a link, and says nothing about the target.
    pub(super) fn is_link_fault(&self, id: &str, via: Option<SocketAddr>, fault: Fault) -> bool {
        let relayed = self.targets.get(id).is_some_and(|target| target.relay().is_some());
        match fault {
            Fault::NotSent => via.is_some() || relayed,
            Fault::Silent => via.is_none() && relayed,
            _ => false,
        }
    }

    /// Asks other hosts, at the end of this iteration of the event loop, whether they reach a
    /// target.
    pub(super) fn ask_reach(&mut self, id: &str) {
        if !self.relays.wanted.iter().any(|wanted| wanted == id) {
            self.relays.wanted.push(id.to_owned());
        }
    }

    /// Sends the questions and answers of this iteration of the event loop.
    pub(super) fn exchange_reach(&mut self) {
        let sent = millis(Some(self.now.saturating_duration_since(self.started))).unsigned_abs();
        for ((host, recent), targets) in self.reach_questions() {
            for targets in targets.chunks(MAX_ASKED) {
                let max_age = recent.as_millis() as u16;
                let query = ReachQuery { sent, max_age, targets: targets.to_vec() };
                self.send_message(host, &Datagram::AskReach(query));
            }
        }
        for ((host, sent), targets) in std::mem::take(&mut self.relays.answers) {
            self.send_message(host, &Datagram::Reached(ReachReply { sent, targets }));
        }
        let now = self.now;
        self.relays.waiting.retain(|w| now.saturating_duration_since(w.since) < ANSWER_TIMEOUT);
    }

    /// The targets to ask for, by host and accepted age of a sign of life.
    fn reach_questions(&mut self) -> BTreeMap<(SocketAddr, Duration), Vec<TargetHash>> {
        let mut questions: BTreeMap<_, Vec<TargetHash>> = BTreeMap::new();
        let wanted = std::mem::take(&mut self.relays.wanted);
        if wanted.is_empty() {
            return questions;
        }
        let (near, far) = self.peers.possible_relays(self.now);
        let now = self.now;
        self.relays.known.retain(|_, at| now.saturating_duration_since(*at) < KNOWN_VALIDITY);
        let known: Vec<SocketAddr> = self.relays.known.keys().copied().collect();
        let mut asked: Vec<SocketAddr> =
            known.sample(&mut self.rng, ASKED_KNOWN).copied().collect();
        for host in near.sample(&mut self.rng, ASKED_NEAR) {
            asked.extend((!asked.contains(host)).then_some(*host));
        }
        for host in far.sample(&mut self.rng, ASKED_FAR) {
            asked.extend((!asked.contains(host)).then_some(*host));
        }
        for id in wanted {
            let Some(hash) = self.targets.hash(&id) else { continue };
            if let Some(relay) = self.targets.get(&id).and_then(Target::relay) {
                questions.entry((relay, RECENT_AGAIN)).or_default().push(hash);
                continue;
            }
            for host in &asked {
                questions.entry((*host, RECENT)).or_default().push(hash);
            }
        }
        questions
    }

    /// Answers which targets this host reaches: at once for those that have just shown a sign of
    /// life, and for others when their checks pass.
    pub(super) fn answer_reach_query(&mut self, from: SocketAddr, query: &ReachQuery) {
        let max_age = Duration::from_millis(query.max_age.into());
        let recent = self.now.checked_sub(max_age).unwrap_or(self.now);
        for hash in query.targets.iter().take(MAX_ASKED) {
            let Some(id) = self.targets.id_of(*hash).cloned() else { continue };
            if self.targets.reached_since(&id, recent) {
                self.relays.answers.entry((from, query.sent)).or_default().push(*hash);
                continue;
            }
            let fails = self.targets.get(&id).is_some_and(|t| t.liveness_failure().is_some());
            if !fails {
                self.check_for_other(&id);
            }
            let (sent, hash, since) = (query.sent, *hash, self.now);
            self.relays.waiting.push(Waiting { from, sent, hash, id, since });
        }
    }

    /// Answers the questions that wait for a check of a target which has passed.
    pub(super) fn reply_reached(&mut self, id: &str) {
        let Relays { waiting, answers, .. } = &mut self.relays;
        waiting.retain(|waiting| {
            if waiting.id == id {
                answers.entry((waiting.from, waiting.sent)).or_default().push(waiting.hash);
            }
            waiting.id != id
        });
    }

    /// Uses another host for the targets that it reaches.
    pub(super) fn apply_reach_reply(&mut self, from: SocketAddr, reply: &ReachReply) {
        let confirmed = (self.started + Duration::from_millis(reply.sent)).min(self.now);
        if self.now.saturating_duration_since(confirmed) >= ANSWER_TIMEOUT {
            return;
        }
        let first = self.relays.known.insert(from, self.now).is_none();
        let relay = Relay { host: from, near: self.peers.is_near_host(from), confirmed };
        let mut found = Vec::new();
        for hash in &reply.targets {
            if self.targets.record_relay(*hash, relay) {
                let id = self.targets.id_of(*hash).cloned().unwrap_or_default();
                log_event!(self, TargetRelayed, "target={id} via={from}");
                found.push(id);
            }
        }
        if !found.is_empty() {
            for key in self.exchanges.keys() {
                if let Some(exchange) = self.exchanges.get_mut(key) {
                    for id in &found {
                        exchange.avoided.remove(id);
                    }
                }
            }
            self.suspect_link();
            self.heartbeat_now(false);
        }
        if first {
            for id in self.targets.dead() {
                if self.targets.get(&id).is_some_and(Target::is_down) {
                    self.ask_reach(&id);
                }
            }
        }
    }

    /// Records that a tunnel to a target could not be opened, and asks other hosts.
    pub(super) fn relay_failed(&mut self, id: &str, host: SocketAddr) {
        self.targets.relay_failed(id, host);
        self.ask_reach(id);
    }

    /// Closes the idle direct connections to a target.
    pub(super) fn close_idle_direct(&mut self, id: &str) {
        let Some(to) = self.targets.get(id).map(|target| target.record.addr) else { return };
        for (key, _) in self.idle.remove(&Route { to, via: None }).unwrap_or_default() {
            self.close(key);
        }
    }

    /// Asks a host to open a tunnel to the target at an address.
    pub(super) fn open_tunnel(&mut self, to: SocketAddr, host: SocketAddr) -> io::Result<Key> {
        let id = self.targets.id_at(to).ok_or(io::ErrorKind::NotFound)?.clone();
        let target = self.targets.hash(&id).ok_or(io::ErrorKind::NotFound)?;
        let mut bytes = Vec::new();
        let request = PeerRequest::Tunnel(TunnelRequest { target });
        frame::write(&mut bytes, &request).map_err(io::Error::other)?;
        let key = self.net.connect_tunnel(host, &bytes)?;
        self.relays.opening.insert(key, (id, host));
        Ok(key)
    }

    /// Handles the reply to a request for a tunnel. Returns whether the reply is still pending.
    pub(super) fn tunnel_pending(&mut self, key: Key) -> bool {
        let Some(socket) = self.net.get(key).filter(|socket| socket.tunnel_pending()) else {
            return false;
        };
        let reply = socket.input.edit(frame::take::<TunnelReply>);
        if let Ok(Some(TunnelReply { open: true })) = reply {
            self.relays.opening.remove(&key);
            self.net.tunnel_opened(key);
            return false;
        }
        if matches!(reply, Ok(None)) && socket.ended.is_none() {
            return true;
        }
        socket.ended = Some(Ended::Broken);
        if let Some((id, host)) = self.relays.opening.remove(&key) {
            self.relay_failed(&id, host);
        }
        false
    }

    /// Connects to a target for another host.
    pub(super) fn accept_tunnel(&mut self, key: Key, request: TunnelRequest) {
        let id = self.targets.id_of(request.target).cloned().unwrap_or_default();
        let usable = self.targets.get(&id).filter(|t| t.liveness_failure().is_none());
        let addr = usable.map(|target| target.record.addr);
        let allowed = self.stopping_since.is_none()
            && self.relays.tunnels.len() < self.connection_limits().tunnels();
        let connected = addr.filter(|_| allowed).and_then(|addr| self.net.connect(addr).ok());
        let Some(target) = connected else { return self.refuse_tunnel(key, &id) };
        let (opened, moved_at, bytes) = (None, self.now, 0);
        let tunnel = Tunnel { host: key, target, id, opened, moved_at, unanswered: false, bytes };
        let tunnel = self.relays.tunnels.add(tunnel);
        self.roles.insert(key, Role::Tunnel(tunnel));
        self.roles.insert(target, Role::Tunnel(tunnel));
    }

    fn refuse_tunnel(&mut self, key: Key, id: &str) {
        log_event!(self, TunnelOpened, "target={id} open=false");
        metrics::counter!("roseshore_tunnels_refused_total").increment(1);
        self.roles.insert(key, Role::Closing);
        self.send_tunnel_reply(key, false);
        self.close_flushed(key);
    }

    fn send_tunnel_reply(&mut self, key: Key, open: bool) {
        let mut bytes = Vec::new();
        // Writing to memory does not fail, and the reply is far below the maximum size.
        let _ = frame::write(&mut bytes, &TunnelReply { open });
        self.net.send(key, &bytes);
    }

    /// Forwards what arrived on a tunnel, and closes it when either side has ended.
    pub(super) fn handle_tunnel(&mut self, key: Key) {
        let Some(tunnel) = self.relays.tunnels.get(key) else { return };
        let (host, target, id) = (tunnel.host, tunnel.target, tunnel.id.clone());
        let Some(side) = self.net.get(target) else { return self.end_tunnel(key) };
        let (connected, target_ended) = (side.connected, side.ended.is_some());
        if !connected && !target_ended {
            if self.net.get(host).is_none_or(|side| side.ended.is_some()) {
                self.end_tunnel(key);
            }
            return;
        }
        if !connected {
            self.close(target);
            self.relays.tunnels.remove(key);
            self.check_alive(&id);
            return self.refuse_tunnel(host, &id);
        }
        if self.relays.tunnels.get(key).is_some_and(|tunnel| tunnel.opened.is_none()) {
            log_event!(self, TunnelOpened, "target={id} open=true");
            self.send_tunnel_reply(host, true);
            if let Some(tunnel) = self.relays.tunnels.get_mut(key) {
                tunnel.opened = Some(self.now);
            }
        }
        if self.net.get(host).is_some_and(|side| side.ended == Some(Ended::Broken)) {
            // The other host has taken back what was not forwarded yet.
            return self.end_tunnel(key);
        }
        let up = self.forward(host, target, Framing::Plain);
        let down = self.forward(target, host, Framing::Chunks);
        if down > 0 {
            self.targets.record_alive(&id, self.now);
        }
        if let Some(tunnel) = self.relays.tunnels.get_mut(key).filter(|_| up + down > 0) {
            tunnel.moved_at = self.now;
            // What the target has sent so far does not answer what it gets now.
            tunnel.unanswered = up > 0 || (tunnel.unanswered && down == 0);
            tunnel.bytes += (up + down) as u64;
        }
        let host_ended = self.net.get(host).is_none_or(|side| side.ended.is_some());
        let target_ended = self.net.get(target).is_none_or(|side| side.ended.is_some());
        if target_ended && !host_ended {
            // The other host cannot see whether the target has crashed.
            self.check_alive(&id);
        }
        if host_ended || target_ended {
            self.end_tunnel(key);
        }
    }

    /// Forwards the input of one connection to another; returns the number of bytes.
    fn forward(&mut self, from: Key, to: Key, framing: Framing) -> usize {
        let mut moved = 0;
        loop {
            let Some(source) = self.net.get(from) else { return moved };
            let bytes = source.input.take();
            if !bytes.is_empty() {
                match framing {
                    Framing::Plain => self.net.send(to, &bytes),
                    Framing::Chunks => self.net.send(to, &chunk(&bytes)),
                }
                moved += bytes.len();
            }
            let unwritten = self.net.get(to).map_or(0, |socket| socket.unwritten());
            let much = self.memory_limits().is_relaying_too_much(self.net.account());
            if unwritten > if much { PAUSE_SHORT } else { PAUSE_BYTES } {
                self.net.pause(from);
                return moved;
            }
            if !self.net.resume(from) {
                return moved;
            }
        }
    }

    /// Closes a tunnel; the host gets what the target has sent, and whether it has ended in order.
    fn end_tunnel(&mut self, key: Key) {
        let Some(tunnel) = self.relays.tunnels.remove(key) else { return };
        if self.net.get(tunnel.target).is_some_and(|side| side.ended_orderly()) {
            self.net.send(tunnel.host, &chunk(&[]));
        }
        self.abort(tunnel.target);
        self.roles.insert(tunnel.host, Role::Closing);
        self.close_flushed(tunnel.host);
        let open = millis(tunnel.opened.map(|at| self.now.saturating_duration_since(at)));
        let (id, bytes) = (&tunnel.id, tunnel.bytes);
        metrics::counter!("roseshore_tunnel_bytes_total").increment(bytes);
        log_event!(self, TunnelClosed, "target={id} bytes={bytes} open_ms={open}");
    }

    /// Whether other hosts use tunnels of this one.
    pub(super) fn tunnels_in_use(&self) -> bool {
        let used = |key| {
            let tunnel: Option<&Tunnel> = self.relays.tunnels.get(key);
            tunnel.is_some_and(|t| {
                t.unanswered || self.now.saturating_duration_since(t.moved_at) < TUNNEL_IDLE
            })
        };
        self.relays.tunnels.keys().into_iter().any(used)
    }

    /// Number of tunnels that this host keeps open for others.
    pub(super) fn tunnel_count(&self) -> usize {
        self.relays.tunnels.len()
    }
}

/// The host that relays a connection, for a log line.
pub(super) fn via_name(route: Route) -> String {
    route.via.map_or("-".to_owned(), |host| host.to_string())
}
