//! How the era of a store's reply is judged.

use roseshore_core::gateway::position::ReplyEra;

/// A reply at a host that knows era 3.
struct Case {
    name: &'static str,
    requested: Option<u64>,
    replied: Option<u64>,
    fresh: bool,
    want: ReplyEra,
}

#[test]
fn a_reply_is_judged_by_its_era() {
    let case =
        |name, requested, replied, fresh, want| Case { name, requested, replied, fresh, want };
    let cases = [
        case("neither replied nor requested", None, None, false, ReplyEra::Known),
        case("the known one", Some(3), Some(3), false, ReplyEra::Known),
        case("an offset requested, none replied", Some(3), None, false, ReplyEra::Known),
        case("an earlier one", None, Some(2), false, ReplyEra::Stale),
        case("an earlier one, nothing read", None, Some(2), true, ReplyEra::Stale),
        case("requested before the store was restored", Some(2), Some(3), false, ReplyEra::Stale),
        case("requested before that, none replied", Some(2), None, false, ReplyEra::Stale),
        case("a later one", Some(3), Some(4), false, ReplyEra::Later(4)),
        case("a later one, nothing read", None, Some(4), true, ReplyEra::First(4)),
    ];
    for case in cases {
        let got = ReplyEra::of(3, case.requested, case.replied, case.fresh);
        assert_eq!(got, case.want, "{}", case.name);
    }
}
