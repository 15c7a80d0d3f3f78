//! What is sent, by name.

use roseshore_harness::fleets::{CARDS, CHAT, CUSTOMER, NOTE};

/// How a request is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// An answer as a stream.
    Stream,
    /// An answer at once.
    Answer,
    /// A lookup.
    Lookup,
    /// A call without a key.
    Call,
    /// A call under an idempotency key.
    Keyed,
}

/// Requests of one kind.
#[derive(Clone, Debug)]
pub struct Part {
    /// How it is shown.
    pub name: String,
    /// How they are made.
    pub kind: Kind,
    /// Whose they are.
    pub organisation: String,
    /// The service.
    pub service: String,
    /// Their part of the rate, relative to the others.
    pub weight: f64,
    /// Tokens of a prompt.
    pub prompt: usize,
    /// Tokens of an answer.
    pub tokens: u32,
    /// Names that are looked up, in turn.
    pub names: usize,
}

/// What is sent together.
#[derive(Clone, Debug)]
pub struct Mix {
    /// Its name.
    pub name: &'static str,
    /// What it is made of.
    pub parts: Vec<Part>,
}

/// The names of the mixes.
pub const MIXES: [&str; 5] = ["streams", "long", "installs", "calls", "mixed"];

/// Streams of a length by one organisation.
pub fn streams(organisation: &str, tokens: u32, weight: f64) -> Part {
    Part {
        name: format!("{organisation} streams"),
        kind: Kind::Stream,
        organisation: organisation.to_owned(),
        service: CHAT.to_owned(),
        weight,
        prompt: 8,
        tokens,
        names: 0,
    }
}

fn lookups(weight: f64) -> Part {
    let part = streams(CUSTOMER, 0, weight);
    Part { name: "lookups".into(), kind: Kind::Lookup, service: CARDS.into(), names: 200, ..part }
}

fn calls(kind: Kind, weight: f64) -> Part {
    let name = if kind == Kind::Keyed { "keyed calls" } else { "calls" };
    Part { name: name.into(), kind, service: NOTE.into(), ..streams(CUSTOMER, 0, weight) }
}

fn answers(weight: f64) -> Part {
    let part = streams(CUSTOMER, 20, weight);
    Part { name: "answers".into(), kind: Kind::Answer, ..part }
}

/// A mix by its name, over the services of the harness's fleets; `None` for another name.
pub fn mix(name: &str) -> Option<Mix> {
    let parts = match name {
        "streams" => vec![streams(CUSTOMER, 20, 1.0)],
        "long" => vec![streams(CUSTOMER, 300, 1.0)],
        "installs" => vec![lookups(50.0), streams(CUSTOMER, 20, 1.0)],
        "calls" => vec![calls(Kind::Call, 1.0), calls(Kind::Keyed, 1.0)],
        "mixed" => vec![
            streams(CUSTOMER, 20, 4.0),
            answers(1.0),
            lookups(20.0),
            calls(Kind::Call, 1.0),
            calls(Kind::Keyed, 1.0),
        ],
        _ => return None,
    };
    let name = MIXES.iter().find(|known| **known == name)?;
    Some(Mix { name, parts })
}
