//! Compares the throughput and latency of HTTP clients for a lookup, in one run.
//!
//! Each client is driven by the same number of threads against one fake service. The clients take
//! turns in short rounds, so that other load on the machine affects all of them alike. Prints
//! lookups per second and the 50th and 99th percentile of latency in microseconds, each the median
//! over the rounds.

use roseshore_adapters::service::HttpServices;
use roseshore_core::fleet::ServiceKind;
use roseshore_core::prelude::*;
use roseshore_fakes::service::records::Source;
use roseshore_fakes::service::{ServiceFake, ServiceSettings};
use roseshore_ports::inside::{
    ActiveConfig, Chain, ChainNeeds, ConfigSource, Permit, Replica, RequestInfo, Router,
};
use roseshore_ports::outside::{CallContext, Services};
use roseshored::lookups::{LookupDeps, Lookups};
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

const ROUNDS: usize = 5;
const ROUND: Duration = Duration::from_millis(800);
const LIMIT: Duration = Duration::from_secs(5);
const THREADS: [usize; 2] = [1, 8];

struct OneFleet(ActiveConfig);

impl ConfigSource for OneFleet {
    fn current(&self) -> Option<ActiveConfig> {
        Some(self.0.clone())
    }
}

struct OneReplica(Replica);

impl Router for OneReplica {
    fn chain(&self, _: &ChainNeeds) -> Result<(Chain, Permit), Refusal> {
        Err(Refusal::not_run(Code::NoRoute, "no chains here"))
    }

    fn replica(&self, _: &str, avoid: &[TargetId]) -> Result<(Replica, Permit), Refusal> {
        if avoid.is_empty() {
            return Ok((self.0.clone(), Permit::new(|| ())));
        }
        Err(Refusal::not_run(Code::NoRoute, "no other replica"))
    }

    fn failed(&self, _: &TargetId) {}

    fn record_latency(&self, _: &TargetId, _: Duration) {}
}

type Client = Box<dyn Fn() + Send + Sync>;

fn context() -> CallContext {
    CallContext { deadline: Instant::now() + LIMIT, trace: None, request: "r".to_owned() }
}

fn minreq_client(addr: SocketAddr) -> Client {
    Box::new(move || {
        let url = format!("http://{addr}/v1/lookup/certs/pkg-7");
        let request = minreq::get(url).with_header("Connection", "close");
        let reply = request.with_follow_redirects(false).with_timeout(5).send().unwrap();
        assert_eq!(reply.status_code, 200);
    })
}

/// `minreq` starts a thread for each request unless it has no timeout.
fn untimed_client(addr: SocketAddr) -> Client {
    Box::new(move || {
        let url = format!("http://{addr}/v1/lookup/certs/pkg-7");
        let request = minreq::get(url).with_header("Connection", "close");
        assert_eq!(request.with_follow_redirects(false).send().unwrap().status_code, 200);
    })
}

fn kept_client(addr: SocketAddr) -> Client {
    let services = HttpServices::default();
    Box::new(move || {
        assert_eq!(services.lookup(addr, "certs", "pkg-7", &context()).unwrap().status, 200);
    })
}

fn whole_client(addr: SocketAddr) -> Client {
    let service = Service {
        kind: ServiceKind::Lookup,
        model: None,
        sources: vec!["certs".to_owned()],
        idempotent: true,
        advisory: false,
        deadline: LIMIT,
    };
    let services = [("cards".to_owned(), service)].into();
    let fleet = Arc::new(Fleet { services, ..Fleet::default() });
    let deps = LookupDeps {
        fleets: Arc::new(OneFleet(ActiveConfig { fleet, offset: 1, digest: 1 })),
        router: Arc::new(OneReplica(Replica { target: "t".to_owned(), addr })),
        services: Arc::new(HttpServices::default()),
    };
    let lookups = Lookups::new(256);
    Box::new(move || {
        let arrived = Instant::now();
        let request = RequestInfo {
            request: "r".to_owned(),
            organisation: "o".to_owned(),
            service: "cards".to_owned(),
            deadline: arrived + LIMIT,
            arrived,
            priority: 4,
            cost: 1,
        };
        assert_eq!(lookups.run(&deps, &request, "pkg-7", None).unwrap().status, 200);
    })
}

/// The latencies of all lookups in one round.
fn round(client: &Client, threads: usize) -> Vec<Duration> {
    let end = Instant::now() + ROUND;
    let drive = || {
        let mut times = Vec::new();
        while Instant::now() < end {
            let started = Instant::now();
            client();
            times.push(started.elapsed());
        }
        times
    };
    thread::scope(|scope| {
        let running: Vec<_> = (0..threads).map(|_| scope.spawn(drive)).collect();
        running.into_iter().flat_map(|t| t.join().unwrap()).collect()
    })
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

fn main() {
    let source = Source { name: "certs".to_owned(), percent: 100, ..Source::default() };
    let settings = ServiceSettings { sources: vec![source], ..ServiceSettings::default() };
    let fake = ServiceFake::start(settings).unwrap();
    let addr = fake.addr();
    let clients: [(&str, Client); 4] = [
        ("minreq, connection per lookup", minreq_client(addr)),
        ("minreq without a timeout", untimed_client(addr)),
        ("ureq, kept connections", kept_client(addr)),
        ("the whole driver over ureq", whole_client(addr)),
    ];
    println!("| threads | way | lookups/s | p50 us | p99 us |\n|---|---|---|---|---|");
    for threads in THREADS {
        let mut figures = vec![Vec::new(); clients.len()];
        for _ in 0..ROUNDS {
            for (index, (_, client)) in clients.iter().enumerate() {
                let mut times = round(client, threads);
                times.sort();
                let at = |part: usize| times[times.len() * part / 100].as_secs_f64() * 1e6;
                let rate = times.len() as f64 / ROUND.as_secs_f64();
                figures[index].push([rate, at(50), at(99)]);
            }
        }
        for (index, (name, _)) in clients.iter().enumerate() {
            let of = |i: usize| median(figures[index].iter().map(|f| f[i]).collect());
            println!("| {threads} | {name} | {:.0} | {:.0} | {:.0} |", of(0), of(1), of(2));
        }
    }
}
