//! How the era of a store's reply is judged.

use roseshore_core::gateway::position::ReplyEra;

/// A reply at a host that knows era 3.
struct Case {
    name: &'static str,
    asked: Option<u64>,
    told: Option<u64>,
    fresh: bool,
    want: ReplyEra,
}

#[test]
fn a_reply_is_judged_by_its_era() {
    let case = |name, asked, told, fresh, want| Case { name, asked, told, fresh, want };
    let cases = [
        case("none is told or asked", None, None, false, ReplyEra::Known),
        case("the one that is known", Some(3), Some(3), false, ReplyEra::Known),
        case("asked with an offset, none told", Some(3), None, false, ReplyEra::Known),
        case("an earlier one", None, Some(2), false, ReplyEra::Stale),
        case("an earlier one, nothing read", None, Some(2), true, ReplyEra::Stale),
        case("asked before the store went back", Some(2), Some(3), false, ReplyEra::Stale),
        case("asked before it, none told", Some(2), None, false, ReplyEra::Stale),
        case("a later one", Some(3), Some(4), false, ReplyEra::Later(4)),
        case("a later one, nothing read", None, Some(4), true, ReplyEra::First(4)),
    ];
    for case in cases {
        let got = ReplyEra::of(3, case.asked, case.told, case.fresh);
        assert_eq!(got, case.want, "{}", case.name);
    }
}
