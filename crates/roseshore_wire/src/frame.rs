//! Frames over TCP and datagrams over UDP, coded with `postcard`.
//!
//! A frame is a length (four bytes, big end first), the protocol's version byte, and the message. A
//! datagram is the version byte and the message. Lengths are bounded before anything is
//! allocated, and another version is refused rather than guessed at.

use quick_error::quick_error;
use serde::{Serialize, de::DeserializeOwned};
use std::io::{Read, Write};

/// The version of the messages between daemons. Daemons of two versions skip each other's
/// messages, so that hosts can be replaced one after the other: each version reads the store for
/// itself meanwhile.
pub const VERSION: u8 = 6;
/// The longest frame, bytes.
pub const MAX_FRAME: usize = 8 << 20;
/// The longest datagram, bytes; below what a local network carries in one piece.
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
        /// The content cannot be read.
        Codec(err: postcard::Error) {
            from()
            display("codec: {err}")
            source(err)
        }
        /// The other side speaks another version.
        Version(got: u8) {
            display("peer speaks version {got}, this daemon {VERSION}")
        }
        /// The message is longer than the bound.
        Length(got: usize) {
            display("message of {got} bytes exceeds the bound")
        }
    }
}

/// Codes a message with its version byte.
///
/// # Errors
/// When the message cannot be coded or exceeds `bound` bytes.
pub fn encode<T: Serialize>(message: &T, bound: usize) -> Result<Vec<u8>, FrameError> {
    let bytes = postcard::to_extend(message, vec![VERSION])?;
    if bytes.len() > bound {
        return Err(FrameError::Length(bytes.len()));
    }
    Ok(bytes)
}

/// Reads a message with its version byte.
///
/// # Errors
/// When the version differs or the content cannot be read.
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
/// When the message exceeds [`MAX_FRAME`] or the socket fails.
pub fn write<T: Serialize>(out: &mut impl Write, message: &T) -> Result<(), FrameError> {
    let bytes = encode(message, MAX_FRAME)?;
    let mut frame = Vec::with_capacity(bytes.len() + 4);
    frame.extend_from_slice(&(bytes.len() as u32).to_be_bytes());
    frame.extend_from_slice(&bytes);
    out.write_all(&frame)?;
    out.flush()?;
    Ok(())
}

/// Takes one frame out of bytes that came so far; `None` when more are needed.
///
/// # Errors
/// When the length exceeds [`MAX_FRAME`], the version differs, or the content cannot be read.
pub fn take<T: DeserializeOwned>(input: &mut Vec<u8>) -> Result<Option<T>, FrameError> {
    let Some(len) = input.first_chunk::<4>() else { return Ok(None) };
    let len = u32::from_be_bytes(*len) as usize;
    if len > MAX_FRAME {
        return Err(FrameError::Length(len));
    }
    let Some(bytes) = input.get(4..4 + len) else { return Ok(None) };
    let message = decode(bytes)?;
    input.drain(..4 + len);
    Ok(Some(message))
}

/// Reads one frame.
///
/// # Errors
/// When the length exceeds [`MAX_FRAME`], the version differs, or the socket fails.
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
