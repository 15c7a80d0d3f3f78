//! Framing of what a relay forwards from a target to the host that asked for the tunnel.
//!
//! Some responses end with the target's connection. The end of the tunnel does not say how that
//! connection ended, since a relay that is killed closes its connections like one that has finished.
//! So the bytes travel in chunks, each preceded by its length (four bytes, big-endian). An empty
//! chunk says that the target has closed its connection in order.

/// Length of a chunk's header, bytes.
const HEADER: usize = 4;

/// A chunk with some content, or the end of the target's connection if there is none.
pub fn chunk(content: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER + content.len());
    // The content comes from a receive buffer, far below 4 GiB.
    bytes.extend_from_slice(&(content.len() as u32).to_be_bytes());
    bytes.extend_from_slice(content);
    bytes
}

/// Removes the framing from received bytes.
#[derive(Clone, Debug, Default)]
pub struct ChunkReader {
    /// Received part of a header.
    header: Vec<u8>,
    /// Bytes of the current chunk that are still to come.
    left: usize,
    ended: bool,
}

impl ChunkReader {
    /// Appends the content of received bytes to `out`. Bytes after the end are discarded.
    pub fn read(&mut self, mut bytes: &[u8], out: &mut Vec<u8>) {
        while !bytes.is_empty() && !self.ended {
            if self.left > 0 {
                let (content, rest) = bytes.split_at(self.left.min(bytes.len()));
                out.extend_from_slice(content);
                self.left -= content.len();
                bytes = rest;
                continue;
            }
            let (part, rest) = bytes.split_at((HEADER - self.header.len()).min(bytes.len()));
            self.header.extend_from_slice(part);
            bytes = rest;
            if let Ok(len) = <[u8; HEADER]>::try_from(self.header.as_slice()) {
                self.left = u32::from_be_bytes(len) as usize;
                self.ended = self.left == 0;
                self.header.clear();
            }
        }
    }

    /// Whether the target has closed its connection in order.
    pub fn ended(&self) -> bool {
        self.ended
    }
}
