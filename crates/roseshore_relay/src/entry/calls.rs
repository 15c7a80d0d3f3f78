//! HTTP calls that this host makes itself: to the store, and to targets for reports and orders.

use super::{EntryHost, Role, Route, Timer, log_event};
use crate::http::{self, BodyDecoder, ResponseHead};
use crate::slab::Key;
use roseshore_core::gateway::Position;
use roseshore_core::prelude::*;
use roseshore_ports::entry::{CallReply, CallRequest, Report, Stream};
use std::net::SocketAddr;

/// Maximum bytes of a reply's head.
const MAX_HEAD: usize = 16 << 10;

/// Maximum bytes of the body of a target's reply.
const MAX_REPORT: usize = 256 << 10;
/// Maximum bytes of the body of a reply of the store.
const MAX_STORE_REPLY: usize = 16 << 20;

/// Time-out of a call to the store, beyond the time that the store was asked to wait. A store that
/// is eighty times slower than usual replies within a third of a second.
pub(super) const STORE_TIMEOUT: Duration = Duration::from_millis(900);

/// The purpose of a call, which decides how its reply is handled.
#[derive(Clone, Debug)]
pub(super) enum Purpose {
    /// Reads a page of the newest record of each key. Pages after the first belong to this era.
    Latest(Stream, Option<Era>),
    /// Reads the records from a position on; the store waits up to this long for a new one.
    Read(Stream, Position, Duration),
    /// Asks a target for a report, before an order or to see whether one is done.
    Report(TargetId),
    /// Asks a target for a report to learn its pace.
    Pace(TargetId),
    /// Reads a page of the hosts' own records.
    ReadOwn,
    /// Writes records of the hosts' own.
    WriteOwn,
    /// Orders a target to hold these layers.
    Place(TargetId, (Layer, Layer)),
}

impl Purpose {
    /// Maximum bytes of the reply's body.
    fn max_body(&self) -> usize {
        match self {
            Purpose::Report(_) | Purpose::Pace(_) | Purpose::Place(..) => MAX_REPORT,
            Purpose::Latest(..) | Purpose::Read(..) | Purpose::ReadOwn | Purpose::WriteOwn => {
                MAX_STORE_REPLY
            }
        }
    }
}

/// Why a call got no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallFault {
    /// The connection was not established.
    Unreachable,
    /// The connection ended early, or the reply was malformed.
    Broken,
    /// No reply before the time-out.
    Silent,
}

/// A call in flight.
pub(super) struct Call {
    pub(super) purpose: Purpose,
    pub(super) sent: Instant,
    socket: Key,
    route: Route,
    head: Option<ResponseHead>,
    decoder: BodyDecoder,
    body: Vec<u8>,
}

impl EntryHost {
    /// Makes a call; [`EntryHost::call_done`] gets its reply or fault.
    pub(super) fn call(
        &mut self,
        purpose: Purpose,
        addr: SocketAddr,
        request: &CallRequest,
        timeout: Duration,
    ) {
        let route = match &purpose {
            Purpose::Report(id) | Purpose::Pace(id) | Purpose::Place(id, _) => {
                self.route_to(id, addr)
            }
            _ => Route { to: addr, via: None },
        };
        let Ok((socket, _)) = self.acquire_connection(route, false, usize::MAX) else {
            return self.call_done(purpose, self.now, Err(CallFault::Unreachable));
        };
        let mut out = Vec::with_capacity(256 + request.body.len());
        let mut fields = vec![("Host".to_owned(), addr.to_string().into_bytes())];
        if !request.body.is_empty() {
            fields.push(("Content-Type".to_owned(), b"application/json".to_vec()));
        }
        http::write_request(&mut out, request.method, &request.path, &fields, request.body.len());
        out.extend_from_slice(&request.body);
        self.net.send(socket, &out);
        let decoder = BodyDecoder::new(http::Framing::Length(0));
        let (head, body) = (None, Vec::new());
        let key =
            self.calls.add(Call { purpose, sent: self.now, socket, route, head, decoder, body });
        self.roles.insert(socket, Role::Call(key));
        self.set_timer(self.now + timeout, Timer::Call(key));
    }

    /// Cancels calls by their purpose, without handling a reply or fault. Returns whether there were
    /// any.
    pub(super) fn cancel_calls(&mut self, which: impl Fn(&Purpose) -> bool) -> bool {
        let mut cancelled = false;
        for key in self.calls.keys() {
            if self.calls.get(key).is_some_and(|call| which(&call.purpose))
                && let Some(call) = self.calls.remove(key)
            {
                self.close(call.socket);
                cancelled = true;
            }
        }
        cancelled
    }

    /// Handles input of a call's connection, or its end.
    pub(super) fn handle_call(&mut self, key: Key) {
        let Some(call) = self.calls.get_mut(key) else { return };
        let Some(socket) = self.net.get(call.socket) else { return };
        if call.head.is_none() {
            match socket.input.edit(|input| http::parse_response(input, MAX_HEAD)) {
                Ok(Some(head)) => {
                    call.decoder = BodyDecoder::new(head.framing);
                    call.head = Some(head);
                }
                Ok(None) if socket.ended.is_none() => return,
                Ok(None) | Err(_) => return self.end_call(key, Some(CallFault::Broken)),
            }
        }
        let taken = socket.input.edit(|input| call.decoder.decode(input, &mut call.body));
        self.liveness.link.record_transfer(call.body.len(), self.now);
        let complete =
            call.decoder.done() || (call.decoder.ends_with_connection() && socket.ended_orderly());
        let ended = socket.ended.is_some();
        let too_long = call.body.len() > call.purpose.max_body();
        if complete && !too_long {
            self.end_call(key, None);
        } else if taken.is_err() || ended || too_long {
            self.end_call(key, Some(CallFault::Broken));
        }
    }

    /// Ends a call that has not been completed by its time-out.
    pub(super) fn call_timed_out(&mut self, key: Key) {
        if self.calls.get(key).is_some() {
            self.end_call(key, Some(CallFault::Silent));
        }
    }

    /// Removes a call, keeps its connection where it can be reused, and passes on its reply or
    /// fault.
    fn end_call(&mut self, key: Key, fault: Option<CallFault>) {
        let Some(call) = self.calls.remove(key) else { return };
        let connected = self.net.get(call.socket).is_some_and(|s| s.established());
        let fault = fault.map(|f| if connected { f } else { CallFault::Unreachable });
        let reply = match (fault, call.head) {
            (None, Some(head)) => {
                let clean = self.net.get(call.socket).is_some_and(|s| s.input.is_empty());
                if head.keep_alive && clean {
                    self.keep_idle(call.socket, call.route);
                } else {
                    self.close(call.socket);
                }
                Ok(CallReply { status: head.status, fields: head.fields, body: call.body })
            }
            (fault, _) => {
                self.close(call.socket);
                Err(fault.unwrap_or(CallFault::Broken))
            }
        };
        self.call_done(call.purpose, call.sent, reply);
    }

    /// The report in a target's reply, or why there is none. A report of another incarnation shows
    /// that the target's address now belongs to another one.
    pub(super) fn read_report(
        &mut self,
        id: &str,
        reply: Result<CallReply, CallFault>,
    ) -> Result<Report, String> {
        let reply = reply.map_err(|fault| format!("{fault:?}"))?;
        let report = self.platform.report_reply(&reply).map_err(|err| err.to_string())?;
        let listed = self.targets.get(id).map_or(0, |target| target.record.life);
        if listed != 0 && report.life != 0 && report.life != listed {
            self.targets.mark_replaced(id);
            log_event!(self, TargetLeft, "target={id} state=replaced life={listed}");
            return Err(format!("it is of incarnation {}", report.life));
        }
        Ok(report)
    }

    /// Passes the reply or fault of a call to the code for its purpose.
    fn call_done(&mut self, purpose: Purpose, sent: Instant, reply: Result<CallReply, CallFault>) {
        if let (Purpose::Report(id) | Purpose::Pace(id) | Purpose::Place(id, _), Ok(reply)) =
            (&purpose, &reply)
        {
            self.apply_reply_feedback(id, reply);
            self.call_answered(id);
        }
        match purpose {
            Purpose::Latest(stream, era) => self.latest_received(stream, sent, era, reply),
            Purpose::Read(stream, from, wait) => {
                self.read_received(stream, sent, from, wait, reply);
            }
            Purpose::Report(id) => self.report_received(&id, reply),
            Purpose::Pace(id) => self.pace_received(&id, reply),
            Purpose::ReadOwn => self.own_page_received(reply),
            Purpose::WriteOwn => self.own_write_done(reply),
            Purpose::Place(id, layers) => self.order_reply(&id, layers, reply),
        }
    }
}
