//! Sends the arrivals of a mix and measures them.

use super::mixes::{Kind, Mix, Part};
use super::schedule::{Due, arrivals};
use super::tally::{End, Tally};
use roseshore_core::prelude::*;
use roseshore_harness::caller::{Caller, Chat, ClientReply, RequestOptions};
use std::fmt;
use std::net::SocketAddr;
use std::thread;

/// How long a caller waits beyond the deadline that it names.
const PATIENCE: Duration = Duration::from_secs(5);
/// The part of a run at its beginning that does not count for goodput.
const WARMING: f64 = 0.25;

/// A run.
#[derive(Clone, Debug)]
pub struct Load {
    /// The daemons, asked in turn.
    pub daemons: Vec<SocketAddr>,
    /// What is sent.
    pub mix: Mix,
    /// Requests a second.
    pub rate: f64,
    /// How long they arrive.
    pub span: Duration,
    /// The deadline that each names.
    pub deadline: Duration,
    /// Requests under way at once, at most; later ones wait here and count as late.
    pub workers: usize,
    /// What the arrivals are drawn from.
    pub seed: u64,
}

/// What became of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// By part of the mix, in its order.
    pub parts: Vec<Tally>,
    /// The names of the parts.
    pub names: Vec<String>,
    /// The time that goodput is counted in.
    pub counted: Duration,
}

impl Report {
    /// All parts together.
    pub fn all(&self) -> Tally {
        let mut all = Tally::default();
        self.parts.iter().for_each(|part| all.join(part));
        all
    }

    /// Tokens of whole answers a second.
    pub fn tokens(&self) -> f64 {
        self.all().tokens as f64 / self.counted.as_secs_f64()
    }

    /// Whole answers a second.
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
                    End::Refused(why) => write!(f, " {why}: {count}")?,
                    End::Broken(why) => write!(f, " broken, {why}: {count}")?,
                    End::Whole => {}
                }
            }
            writeln!(f)?;
        }
        Ok(())
    }
}

/// Runs a load to the end of its last request.
///
/// # Panics
/// When one of its threads does.
pub fn run(load: &Load) -> Report {
    let weights: Vec<f64> = load.mix.parts.iter().map(|part| part.weight).collect();
    let due = arrivals(load.rate, load.span, &weights, load.seed);
    let (sender, receiver) = flume::unbounded();
    for arrival in due.into_iter().enumerate() {
        // The receiver is held here, so the channel is open.
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
    Report { parts, names, counted: load.span.mul_f64(1.0 - WARMING) }
}

fn work(load: &Load, due: &flume::Receiver<(usize, Due)>, begun: Instant) -> Vec<Tally> {
    let caller = Caller::new(load.deadline + PATIENCE);
    let mut parts = vec![Tally::default(); load.mix.parts.len()];
    let counts = load.span.mul_f64(WARMING)..load.span;
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

/// Sends one request of a part.
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

/// A prompt of some tokens that no other request has.
pub fn prompt(unique: &str, tokens: usize) -> String {
    let words = (1..tokens).map(|n| format!(" w{n}"));
    std::iter::once(format!("p{unique}")).chain(words).collect()
}
