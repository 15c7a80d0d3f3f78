//! What the daemon needs of the world.
//!
//! Every error says by its [`Verdict`] what it proves: refused before the first byte was written
//! is [`Verdict::NotRun`]; anything later, without a reply that says otherwise, is
//! [`Verdict::MayHaveRun`].

use quick_error::quick_error;
use roseshore_core::prelude::*;
use roseshore_wire::engine::{
    CacheEvents, Cancel, Generate, Holding, Kv, KvExport, Load, Order, Output,
};
use roseshore_wire::peer::{Datagram, PeerReply, PeerRequest};
use roseshore_wire::platform::{Hosts, Records, Weights};
use roseshore_wire::service::ServiceLoad;
use std::net::SocketAddr;

quick_error! {
    /// Why a call to the outside failed.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum CallError {
        /// The connection was not made, or nothing had been written on it.
        Unreached(why: String) {
            display("not reached: {why}")
        }
        /// The call was sent and no whole reply came.
        Lost(why: String) {
            display("reply lost: {why}")
        }
        /// The other side said that it did nothing.
        Refused(status: u16, after: Option<Duration>, body: String) {
            display("refused with status {status}")
        }
        /// The other side's reply broke the protocol.
        Garbled(why: String) {
            display("reply not understood: {why}")
        }
        /// The log no longer keeps the offset.
        Trimmed(oldest: Offset, end: Offset) {
            display("the oldest offset kept is {oldest}")
        }
    }
}

impl CallError {
    /// What the failure proves about the call.
    pub fn verdict(&self) -> Verdict {
        match self {
            CallError::Unreached(_) | CallError::Refused(..) | CallError::Trimmed(..) => {
                Verdict::NotRun
            }
            CallError::Lost(_) | CallError::Garbled(_) => Verdict::MayHaveRun,
        }
    }
}

/// The outcome of a call to the outside.
pub type CallResult<T> = Result<T, CallError>;

/// The platform's log service.
pub trait Log: Send + Sync {
    /// Appends records, all or none, and returns the offset of the first.
    ///
    /// # Errors
    /// [`CallError::Lost`] when the append may have taken effect.
    fn append(&self, stream: &str, records: &[String]) -> CallResult<Offset>;

    /// Reads at most `max` records from `from` on, waiting up to `wait` for the first.
    ///
    /// # Errors
    /// [`CallError::Trimmed`] when `from` is no longer kept.
    fn read(&self, stream: &str, from: Offset, max: usize, wait: Duration) -> CallResult<Records>;
}

/// The platform's host list.
pub trait HostList: Send + Sync {
    /// The list as the platform shows it now, late.
    ///
    /// # Errors
    /// When the platform does not answer.
    fn hosts(&self) -> CallResult<Hosts>;
}

/// The platform's weight store.
pub trait WeightStore: Send + Sync {
    /// Its rate and backlog.
    ///
    /// # Errors
    /// When the platform does not answer.
    fn weights(&self) -> CallResult<Weights>;
}

/// What comes out of an open stream, in the order of arrival.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamItem {
    /// One line of the engine.
    Output(Output),
    /// The stream ended or broke; nothing follows.
    Ended(Result<(), CallError>),
}

/// Model engines.
pub trait Engine: Send + Sync {
    /// Asks for the engine's report.
    ///
    /// # Errors
    /// When the engine does not answer within `limit`.
    fn load(&self, addr: SocketAddr, limit: Duration) -> CallResult<Load>;

    /// Opens a stream and returns once its head has come.
    ///
    /// Items arrive on the returned channel; the last one is [`StreamItem::Ended`]. Dropping the
    /// receiver closes the connection within a bound.
    ///
    /// # Errors
    /// [`CallError::Refused`] when the engine does not hold what the route says, or is full.
    fn generate(
        &self,
        addr: SocketAddr,
        ask: &Generate,
        deadline: Instant,
    ) -> CallResult<flume::Receiver<StreamItem>>;

    /// Ends an answer's work on one stage.
    ///
    /// # Errors
    /// When the engine does not answer within `limit`.
    fn cancel(&self, addr: SocketAddr, ask: &Cancel, limit: Duration) -> CallResult<()>;

    /// Takes an answer's KV cache out of a stage.
    ///
    /// # Errors
    /// [`CallError::Refused`] when it is gone.
    fn export(&self, addr: SocketAddr, ask: &KvExport, limit: Duration) -> CallResult<Kv>;

    /// Puts an answer's KV cache into a stage.
    ///
    /// # Errors
    /// [`CallError::Refused`] when the stage cannot take it.
    fn import(&self, addr: SocketAddr, kv: &Kv, limit: Duration) -> CallResult<()>;

    /// Reads cache events.
    ///
    /// # Errors
    /// When the engine does not answer within `limit`.
    fn cache(&self, addr: SocketAddr, from: u64, limit: Duration) -> CallResult<CacheEvents>;

    /// Gives an order; the reply is what the engine holds then.
    ///
    /// # Errors
    /// [`CallError::Refused`] with status 412 for an old fencing number.
    fn order(&self, addr: SocketAddr, order: &Order, limit: Duration) -> CallResult<Holding>;
}

/// A reply of a plain or lookup service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceReply {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content: String,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the target said that this is an earlier call's result.
    pub replayed: bool,
}

/// Replicas of plain and lookup services.
pub trait Services: Send + Sync {
    /// Asks one source for one name. A reply of any status is `Ok`.
    ///
    /// # Errors
    /// When no whole reply came by the deadline.
    fn lookup(
        &self,
        addr: SocketAddr,
        source: &str,
        name: &str,
        hop: &CallContext,
    ) -> CallResult<ServiceReply>;

    /// Runs a call. A reply that says something ran, or may have, is `Ok` whatever its status.
    ///
    /// # Errors
    /// [`CallError::Refused`] only when the replica said that nothing ran.
    fn call(
        &self,
        addr: SocketAddr,
        service: &str,
        body: &[u8],
        key: Option<&str>,
        hop: &CallContext,
    ) -> CallResult<ServiceReply>;

    /// Asks for the replica's report.
    ///
    /// # Errors
    /// When the replica does not answer within `limit`.
    fn load(&self, addr: SocketAddr, limit: Duration) -> CallResult<ServiceLoad>;
}

/// What travels with a call over a hop.
#[derive(Clone, Debug)]
pub struct CallContext {
    /// When the answer must be here.
    pub deadline: Instant,
    /// The W3C `traceparent` of this hop's span.
    pub trace: Option<String>,
    /// The request.
    pub request: RequestId,
}

/// The other daemons, over TCP.
pub trait Peers: Send + Sync {
    /// Asks one daemon.
    ///
    /// # Errors
    /// When it does not answer within `limit`.
    fn ask(&self, addr: SocketAddr, ask: &PeerRequest, limit: Duration) -> CallResult<PeerReply>;
}

/// A datagram with the address it came from.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedDatagram {
    /// The sender's address, as the network gives it.
    pub from: SocketAddr,
    /// What it said.
    pub datagram: Datagram,
}

/// The other daemons, over UDP; any message may be lost, repeated or reordered.
pub trait Datagrams: Send + Sync {
    /// Sends one message.
    ///
    /// # Errors
    /// When it exceeds the bound or the socket refuses it; a loss on the way is not noticed.
    fn send(&self, to: SocketAddr, datagram: &Datagram) -> CallResult<()>;

    /// The next message that can be read, or `None` when none came within `limit`; what cannot be
    /// read is counted and passed over.
    fn receive(&self, limit: Duration) -> Option<ReceivedDatagram>;
}
