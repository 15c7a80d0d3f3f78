//! Sends the requests of a mix at their scheduled times and measures them.

use super::mixes::{Kind, Mix, Part};
use super::schedule::{Arrival, arrivals};
use super::tally::{Outcome, Tally};
use roseshore_core::prelude::*;
use roseshore_harness::caller::{Caller, Chat, ClientReply, RequestOptions};
use std::fmt;
use std::net::SocketAddr;
use std::thread;

/// Added to the request deadline to give the client timeout.
const TIMEOUT_MARGIN: Duration = Duration::from_secs(5);
/// Fraction of a run, from its start, that is excluded from goodput.
const WARMUP_FRACTION: f64 = 0.25;

/// Parameters of a load run.
#[derive(Clone, Debug)]
pub struct Load {
    /// Addresses of the daemons, used round-robin.
    pub daemons: Vec<SocketAddr>,
    /// The requests to send.
    pub mix: Mix,
    /// Mean arrival rate, requests per second.
    pub rate: f64,
    /// Period in which requests arrive; the run itself lasts until the last one ends.
    pub span: Duration,
    /// Deadline that each request carries.
    pub deadline: Duration,
    /// Maximum number of concurrent requests; further ones wait for a free worker, and the wait
    /// counts as lateness.
    pub workers: usize,
    /// Seed of the arrival schedule.
    pub seed: u64,
}

/// The results of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// Results of each part, in the order of the mix.
    pub parts: Vec<Tally>,
    /// Labels of the parts, in the same order.
    pub names: Vec<String>,
    /// Length of the measurement window, the run without its warm-up.
    pub counted: Duration,
}

impl Report {
    /// The sum over all parts.
    pub fn all(&self) -> Tally {
        let mut all = Tally::default();
        self.parts.iter().for_each(|part| all.join(part));
        all
    }

    /// Goodput, tokens per second.
    pub fn tokens(&self) -> f64 {
        self.all().tokens as f64 / self.counted.as_secs_f64()
    }

    /// Goodput, complete responses per second.
    pub fn answers(&self) -> f64 {
        self.all().good as f64 / self.counted.as_secs_f64()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "part | sent | whole/s | tokens/s | first | between | total, ms 50/95/99 | else"
        )?;
        let all = ("all".to_owned(), self.all());
        let parts = self.names.iter().cloned().zip(self.parts.iter().cloned());
        for (name, tally) in parts.chain([all]) {
            let seconds = self.counted.as_secs_f64();
            let (good, tokens) = (tally.good as f64 / seconds, tally.tokens as f64 / seconds);
            let Tally { sent, late, first, between, total, .. } = &tally;
            write!(
                f,
                "{name} | {sent} | {late} | {good:.1} | {tokens:.0} | {first} | {between} | {total} |"
            )?;
            for (end, count) in &tally.ends {
                match end {
                    Outcome::Refused(why) => write!(f, " {why}: {count}")?,
                    Outcome::Broken(why) => write!(f, " broken, {why}: {count}")?,
                    Outcome::Whole => {}
                }
            }
            writeln!(f)?;
        }
        Ok(())
    }
}

/// Sends a load and returns when its last request has ended.
///
/// # Panics
/// If a worker thread panics.
pub fn run(load: &Load) -> Report {
    let weights: Vec<f64> = load.mix.parts.iter().map(|part| part.weight).collect();
    let due = arrivals(load.rate, load.span, &weights, load.seed);
    let (sender, receiver) = flume::unbounded();
    for arrival in due.into_iter().enumerate() {
        // Cannot fail: the receiver is still in scope.
        let _ = sender.send(arrival);
    }
    drop(sender);
    let begun = Instant::now();
    let mut parts = vec![Tally::default(); load.mix.parts.len()];
    thread::scope(|scope| {
        let worker = || work(load, &receiver, begun);
        let workers: Vec<_> = (0..load.workers).map(|_| scope.spawn(worker)).collect();
        for worker in workers {
            let done = worker.join().expect("a worker does not panic");
            parts.iter_mut().zip(&done).for_each(|(all, own)| all.join(own));
        }
    });
    let names = load.mix.parts.iter().map(|part| part.name.clone()).collect();
    Report { parts, names, counted: load.span.mul_f64(1.0 - WARMUP_FRACTION) }
}

fn work(load: &Load, due: &flume::Receiver<(usize, Arrival)>, begun: Instant) -> Vec<Tally> {
    let caller = Caller::new(load.deadline + TIMEOUT_MARGIN);
    let mut parts = vec![Tally::default(); load.mix.parts.len()];
    let counts = load.span.mul_f64(WARMUP_FRACTION)..load.span;
    for (number, arrival) in due {
        thread::sleep((begun + arrival.at).saturating_duration_since(Instant::now()));
        let late = begun.elapsed().saturating_sub(arrival.at);
        let part = &load.mix.parts[arrival.part];
        let daemon = load.daemons[number % load.daemons.len()];
        let got = send(&caller, daemon, part, load, number);
        parts[arrival.part].add(&got, late, counts.contains(&begun.elapsed()));
    }
    parts
}

fn send(caller: &Caller, to: SocketAddr, part: &Part, load: &Load, number: usize) -> ClientReply {
    let unique = format!("{:x}-{number}", load.seed);
    let mut marks = RequestOptions::of(&part.organisation);
    marks.deadline = Some(load.deadline.as_millis() as u64);
    let prompt = prompt(&unique, part.prompt);
    let chat = Chat { service: &part.service, prompt: &prompt, tokens: part.tokens };
    match part.kind {
        Kind::Stream => caller.stream(to, &chat, &marks, |_| ()),
        Kind::Answer => caller.answer(to, &chat, &marks),
        Kind::Lookup => {
            let name = format!("pkg-{}", number % part.names.max(1));
            caller.lookup(to, &part.service, &name, &marks)
        }
        Kind::Call => caller.call(to, &part.service, &unique, &marks),
        Kind::Keyed => {
            let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
            let key = format!("{unique}@{}", since.unwrap_or_default().as_millis());
            caller.call(to, &part.service, &unique, &marks.keyed(&key))
        }
    }
}

/// A prompt of `tokens` words whose first word holds `unique`, so that no two requests share a
/// prefix.
pub fn prompt(unique: &str, tokens: usize) -> String {
    let words = (1..tokens).map(|n| format!(" w{n}"));
    std::iter::once(format!("p{unique}")).chain(words).collect()
}
