//! The rules of HTTP messages that libraries leave to their callers.

use roseshore_wire::http::{ResponseKind, chunk_size, is_trailer_field, response_kind, trim};

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
        SizeCase { line: "1f;a\u{1}", size: None },
        SizeCase { line: "1f;a=b\u{7f}", size: None },
        SizeCase { line: "1f;a=\u{e9}\t", size: Some(31) },
    ];
    for case in cases {
        assert_eq!(chunk_size(case.line.as_bytes()), case.size, "{:?}", case.line);
    }
}

struct TrailerCase {
    line: &'static str,
    valid: bool,
}

#[test]
fn a_trailer_field_has_a_name_and_a_value() {
    let cases = [
        TrailerCase { line: "a: b", valid: true },
        TrailerCase { line: "x-1_~:", valid: true },
        TrailerCase { line: "a:\tb \u{e9}: c", valid: true },
        TrailerCase { line: "a", valid: false },
        TrailerCase { line: ": b", valid: false },
        TrailerCase { line: "a : b", valid: false },
        TrailerCase { line: "a b: c", valid: false },
        TrailerCase { line: " a: b", valid: false },
        TrailerCase { line: "(a): b", valid: false },
        TrailerCase { line: "\u{e9}: b", valid: false },
        TrailerCase { line: "a\u{1}: b", valid: false },
        TrailerCase { line: "a: b\u{0}", valid: false },
        TrailerCase { line: "a: b\rc: d", valid: false },
    ];
    for case in cases {
        assert_eq!(is_trailer_field(case.line.as_bytes()), case.valid, "{:?}", case.line);
    }
}
