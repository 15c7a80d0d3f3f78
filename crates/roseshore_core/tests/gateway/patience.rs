//! How long callers of streams stay without an event.

use roseshore_core::gateway::{CallKind, Route, patience};
use roseshore_core::prelude::*;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn route(objective: Duration, pause: Option<Duration>) -> Route {
    Route {
        name: "stream".to_owned(),
        host: "shop.example".to_owned(),
        prefix: "/stream/".to_owned(),
        kind: CallKind::Stream { resumable: true },
        timeout: Duration::from_mins(1),
        objective,
        priority: 0,
        services: Vec::new(),
        attempts: 2,
        anonymous: true,
        pause,
    }
}

struct Case {
    name: &'static str,
    objective: Duration,
    pause: Option<Duration>,
    borne: Duration,
}

#[test]
fn a_stream_is_kept_until_shortly_before_its_caller_leaves() {
    let case = |name, objective, pause, borne| Case { name, objective, pause, borne };
    let cases = [
        case("at least", ms(300), Some(ms(200)), ms(2_000)),
        case("no pause named", ms(300), None, ms(2_000)),
        case("by its objective", ms(900), Some(ms(200)), ms(3_600)),
        case("by its pauses", ms(600), Some(ms(500)), ms(4_000)),
    ];
    let latest = Instant::now();
    for case in cases {
        let route = route(case.objective, case.pause);
        assert_eq!(patience::borne(&route), case.borne, "{}", case.name);
        let kept = patience::kept_until(&route, latest);
        // Room that comes 0.2 s before the caller leaves is of use.
        assert!(kept < latest + case.borne, "{}", case.name);
        assert!(kept + ms(200) >= latest + case.borne, "{}", case.name);
    }
}
