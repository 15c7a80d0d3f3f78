//! Traits for the external systems that the daemon calls.
//!
//! The [`Verdict`] of an error tells whether the call may have run. A failure before the first byte
//! was written is [`Verdict::NotRun`]. A later failure is [`Verdict::MayHaveRun`], unless a reply
//! states otherwise.

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
    /// Why a call to an external system failed.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum CallError {
        /// No connection was made, or nothing was written to it.
        Unreached(why: String) {
            display("not reached: {why}")
        }
        /// The call was sent, but no complete reply arrived.
        Lost(why: String) {
            display("reply lost: {why}")
        }
        /// The other side replied with this status that it did not carry out the call. Holds the
        /// `Retry-After` delay, if given, and the body.
        Refused(status: u16, after: Option<Duration>, body: String) {
            display("refused with status {status}")
        }
        /// The reply violates the protocol.
        Garbled(why: String) {
            display("reply not understood: {why}")
        }
        /// The requested offset has been trimmed. Holds the oldest offset kept and the end offset.
        Trimmed(oldest: Offset, end: Offset) {
            display("the oldest offset kept is {oldest}")
        }
    }
}

impl CallError {
    /// Whether the call may have run despite the failure.
    pub fn verdict(&self) -> Verdict {
        match self {
            CallError::Unreached(_) | CallError::Refused(..) | CallError::Trimmed(..) => {
                Verdict::NotRun
            }
            CallError::Lost(_) | CallError::Garbled(_) => Verdict::MayHaveRun,
        }
    }
}

/// The result of a call to an external system.
pub type CallResult<T> = Result<T, CallError>;

/// The platform's log service.
pub trait Log: Send + Sync {
    /// Appends all records or none, and returns the offset of the first one.
    ///
    /// # Errors
    /// [`CallError::Lost`] if the records may have been appended.
    fn append(&self, stream: &str, records: &[String]) -> CallResult<Offset>;

    /// Reads at most `max` records from offset `from` on. Waits up to `wait` for the first one.
    ///
    /// # Errors
    /// [`CallError::Trimmed`] if `from` is older than the oldest offset kept.
    fn read(&self, stream: &str, from: Offset, max: usize, wait: Duration) -> CallResult<Records>;
}

/// The platform's host list.
pub trait HostList: Send + Sync {
    /// Returns the current list. It lags behind the actual state.
    ///
    /// # Errors
    /// If the platform does not answer.
    fn hosts(&self) -> CallResult<Hosts>;
}

/// The platform's weight store.
pub trait WeightStore: Send + Sync {
    /// Returns its transfer rate and backlog.
    ///
    /// # Errors
    /// If the platform does not answer.
    fn weights(&self) -> CallResult<Weights>;
}

/// An item of an open stream, in order of arrival.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamItem {
    /// One line of the engine's output.
    Output(Output),
    /// The stream ended or failed. This is the last item.
    Ended(Result<(), CallError>),
}

/// Model engines.
pub trait Engine: Send + Sync {
    /// Requests the engine's load report.
    ///
    /// # Errors
    /// If the engine does not answer within `limit`.
    fn load(&self, addr: SocketAddr, limit: Duration) -> CallResult<Load>;

    /// Opens a stream and returns once the response head has arrived.
    ///
    /// Items arrive on the returned channel; the last one is [`StreamItem::Ended`]. Dropping the
    /// receiver closes the connection after a bounded delay.
    ///
    /// # Errors
    /// [`CallError::Refused`] if the engine does not hold the model or layers of the route, or its
    /// queue is full.
    fn generate(
        &self,
        addr: SocketAddr,
        request: &Generate,
        deadline: Instant,
    ) -> CallResult<flume::Receiver<StreamItem>>;

    /// Cancels an answer on one stage.
    ///
    /// # Errors
    /// If the engine does not answer within `limit`.
    fn cancel(&self, addr: SocketAddr, request: &Cancel, limit: Duration) -> CallResult<()>;

    /// Exports the KV cache of an answer from a stage.
    ///
    /// # Errors
    /// [`CallError::Refused`] if the stage no longer has it.
    fn export(&self, addr: SocketAddr, request: &KvExport, limit: Duration) -> CallResult<Kv>;

    /// Imports the KV cache of an answer into a stage.
    ///
    /// # Errors
    /// [`CallError::Refused`] if the stage cannot accept it.
    fn import(&self, addr: SocketAddr, kv: &Kv, limit: Duration) -> CallResult<()>;

    /// Reads the events of the prefix cache from number `from` on.
    ///
    /// # Errors
    /// If the engine does not answer within `limit`.
    fn cache(&self, addr: SocketAddr, from: u64, limit: Duration) -> CallResult<CacheEvents>;

    /// Sends an order. Returns what the engine holds afterwards.
    ///
    /// # Errors
    /// [`CallError::Refused`] with status 412 if the fencing number is outdated.
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
    /// Whether the target marked this as the recorded result of an earlier call.
    pub replayed: bool,
}

/// Replicas of plain and lookup services.
pub trait Services: Send + Sync {
    /// Looks up one name in one source. A reply of any status is `Ok`.
    ///
    /// # Errors
    /// If no complete reply arrived by the deadline.
    fn lookup(
        &self,
        addr: SocketAddr,
        source: &str,
        name: &str,
        hop: &CallContext,
    ) -> CallResult<ServiceReply>;

    /// Runs a call. A reply after which the call may have run is `Ok` whatever its status.
    ///
    /// # Errors
    /// [`CallError::Refused`] only if the replica stated that the call did not run.
    fn call(
        &self,
        addr: SocketAddr,
        service: &str,
        body: &[u8],
        key: Option<&str>,
        hop: &CallContext,
    ) -> CallResult<ServiceReply>;

    /// Requests the replica's load report.
    ///
    /// # Errors
    /// If the replica does not answer within `limit`.
    fn load(&self, addr: SocketAddr, limit: Duration) -> CallResult<ServiceLoad>;
}

/// Metadata that is sent along with a call.
#[derive(Clone, Debug)]
pub struct CallContext {
    /// When the answer must have arrived.
    pub deadline: Instant,
    /// The W3C `traceparent` of this hop's span.
    pub trace: Option<String>,
    /// Id of the request.
    pub request: RequestId,
}

/// Calls to other daemons over TCP.
pub trait Peers: Send + Sync {
    /// Sends a request to one daemon and waits for the reply.
    ///
    /// # Errors
    /// If it does not answer within `limit`.
    fn ask(
        &self,
        addr: SocketAddr,
        request: &PeerRequest,
        limit: Duration,
    ) -> CallResult<PeerReply>;
}

/// A received datagram with its sender.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedDatagram {
    /// The source address of the UDP packet.
    pub from: SocketAddr,
    /// The decoded message.
    pub datagram: Datagram,
}

/// Messages to and from other daemons over UDP. They may be lost, duplicated or reordered.
pub trait Datagrams: Send + Sync {
    /// Sends one message.
    ///
    /// # Errors
    /// If it is too large for a datagram or the socket refuses it. Loss in the network is not
    /// detected.
    fn send(&self, to: SocketAddr, datagram: &Datagram) -> CallResult<()>;

    /// Receives the next valid message, or returns `None` if none arrived within `limit`. Invalid
    /// messages are counted and skipped.
    fn receive(&self, limit: Duration) -> Option<ReceivedDatagram>;
}
