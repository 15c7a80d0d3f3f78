//! Reading what a caller asks of a model.
//!
//! Hints on sampling are passed over, as engines here know none; what would change the shape or
//! the end of the answer and cannot be done is refused, never silently left out.

use super::Form;
use roseshore_core::prelude::*;
use serde::Deserialize;
use serde_json::Value;

/// Tokens of an answer when the caller names no bound.
const MAX_TOKENS: u32 = 256;
/// The most tokens that a caller may ask for.
const MOST_TOKENS: u32 = 32_768;

/// What is asked, in either form.
#[derive(Clone, Debug)]
pub(super) struct Question {
    /// `service` or `service:adapter`.
    pub(super) model: String,
    /// The prompt's tokens, split at white space as the stand-in's are.
    pub(super) prompt: Vec<String>,
    /// How many tokens the answer may have.
    pub(super) max_tokens: u32,
    /// Whether tokens are wanted as they come.
    pub(super) stream: bool,
    /// Whether a stream ends with the counts of tokens.
    pub(super) usage: bool,
}

#[derive(Deserialize)]
struct Body {
    model: String,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    prompt: Option<Prompt>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(default)]
    stream_options: Option<StreamOptions>,
    #[serde(flatten)]
    rest: serde_json::Map<String, Value>,
}

#[derive(Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

#[derive(Deserialize)]
struct Message {
    role: String,
    #[serde(default)]
    content: Option<Content>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<Part>),
}

#[derive(Deserialize)]
struct Part {
    #[serde(rename = "type")]
    kind: String,
    #[serde(default)]
    text: String,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Prompt {
    Text(String),
    Texts(Vec<String>),
}

/// A field that is only taken with a value that asks for nothing.
struct Unserved {
    field: &'static str,
    nothing: fn(&Value) -> bool,
}

const UNSERVED: &[Unserved] = &[
    Unserved { field: "n", nothing: |it| it == 1 },
    Unserved { field: "best_of", nothing: |it| it == 1 },
    Unserved { field: "echo", nothing: |it| it == false },
    Unserved { field: "stop", nothing: is_empty },
    Unserved { field: "suffix", nothing: is_empty },
    Unserved { field: "tools", nothing: is_empty },
    Unserved { field: "functions", nothing: is_empty },
    Unserved { field: "logprobs", nothing: |it| it == false || it == 0 },
    Unserved { field: "response_format", nothing: |it| it["type"] == "text" },
];

fn is_empty(value: &Value) -> bool {
    value.as_str() == Some("") || value.as_array().is_some_and(Vec::is_empty)
}

impl Question {
    pub(super) fn read(bytes: &[u8], form: Form) -> Result<Question, Refusal> {
        let body: Body = serde_json::from_slice(bytes)
            .map_err(|err| bad(format!("the body cannot be read: {err}")))?;
        for unserved in UNSERVED {
            let given = body.rest.get(unserved.field).filter(|it| !it.is_null());
            if given.is_some_and(|it| !(unserved.nothing)(it)) {
                return Err(bad(format!("`{}` is not served here; leave it out", unserved.field)));
            }
        }
        let max = body.max_completion_tokens.or(body.max_tokens).unwrap_or(MAX_TOKENS);
        if !(1..=MOST_TOKENS).contains(&max) {
            return Err(bad(format!("`max_tokens` must be from 1 to {MOST_TOKENS}")));
        }
        let prompt = match form {
            Form::Chat => chat(&body.messages)?,
            Form::Text => text(body.prompt)?,
        };
        if prompt.is_empty() {
            return Err(bad("the prompt is empty".to_owned()));
        }
        Ok(Question {
            model: body.model,
            prompt,
            max_tokens: max,
            stream: body.stream.unwrap_or(false),
            usage: body.stream_options.is_some_and(|it| it.include_usage),
        })
    }
}

/// Each message begins with a token for its role, so that who said a thing makes a difference.
fn chat(messages: &[Message]) -> Result<Vec<String>, Refusal> {
    let mut tokens = Vec::new();
    for message in messages {
        tokens.push(format!("<{}>", message.role));
        match &message.content {
            None => {}
            Some(Content::Text(text)) => words(&mut tokens, text),
            Some(Content::Parts(parts)) => {
                for part in parts {
                    if part.kind != "text" {
                        return Err(bad(format!(
                            "content of type `{}` is not served here; send `text`",
                            part.kind
                        )));
                    }
                    words(&mut tokens, &part.text);
                }
            }
        }
    }
    Ok(tokens)
}

fn text(prompt: Option<Prompt>) -> Result<Vec<String>, Refusal> {
    let text = match prompt {
        Some(Prompt::Text(text)) => text,
        Some(Prompt::Texts(mut texts)) if texts.len() == 1 => texts.remove(0),
        Some(Prompt::Texts(_)) => {
            return Err(bad(
                "one prompt a request is served here; send the others apart".to_owned()
            ));
        }
        None => String::new(),
    };
    let mut tokens = Vec::new();
    words(&mut tokens, &text);
    Ok(tokens)
}

fn words(tokens: &mut Vec<String>, text: &str) {
    tokens.extend(text.split_whitespace().map(str::to_owned));
}

fn bad(text: String) -> Refusal {
    Refusal::not_run(Code::BadRequest, text)
}
