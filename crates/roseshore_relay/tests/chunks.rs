//! The framing of tunnels.

use roseshore_relay::chunks::{ChunkReader, chunk};

struct Case {
    name: &'static str,
    chunks: &'static [&'static str],
    ended: bool,
}

const CASES: [Case; 4] = [
    Case { name: "whole", chunks: &["a", "response", ""], ended: true },
    Case { name: "cut between chunks", chunks: &["a", "response"], ended: false },
    Case { name: "no content", chunks: &[""], ended: true },
    Case { name: "bytes after the end", chunks: &["response", "", "x"], ended: true },
];

#[test]
fn content_and_end_are_read_however_the_bytes_are_split() {
    for case in CASES {
        let mut bytes = Vec::new();
        for content in case.chunks {
            bytes.extend(chunk(content.as_bytes()));
        }
        let content = case.chunks.split(|content| content.is_empty()).next().unwrap_or_default();
        for size in 1..=bytes.len() {
            let (mut reader, mut out) = (ChunkReader::default(), Vec::new());
            for part in bytes.chunks(size) {
                reader.read(part, &mut out);
            }
            assert_eq!(out, content.concat().into_bytes(), "{}, parts of {size}", case.name);
            assert_eq!(reader.ended(), case.ended, "{}, parts of {size}", case.name);
        }
    }
}

#[test]
fn a_cut_within_a_chunk_or_a_header_is_not_an_end() {
    let bytes = [chunk(b"response"), chunk(b"")].concat();
    for len in 0..bytes.len() {
        let (mut reader, mut out) = (ChunkReader::default(), Vec::new());
        reader.read(&bytes[..len], &mut out);
        assert!(!reader.ended(), "{len} bytes");
    }
}
