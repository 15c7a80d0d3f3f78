//! Small calls of the daemon's own: to the store, and to targets for reports and orders.

use super::{EntryHost, Role, Timer};
use crate::http::{self, BodyDecoder, ResponseHead};
use crate::slab::Key;
use roseshore_core::gateway::Position;
use roseshore_core::prelude::*;
use roseshore_ports::entry::{CallReply, CallRequest, Report, Stream};
use std::net::SocketAddr;

/// Bytes of a reply's head.
const MAX_HEAD: usize = 16 << 10;

/// The longest time for a reply of the store beyond what it was asked to wait: one that is slowed eightyfold
/// answers in a third of a second.
pub(super) const STORE_TIME: Duration = Duration::from_millis(900);

/// What a call is for.
#[derive(Clone, Debug)]
pub(super) enum Purpose {
    /// The newest records, page by page; those after the first page belong to this era.
    Newest(Stream, Option<Era>),
    /// The records from a position on; waits so long for one.
    Read(Stream, Position, Duration),
    /// A target's report.
    Report(TargetId),
    /// The same, only to learn how fast it runs.
    Pace(TargetId),
    /// The records of blocked requests.
    Blocked,
    /// Writes some of them.
    PutBlocked,
    /// A placement order.
    Place(TargetId, (Layer, Layer)),
}

/// Why a call brought no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallFault {
    /// No connection.
    Unreachable,
    /// The connection ended, or broke the protocol.
    Broken,
    /// No reply in time.
    Silent,
}

/// A call in flight.
pub(super) struct Call {
    pub(super) purpose: Purpose,
    pub(super) sent: Instant,
    socket: Key,
    addr: SocketAddr,
    head: Option<ResponseHead>,
    decoder: BodyDecoder,
    body: Vec<u8>,
}

impl EntryHost {
    /// Makes a call; what becomes of it is handed to [`EntryHost::called`].
    pub(super) fn call(
        &mut self,
        purpose: Purpose,
        addr: SocketAddr,
        request: &CallRequest,
        timeout: Duration,
    ) {
        let Ok((socket, _)) = self.connection(addr, false) else {
            return self.called(purpose, self.now, Err(CallFault::Unreachable));
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
            self.calls.add(Call { purpose, sent: self.now, socket, addr, head, decoder, body });
        self.roles.insert(socket, Role::Call(key));
        self.arm(self.now + timeout, Timer::Call(key));
    }

    /// Gives up the calls of a purpose, without a word to whoever made them.
    pub(super) fn abandon(&mut self, which: impl Fn(&Purpose) -> bool) {
        for key in self.calls.keys() {
            if self.calls.get(key).is_some_and(|call| which(&call.purpose))
                && let Some(call) = self.calls.remove(key)
            {
                self.close(call.socket);
            }
        }
    }

    /// The reply may have come.
    pub(super) fn pump_call(&mut self, key: Key) {
        let Some(call) = self.calls.get_mut(key) else { return };
        let Some(socket) = self.net.get(call.socket) else { return };
        if call.head.is_none() {
            match http::parse_response(&mut socket.input, MAX_HEAD) {
                Ok(Some(head)) => {
                    call.decoder = BodyDecoder::new(head.framing);
                    call.head = Some(head);
                }
                Ok(None) if socket.ended.is_none() => return,
                Ok(None) | Err(_) => return self.end_call(key, Some(CallFault::Broken)),
            }
        }
        let taken = call.decoder.decode(&mut socket.input, &mut call.body);
        let whole = call.decoder.done()
            || (call.decoder.ends_with_connection() && super::orderly(socket.ended));
        let ended = socket.ended.is_some();
        if whole {
            self.end_call(key, None);
        } else if taken.is_err() || ended {
            self.end_call(key, Some(CallFault::Broken));
        }
    }

    /// A call's time is over.
    pub(super) fn check_call(&mut self, key: Key) {
        if self.calls.get(key).is_some() {
            self.end_call(key, Some(CallFault::Silent));
        }
    }

    fn end_call(&mut self, key: Key, fault: Option<CallFault>) {
        let Some(call) = self.calls.remove(key) else { return };
        let connected = self.net.get(call.socket).is_some_and(|s| s.connected);
        let fault = fault.map(|f| if connected { f } else { CallFault::Unreachable });
        let reply = match (fault, call.head) {
            (None, Some(head)) => {
                let clean = self.net.get(call.socket).is_some_and(|s| s.input.is_empty());
                if head.keep_alive && clean {
                    self.keep(call.socket, call.addr);
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
        self.called(call.purpose, call.sent, reply);
    }

    /// What a target reported, or why it did not.
    pub(super) fn read_report(
        &self,
        reply: Result<CallReply, CallFault>,
    ) -> Result<Report, String> {
        let reply = reply.map_err(|fault| format!("{fault:?}"))?;
        self.platform.report_reply(&reply).map_err(|err| err.to_string())
    }

    fn called(&mut self, purpose: Purpose, sent: Instant, reply: Result<CallReply, CallFault>) {
        if let (Purpose::Report(id) | Purpose::Pace(id) | Purpose::Place(id, _), Ok(reply)) =
            (&purpose, &reply)
        {
            self.heed_reply(id, reply);
        }
        match purpose {
            Purpose::Newest(stream, era) => self.newest_came(stream, sent, era, reply),
            Purpose::Read(stream, from, wait) => self.records_came(stream, sent, from, wait, reply),
            Purpose::Report(id) => self.report_came(&id, reply),
            Purpose::Pace(id) => self.pace_came(&id, reply),
            Purpose::Blocked => self.blocked_came(reply),
            Purpose::PutBlocked => self.blocked_written(reply),
            Purpose::Place(id, layers) => self.place_came(&id, layers, reply),
        }
    }
}
