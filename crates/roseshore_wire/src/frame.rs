//! Framing of messages over TCP and UDP, encoded with `postcard`.
//!
//! A TCP frame is a length (four bytes, big-endian), the protocol version (one byte) and the
//! message; the length covers version and message. A UDP datagram is the version byte and the
//! message. Lengths are checked before anything is allocated, and messages of another version are
//! rejected.

use quick_error::quick_error;
use serde::{Serialize, de::DeserializeOwned};
use std::io::{Read, Write};

/// The protocol version of the messages between daemons. Daemons of different versions ignore each
/// other's messages, so that hosts can be upgraded one at a time. Meanwhile the daemons of each
/// version read the store on their own.
pub const VERSION: u8 = 13;
/// Maximum size of version and message in a frame, bytes.
pub const MAX_FRAME: usize = 8 << 20;
/// Maximum size of a datagram, bytes; small enough for a single packet on a local network.
pub const MAX_DATAGRAM: usize = 1400;

quick_error! {
    /// Why a message could not be sent or read.
    #[derive(Debug)]
    pub enum FrameError {
        /// The socket failed.
        Io(err: std::io::Error) {
            from()
            display("socket: {err}")
            source(err)
        }
        /// The content cannot be encoded or decoded.
        Codec(err: postcard::Error) {
            from()
            display("codec: {err}")
            source(err)
        }
        /// The message has another protocol version.
        Version(got: u8) {
            display("peer speaks version {got}, this daemon {VERSION}")
        }
        /// The message is empty or exceeds the maximum size.
        Length(got: usize) {
            display("message of {got} bytes exceeds the bound")
        }
    }
}

/// Encodes a message, preceded by the version byte.
///
/// # Errors
/// If the message cannot be encoded or exceeds `bound` bytes.
pub fn encode<T: Serialize>(message: &T, bound: usize) -> Result<Vec<u8>, FrameError> {
    let bytes = postcard::to_extend(message, vec![VERSION])?;
    if bytes.len() > bound {
        return Err(FrameError::Length(bytes.len()));
    }
    Ok(bytes)
}

/// Decodes a message that is preceded by the version byte.
///
/// # Errors
/// If the version differs or the content is malformed.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, FrameError> {
    match bytes.split_first() {
        Some((&VERSION, rest)) => Ok(postcard::from_bytes(rest)?),
        Some((&other, _)) => Err(FrameError::Version(other)),
        None => Err(FrameError::Length(0)),
    }
}

/// Writes one frame.
///
/// # Errors
/// If the message exceeds [`MAX_FRAME`] or writing fails.
pub fn write<T: Serialize>(out: &mut impl Write, message: &T) -> Result<(), FrameError> {
    let bytes = encode(message, MAX_FRAME)?;
    let mut frame = Vec::with_capacity(bytes.len() + 4);
    frame.extend_from_slice(&(bytes.len() as u32).to_be_bytes());
    frame.extend_from_slice(&bytes);
    out.write_all(&frame)?;
    out.flush()?;
    Ok(())
}

/// Removes one complete frame from the start of a receive buffer and decodes it. Returns `None` if
/// the frame is incomplete.
///
/// # Errors
/// If the length exceeds [`MAX_FRAME`], the version differs or the content is malformed.
pub fn take<T: DeserializeOwned>(input: &mut Vec<u8>) -> Result<Option<T>, FrameError> {
    take_short(input, MAX_FRAME)
}

/// Like [`take`], with a maximum length of the message and its version.
///
/// # Errors
/// If the length exceeds `max`, the version differs or the content is malformed.
pub fn take_short<T: DeserializeOwned>(
    input: &mut Vec<u8>,
    max: usize,
) -> Result<Option<T>, FrameError> {
    let Some(len) = input.first_chunk::<4>() else { return Ok(None) };
    let len = u32::from_be_bytes(*len) as usize;
    if len > max {
        return Err(FrameError::Length(len));
    }
    let Some(bytes) = input.get(4..4 + len) else { return Ok(None) };
    let message = decode(bytes)?;
    input.drain(..4 + len);
    Ok(Some(message))
}

/// Reads one frame and blocks until it is complete.
///
/// # Errors
/// If the length exceeds [`MAX_FRAME`], the version differs, the content is malformed or reading
/// fails.
pub fn read<T: DeserializeOwned>(input: &mut impl Read) -> Result<T, FrameError> {
    let mut len = [0; 4];
    input.read_exact(&mut len)?;
    let len = u32::from_be_bytes(len) as usize;
    if len > MAX_FRAME {
        return Err(FrameError::Length(len));
    }
    let mut bytes = vec![0; len];
    input.read_exact(&mut bytes)?;
    decode(&bytes)
}
