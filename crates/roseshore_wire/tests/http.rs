//! The rules of HTTP messages that libraries leave to their callers.

use roseshore_wire::http::{ResponseKind, response_kind};

#[test]
fn a_response_has_a_status_of_the_protocol() {
    let kinds = |range: std::ops::RangeInclusive<u16>| range.map(response_kind);
    assert!(kinds(200..=599).all(|kind| kind == Some(ResponseKind::Final)));
    assert!(kinds(102..=199).all(|kind| kind == Some(ResponseKind::Interim)));
    assert_eq!(response_kind(100), Some(ResponseKind::Interim));
    assert!(kinds(0..=99).chain(kinds(600..=u16::MAX)).all(|kind| kind.is_none()));
    assert_eq!(response_kind(101), None, "nothing here asks for another protocol");
}
