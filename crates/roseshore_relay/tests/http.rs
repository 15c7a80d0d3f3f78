//! Parsing of HTTP heads, body framing and server-sent events.

use proptest::prelude::*;
use roseshore_relay::http::{
    BodyDecoder, Framing, HttpError, LAST_CHUNK, parse_request, parse_response, write_chunk,
};
use roseshore_relay::sse::{take_events, take_new_events};

const MAX_HEAD: usize = 400;

struct HeadCase {
    name: &'static str,
    bytes: &'static str,
    framing: Result<Option<Framing>, HttpError>,
}

#[test]
fn a_request_s_length_is_never_ambiguous() {
    let cases = [
        HeadCase {
            name: "no body",
            bytes: "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
            framing: Ok(Some(Framing::Length(0))),
        },
        HeadCase {
            name: "a length",
            bytes: "POST / HTTP/1.1\r\ncontent-LENGTH: 12\r\n\r\n",
            framing: Ok(Some(Framing::Length(12))),
        },
        HeadCase {
            name: "chunks",
            bytes: "POST / HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n",
            framing: Ok(Some(Framing::Chunked)),
        },
        HeadCase { name: "not whole", bytes: "POST / HTTP/1.1\r\nHost: a\r\n", framing: Ok(None) },
        HeadCase {
            name: "both",
            bytes: "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
            framing: Err(HttpError::Ambiguous),
        },
        HeadCase {
            name: "two lengths",
            bytes: "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\n",
            framing: Err(HttpError::Ambiguous),
        },
        HeadCase {
            name: "another coding",
            bytes: "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
            framing: Err(HttpError::Ambiguous),
        },
        HeadCase {
            name: "a signed length",
            bytes: "POST / HTTP/1.1\r\nContent-Length: +3\r\n\r\n",
            framing: Err(HttpError::Malformed),
        },
        HeadCase {
            name: "two values in one field",
            bytes: "POST / HTTP/1.1\r\nContent-Length: 3, 3\r\n\r\n",
            framing: Err(HttpError::Malformed),
        },
        HeadCase {
            name: "no HTTP",
            bytes: "\u{16}\u{3}\u{1} hello\r\n\r\n",
            framing: Err(HttpError::Malformed),
        },
    ];
    for case in cases {
        let mut buffer = case.bytes.as_bytes().to_vec();
        let got = parse_request(&mut buffer, MAX_HEAD).map(|head| head.map(|h| h.framing));
        assert_eq!(got, case.framing, "{}", case.name);
    }
    let mut long = format!("GET / HTTP/1.1\r\nx: {}", "y".repeat(MAX_HEAD)).into_bytes();
    assert_eq!(parse_request(&mut long, MAX_HEAD), Err(HttpError::HeadTooLarge));
}

#[test]
fn interim_responses_are_skipped() {
    let bytes = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    let mut buffer = bytes.as_bytes().to_vec();
    let head = parse_response(&mut buffer, MAX_HEAD).expect("well formed").expect("whole");
    assert_eq!((head.status, head.framing, head.keep_alive), (200, Framing::Length(2), true));
    assert_eq!(buffer, b"ok");
}

#[test]
fn only_a_delimited_response_leaves_a_reusable_connection() {
    for (bytes, keep) in [
        ("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", true),
        ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", true),
        ("HTTP/1.1 200 OK\r\n\r\n", false),
        ("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: Close\r\n\r\n", false),
        ("HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\n", false),
    ] {
        let mut buffer = bytes.as_bytes().to_vec();
        let head = parse_response(&mut buffer, MAX_HEAD).expect("well formed").expect("whole");
        assert_eq!(head.keep_alive, keep, "{bytes:?}");
    }
}

struct BodyCase {
    name: &'static str,
    framing: Framing,
    bytes: &'static str,
    /// The decoded body, whether it is complete, and the remaining input; `None` if the framing is
    /// malformed.
    expected: Option<(&'static str, bool, &'static str)>,
}

#[test]
fn a_body_ends_where_its_framing_says() {
    let cases = [
        BodyCase {
            name: "length",
            framing: Framing::Length(3),
            bytes: "abcdef",
            expected: Some(("abc", true, "def")),
        },
        BodyCase {
            name: "length, short",
            framing: Framing::Length(9),
            bytes: "abc",
            expected: Some(("abc", false, "")),
        },
        BodyCase {
            name: "chunks",
            framing: Framing::Chunked,
            bytes: "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nt: u\r\n\r\nrest",
            expected: Some(("abcde", true, "rest")),
        },
        BodyCase {
            name: "chunks, no end",
            framing: Framing::Chunked,
            bytes: "3\r\nabc\r\n",
            expected: Some(("abc", false, "")),
        },
        BodyCase {
            name: "a chunk that is longer than it says",
            framing: Framing::Chunked,
            bytes: "3\r\nabcd\r\n0\r\n\r\n",
            expected: None,
        },
        BodyCase { name: "no size", framing: Framing::Chunked, bytes: "xyz\r\n", expected: None },
        BodyCase {
            name: "a signed size",
            framing: Framing::Chunked,
            bytes: "+3\r\nabc",
            expected: None,
        },
        BodyCase {
            name: "a bare newline",
            framing: Framing::Chunked,
            bytes: "3\nabc\r\n",
            expected: None,
        },
        BodyCase {
            name: "close",
            framing: Framing::UntilClose,
            bytes: "abc",
            expected: Some(("abc", false, "")),
        },
    ];
    for case in cases {
        // The result does not depend on how the input is split.
        for step in [1, 2, 5, case.bytes.len()] {
            let (mut input, mut body) = (Vec::new(), Vec::new());
            let mut decoder = BodyDecoder::new(case.framing);
            let parts = case.bytes.as_bytes().chunks(step);
            let taken: Result<Vec<()>, HttpError> = parts
                .map(|part| {
                    input.extend_from_slice(part);
                    decoder.decode(&mut input, &mut body)
                })
                .collect();
            let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
            let got = taken.ok().map(|_| (text(&body), decoder.done(), text(&input)));
            let expected = case
                .expected
                .map(|(b, done, remaining)| (b.to_owned(), done, remaining.to_owned()));
            assert_eq!(got, expected, "{} in steps of {step}", case.name);
        }
    }
}

struct EventCase {
    name: &'static str,
    bytes: &'static str,
    after: Option<u64>,
    forwarded: &'static str,
    last: Option<u64>,
    gap: bool,
    remaining: &'static str,
}

#[test]
fn only_complete_new_events_are_forwarded() {
    let cases = [
        EventCase {
            name: "two and a half",
            bytes: "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda",
            after: None,
            forwarded: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
            last: Some(2),
            gap: false,
            remaining: "id: 3\nda",
        },
        EventCase {
            name: "seen before",
            bytes: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
            after: Some(1),
            forwarded: "id: 2\ndata: b\n\n",
            last: Some(2),
            gap: false,
            remaining: "",
        },
        EventCase {
            name: "one is missing",
            bytes: "id: 4\ndata: a\n\n",
            after: Some(2),
            forwarded: "id: 4\ndata: a\n\n",
            last: Some(4),
            gap: true,
            remaining: "",
        },
        EventCase {
            name: "without an id",
            bytes: "data: a\n\n",
            after: Some(2),
            forwarded: "data: a\n\n",
            last: Some(2),
            gap: false,
            remaining: "",
        },
    ];
    for case in cases {
        let mut buffer = case.bytes.as_bytes().to_vec();
        let taken = take_events(&mut buffer, case.after);
        assert_eq!(String::from_utf8_lossy(&taken.bytes), case.forwarded, "{}", case.name);
        assert_eq!((taken.last, taken.gap), (case.last, case.gap), "{}", case.name);
        assert_eq!(String::from_utf8_lossy(&buffer), case.remaining, "{}", case.name);
    }
}

/// Bytes without end that are parsed as they arrive.
struct EndlessCase {
    name: &'static str,
    begin: &'static str,
    again: &'static str,
}

/// Guards against interim responses and fields without end: each part was complete and removed, so
/// that no limit on the size of a head was ever reached.
#[test]
fn a_head_without_end_is_too_large() {
    let cases = [
        EndlessCase { name: "fields", begin: "HTTP/1.1 200 OK\r\n", again: "x: y\r\n" },
        EndlessCase { name: "a reason", begin: "HTTP/1.1 200 ", again: "abc" },
        EndlessCase { name: "interim", begin: "", again: "HTTP/1.1 102 Processing\r\n\r\n" },
    ];
    for case in cases {
        let mut buffer = case.begin.as_bytes().to_vec();
        let mut received = buffer.len();
        let error = loop {
            buffer.extend_from_slice(case.again.as_bytes());
            received += case.again.len();
            match parse_response(&mut buffer, MAX_HEAD) {
                Ok(head) => assert_eq!(head, None, "{}", case.name),
                Err(error) => break error,
            }
            assert!(received <= 2 * MAX_HEAD, "{}: {received} bytes", case.name);
        };
        let too_large = [HttpError::HeadTooLarge, HttpError::Malformed];
        assert!(too_large.contains(&error), "{}: {error}", case.name);
    }
}

/// Guards against trailer fields without end, which are removed one by one.
#[test]
fn trailers_without_end_are_refused() {
    let (mut decoder, mut body) = (BodyDecoder::new(Framing::Chunked), Vec::new());
    let mut input = b"0\r\n".to_vec();
    let refused = (0..10_000).any(|_| {
        input.extend_from_slice(b"x: y\r\n");
        decoder.decode(&mut input, &mut body).is_err()
    });
    assert!(refused);
}

proptest! {
    /// A body in chunks is the same in whatever pieces it arrives.
    #[test]
    fn pieces_of_a_chunked_body_do_not_matter(
        chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 1..50), 0..20),
        pieces in prop::collection::vec(1..40_usize, 1..20),
    ) {
        let mut bytes = Vec::new();
        for chunk in &chunks {
            write_chunk(&mut bytes, chunk);
        }
        bytes.extend_from_slice(LAST_CHUNK);
        bytes.extend_from_slice(b"rest");
        let (mut decoder, mut input, mut body) =
            (BodyDecoder::new(Framing::Chunked), Vec::new(), Vec::new());
        let (mut left, mut sizes) = (bytes.as_slice(), pieces.iter().cycle());
        while !left.is_empty() {
            let (piece, after) = left.split_at(sizes.next().map_or(1, |size| *size).min(left.len()));
            input.extend_from_slice(piece);
            decoder.decode(&mut input, &mut body).expect("well formed");
            left = after;
        }
        prop_assert!(decoder.done());
        prop_assert_eq!(body, chunks.concat());
        prop_assert_eq!(input, b"rest");
    }

    /// Events are the same whether or not what has been searched is searched again.
    #[test]
    fn events_are_found_in_pieces(pieces in prop::collection::vec("[a\n]{0,4}", 0..30)) {
        let (mut again, mut once, mut searched) = (Vec::new(), Vec::new(), 0);
        for piece in pieces {
            again.extend_from_slice(piece.as_bytes());
            once.extend_from_slice(piece.as_bytes());
            let found = take_new_events(&mut once, None, searched);
            searched = once.len();
            prop_assert_eq!(found, take_events(&mut again, None));
        }
    }
}
