//! Named mixes of requests.

use roseshore_harness::fleets::{CARDS, CHAT, CUSTOMER, NOTE};

/// The kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A generated answer, streamed token by token.
    Stream,
    /// A generated answer in a single response.
    Answer,
    /// A lookup of a name.
    Lookup,
    /// A call without an idempotency key.
    Call,
    /// A call with an idempotency key.
    Keyed,
}

/// One part of a mix: requests of one kind by one organisation.
#[derive(Clone, Debug)]
pub struct Part {
    /// Label in the report.
    pub name: String,
    /// How its requests are sent.
    pub kind: Kind,
    /// The organisation that the requests are sent for.
    pub organisation: String,
    /// The service that is called.
    pub service: String,
    /// Share of the request rate, relative to the weights of the other parts.
    pub weight: f64,
    /// Prompt length, tokens.
    pub prompt: usize,
    /// Tokens to generate for each answer.
    pub tokens: u32,
    /// Number of distinct names that lookups cycle through.
    pub names: usize,
}

/// Request types that are sent in the same run.
#[derive(Clone, Debug)]
pub struct Mix {
    /// One of [`MIXES`], or a label for a mix that is built in code.
    pub name: &'static str,
    /// The request types and their weights.
    pub parts: Vec<Part>,
}

/// Names that [`mix`] accepts.
pub const MIXES: [&str; 5] = ["streams", "long", "installs", "calls", "mixed"];

/// Streamed answers of `tokens` tokens for one organisation.
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

/// Builds a mix over the services of the harness's fleets; `None` if `name` is not in [`MIXES`].
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
