//! The rules of HTTP messages that libraries leave to their callers.

use roseshore_wire::http::{ResponseKind, chunk_size, response_kind, trim};

#[test]
fn a_response_has_a_status_of_the_protocol() {
    let kinds = |range: std::ops::RangeInclusive<u16>| range.map(response_kind);
    assert!(kinds(200..=599).all(|kind| kind == Some(ResponseKind::Final)));
    assert!(kinds(102..=199).all(|kind| kind == Some(ResponseKind::Interim)));
    assert_eq!(response_kind(100), Some(ResponseKind::Interim));
    assert!(kinds(0..=99).chain(kinds(600..=u16::MAX)).all(|kind| kind.is_none()));
    assert_eq!(response_kind(101), None, "nothing here asks for another protocol");
}

#[test]
fn white_space_is_blanks_and_tabs() {
    assert_eq!(trim(" \t3\t "), "3");
    for other in ["\u{a0}3", "3\u{85}", "\u{b}3", "3\r", "\u{2003}3"] {
        assert_eq!(trim(other), other, "{other:?}");
    }
}

struct SizeCase {
    line: &'static str,
    size: Option<u64>,
}

#[test]
fn a_chunk_s_size_is_hexadecimal() {
    let cases = [
        SizeCase { line: "1f", size: Some(31) },
        SizeCase { line: "1F \t", size: Some(31) },
        SizeCase { line: "1f ;a=\"b c\"", size: Some(31) },
        SizeCase { line: "ffffffffffffffff", size: Some(u64::MAX) },
        SizeCase { line: "10000000000000000", size: None },
        SizeCase { line: "", size: None },
        SizeCase { line: ";a=b", size: None },
        SizeCase { line: " 1f", size: None },
        SizeCase { line: "\u{b}1f", size: None },
        SizeCase { line: "1f\u{a0}", size: None },
        SizeCase { line: "0x1f", size: None },
        SizeCase { line: "+1f", size: None },
    ];
    for case in cases {
        assert_eq!(chunk_size(case.line.as_bytes()), case.size, "{:?}", case.line);
    }
}
