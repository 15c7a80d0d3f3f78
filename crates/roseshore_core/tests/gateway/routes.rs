//! Tests of routes, keys and the lease on the configuration.

use roseshore_core::gateway::demand::Rank;
use roseshore_core::gateway::routes::{AcceptedRequest, Denied};
use roseshore_core::gateway::{
    CallKind, ConfigLease, OrganisationSpec, RequestLimits, Route, ServiceSpec, Snapshot,
    WeightedService,
};
use roseshore_core::prelude::*;

fn route(name: &str, host: &str, prefix: &str, anonymous: bool) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: CallKind::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(300),
        priority: 0,
        services: vec![
            WeightedService { service: "a".to_owned(), weight: 90.0 },
            WeightedService { service: "b".to_owned(), weight: 10.0 },
        ],
        max_attempts: 2,
        anonymous,
        max_gap: None,
    }
}

fn snapshot() -> Snapshot {
    let routes = vec![
        route("root", "shop.example", "/", true),
        route("api", "shop.example", "/api/", false),
        route("deep", "shop.example", "/api/v2/", false),
        route("other", "else.example", "/api/", false),
    ];
    let service =
        |name: &str| ServiceSpec { name: name.to_owned(), max_connections: None, engine: None };
    let acme = OrganisationSpec {
        name: "acme".to_owned(),
        keys: vec!["k-1".to_owned(), "k-2".to_owned()],
        priority: None,
    };
    Snapshot::new(3, routes, vec![service("a"), service("b")], vec![acme], RequestLimits::default())
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    struct Case {
        host: &'static str,
        path: &'static str,
        route: Result<&'static str, Denied>,
    }
    let cases = [
        Case { host: "shop.example", path: "/x", route: Ok("root") },
        Case { host: "shop.example", path: "/api/x", route: Ok("api") },
        Case { host: "shop.example", path: "/api/v2/x?y=/z/", route: Ok("deep") },
        Case { host: "shop.example", path: "/api?/v2/", route: Ok("root") },
        Case { host: "SHOP.example:8080", path: "/api/v2/", route: Ok("deep") },
        Case { host: "else.example", path: "/x", route: Err(Denied::NoRoute) },
        Case { host: "none.example", path: "/api/", route: Err(Denied::NoRoute) },
        Case { host: "", path: "/", route: Err(Denied::NoRoute) },
    ];
    let snapshot = snapshot();
    for case in cases {
        let found = snapshot.route(case.host, case.path).map(|r| r.name.as_str());
        assert_eq!(found, case.route, "{} {}", case.host, case.path);
    }
}

#[test]
fn keys_belong_to_organisations() {
    let snapshot = snapshot();
    let open = snapshot.route("shop.example", "/x").expect("a route").clone();
    let closed = snapshot.route("shop.example", "/api/").expect("a route").clone();
    assert!(snapshot.authorise(&open, None).expect("allowed").is_none());
    let found = snapshot.authorise(&closed, Some("k-2")).expect("allowed");
    assert_eq!(found.map(|o| o.name.as_str()), Some("acme"));
    for key in [None, Some(""), Some("k-3")] {
        assert_eq!(snapshot.authorise(&closed, key).map(|_| ()), Err(Denied::BadKey), "{key:?}");
    }
}

/// Organisations, and the keys that they accept.
struct KeysCase {
    name: &'static str,
    /// The keys of each organisation.
    organisations: &'static [&'static [&'static str]],
    /// Keys, and whether a request with one is accepted.
    keys: &'static [(Option<&'static str>, bool)],
}

/// Guards against routes that become anonymous once the last key is removed: requests with the
/// removed key, with one that was never known and without any ran from then on.
#[test]
fn no_key_is_accepted_for_want_of_known_ones() {
    let cases = [
        KeysCase {
            name: "the only organisation has lost its only key",
            organisations: &[&[]],
            keys: &[(Some("k-1"), false), (Some("never"), false), (Some(""), false), (None, false)],
        },
        KeysCase {
            name: "all organisations have lost their keys",
            organisations: &[&[], &[]],
            keys: &[(Some("k-1"), false), (None, false)],
        },
        KeysCase {
            name: "another organisation has a key",
            organisations: &[&[], &["k-2"]],
            keys: &[(Some("k-1"), false), (Some("k-2"), true), (None, false)],
        },
        KeysCase {
            name: "an empty key",
            organisations: &[&[""]],
            keys: &[(Some(""), false), (None, false)],
        },
        KeysCase {
            name: "no organisation is left",
            organisations: &[],
            keys: &[(Some("k-1"), false), (Some("never"), false), (Some(""), true), (None, true)],
        },
    ];
    for case in cases {
        let of = |(n, keys): (usize, &&[&str])| OrganisationSpec {
            name: n.to_string(),
            keys: keys.iter().map(|&key| key.to_owned()).collect(),
            priority: None,
        };
        let organisations = case.organisations.iter().enumerate().map(of).collect();
        let routes = vec![
            Route { priority: 1, ..route("api", "shop.example", "/api/", false) },
            route("root", "shop.example", "/", true),
        ];
        let limits = RequestLimits::default();
        let snapshot = Snapshot::new(1, routes, Vec::new(), organisations, limits);
        let path = |path| snapshot.route("shop.example", path).expect("a route");
        // One for the anonymous route, and one for the other if any request is accepted there.
        let ranks = 1 + usize::from(case.keys.iter().any(|(_, accepted)| *accepted));
        assert_eq!(snapshot.ranks("a").len(), ranks, "{}", case.name);
        for (key, accepted) in case.keys {
            let allowed = snapshot.authorise(path("/api/"), *key).is_ok();
            assert_eq!(allowed, *accepted, "{}: {key:?}", case.name);
            assert!(snapshot.authorise(path("/"), *key).is_ok(), "{}: anonymous", case.name);
        }
    }
}

#[test]
fn a_request_s_service_is_drawn_by_weight_and_stays_the_same() {
    let route = route("r", "h", "/", true);
    let drawn = |n: u32| route.service(&format!("attempt-{n}")).expect("a service").clone();
    let to_b = (0..2000).filter(|n| drawn(*n) == "b").count();
    assert!((120..280).contains(&to_b), "{to_b} of 2000 for a tenth");
    assert!((0..100).all(|n| drawn(n) == drawn(n)));
    let mut none = route.clone();
    none.services.clear();
    assert_eq!(none.service("x"), None);
}

#[test]
fn a_configuration_is_held_on_a_lease() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut lease = ConfigLease::new(Duration::from_secs(5));
    assert!(!lease.is_valid(at(0)), "no read has renewed it yet");
    lease.renew(at(1000));
    assert!(lease.is_valid(at(5000)));
    assert!(!lease.is_valid(at(5300)), "a margin is kept for requests in flight");
    lease.renew(at(500));
    assert_eq!(lease.age(at(2000)), Some(Duration::from_secs(1)), "older reads change nothing");
    lease.renew(at(6000));
    assert!(lease.is_valid(at(6100)));
}

#[test]
fn a_request_that_waits_is_checked_against_a_new_configuration() {
    let accepted = AcceptedRequest {
        route: "api",
        service: "a",
        host: "shop.example",
        path: "/api/x",
        key: Some("k-1"),
        organisation: Some("acme"),
    };
    let organisation = |name: &str, key: &str| OrganisationSpec {
        name: name.to_owned(),
        keys: vec![key.to_owned()],
        priority: None,
    };
    let service = ServiceSpec { name: "a".to_owned(), max_connections: None, engine: None };
    let with = |routes: &[&str], services: Vec<ServiceSpec>, owner: OrganisationSpec| {
        let routes = routes.iter().map(|name| route(name, "shop.example", "/api/", false));
        Snapshot::new(4, routes.collect(), services, vec![owner], RequestLimits::default())
    };
    let acme = || organisation("acme", "k-1");
    let cases = [
        ("unchanged", with(&["api"], vec![service.clone()], acme()), true),
        ("no route", with(&[], vec![service.clone()], acme()), false),
        ("another route", with(&["new"], vec![service.clone()], acme()), false),
        ("no service", with(&["api"], vec![], acme()), false),
        ("another key", with(&["api"], vec![service.clone()], organisation("acme", "k-9")), false),
        (
            "another owner",
            with(&["api"], vec![service.clone()], organisation("else", "k-1")),
            false,
        ),
        (
            "the last key removed",
            with(&["api"], vec![service], OrganisationSpec { keys: Vec::new(), ..acme() }),
            false,
        ),
    ];
    for (name, snapshot, expected) in cases {
        assert_eq!(snapshot.still_accepts(&accepted), expected, "{name}");
    }
}

#[test]
fn the_ranks_of_a_service_come_from_its_routes_and_organisations() {
    struct Case {
        name: &'static str,
        /// Priority of each route, and whether it is anonymous.
        routes: &'static [(u32, bool)],
        organisations: &'static [Option<u32>],
        ranks: &'static [(Option<u32>, u32)],
        routes_differ: bool,
    }
    let cases = [
        Case {
            name: "routes alone",
            routes: &[(2, false), (1, false), (2, false)],
            organisations: &[],
            ranks: &[(None, 1), (None, 2)],
            routes_differ: true,
        },
        Case {
            name: "organisations first",
            routes: &[(1, false), (2, false)],
            organisations: &[None, Some(0), Some(0)],
            ranks: &[(Some(0), 1), (Some(0), 2), (None, 1), (None, 2)],
            routes_differ: true,
        },
        Case {
            name: "organisations alone",
            routes: &[(1, false), (1, false)],
            organisations: &[Some(1), Some(0)],
            ranks: &[(Some(0), 1), (Some(1), 1)],
            routes_differ: false,
        },
        Case {
            name: "a route without keys",
            routes: &[(1, true)],
            organisations: &[Some(0)],
            ranks: &[(None, 1)],
            routes_differ: false,
        },
        Case {
            name: "absurd priorities",
            routes: &[(u32::MAX, false), (9999, false)],
            organisations: &[],
            ranks: &[(None, 254)],
            routes_differ: false,
        },
    ];
    for case in cases {
        let routes = case.routes.iter().map(|(priority, anonymous)| Route {
            priority: *priority,
            ..route("r", "shop.example", "/", *anonymous)
        });
        let organisations =
            case.organisations.iter().enumerate().map(|(id, priority)| OrganisationSpec {
                name: id.to_string(),
                keys: vec![id.to_string()],
                priority: *priority,
            });
        let (routes, organisations) = (routes.collect(), organisations.collect());
        let snapshot =
            Snapshot::new(1, routes, Vec::new(), organisations, RequestLimits::default());
        let expected: Vec<Rank> =
            case.ranks.iter().map(|(owner, route)| Rank::new(*owner, *route)).collect();
        assert_eq!(snapshot.ranks("a"), expected, "{}", case.name);
        assert_eq!(Rank::routes_differ(&expected), case.routes_differ, "{}", case.name);
        assert_eq!(snapshot.ranks("none"), [], "{}", case.name);
    }
}
