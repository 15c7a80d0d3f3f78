//! Request bodies of the chat and the text completion API.
//!
//! Sampling parameters are ignored, because the engines support none. A field that would change the
//! format or the end of the answer and is not supported is refused, never silently ignored.

use super::ApiFormat;
use roseshore_core::prelude::*;
use serde::Deserialize;
use serde_json::Value;

/// Maximum number of tokens in an answer when the caller names none.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// Highest `max_tokens` that a caller may request.
const MAX_TOKENS_LIMIT: u32 = 32_768;

/// A validated request of either API.
#[derive(Clone, Debug)]
pub(super) struct CompletionRequest {
    /// `service` or `service:adapter`.
    pub(super) model: String,
    /// The prompt's tokens, split at white space like those of the fake engine.
    pub(super) prompt: Vec<String>,
    /// Maximum number of tokens in the answer.
    pub(super) max_tokens: u32,
    /// Whether the answer is streamed.
    pub(super) stream: bool,
    /// Whether a stream ends with a chunk of token counts.
    pub(super) include_usage: bool,
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

/// An unsupported field; it is accepted only with a value that has no effect.
struct UnsupportedField {
    name: &'static str,
    has_no_effect: fn(&Value) -> bool,
}

const UNSUPPORTED: &[UnsupportedField] = &[
    UnsupportedField { name: "n", has_no_effect: |it| it == 1 },
    UnsupportedField { name: "best_of", has_no_effect: |it| it == 1 },
    UnsupportedField { name: "echo", has_no_effect: |it| it == false },
    UnsupportedField { name: "stop", has_no_effect: is_empty },
    UnsupportedField { name: "suffix", has_no_effect: is_empty },
    UnsupportedField { name: "tools", has_no_effect: is_empty },
    UnsupportedField { name: "functions", has_no_effect: is_empty },
    UnsupportedField { name: "logprobs", has_no_effect: |it| it == false || it == 0 },
    UnsupportedField { name: "response_format", has_no_effect: |it| it["type"] == "text" },
];

fn is_empty(value: &Value) -> bool {
    value.as_str() == Some("") || value.as_array().is_some_and(Vec::is_empty)
}

impl CompletionRequest {
    pub(super) fn read(bytes: &[u8], format: ApiFormat) -> Result<CompletionRequest, Refusal> {
        let body: Body = serde_json::from_slice(bytes)
            .map_err(|err| bad_request(format!("the body cannot be read: {err}")))?;
        for field in UNSUPPORTED {
            let given = body.rest.get(field.name).filter(|it| !it.is_null());
            if given.is_some_and(|it| !(field.has_no_effect)(it)) {
                return Err(bad_request(format!(
                    "`{}` is not served here; leave it out",
                    field.name
                )));
            }
        }
        let max = body.max_completion_tokens.or(body.max_tokens).unwrap_or(DEFAULT_MAX_TOKENS);
        if !(1..=MAX_TOKENS_LIMIT).contains(&max) {
            return Err(bad_request(format!("`max_tokens` must be from 1 to {MAX_TOKENS_LIMIT}")));
        }
        let prompt = match format {
            ApiFormat::Chat => chat_tokens(&body.messages)?,
            ApiFormat::Text => text_tokens(body.prompt)?,
        };
        if prompt.is_empty() {
            return Err(bad_request("the prompt is empty".to_owned()));
        }
        Ok(CompletionRequest {
            model: body.model,
            prompt,
            max_tokens: max,
            stream: body.stream.unwrap_or(false),
            include_usage: body.stream_options.is_some_and(|it| it.include_usage),
        })
    }
}

/// The tokens of a chat. Each message starts with a token for its role, so that the same text by
/// different roles gives different prompts.
fn chat_tokens(messages: &[Message]) -> Result<Vec<String>, Refusal> {
    let mut tokens = Vec::new();
    for message in messages {
        tokens.push(format!("<{}>", message.role));
        match &message.content {
            None => {}
            Some(Content::Text(text)) => push_words(&mut tokens, text),
            Some(Content::Parts(parts)) => {
                for part in parts {
                    if part.kind != "text" {
                        return Err(bad_request(format!(
                            "content of type `{}` is not served here; send `text`",
                            part.kind
                        )));
                    }
                    push_words(&mut tokens, &part.text);
                }
            }
        }
    }
    Ok(tokens)
}

fn text_tokens(prompt: Option<Prompt>) -> Result<Vec<String>, Refusal> {
    let text = match prompt {
        Some(Prompt::Text(text)) => text,
        Some(Prompt::Texts(mut texts)) if texts.len() == 1 => texts.remove(0),
        Some(Prompt::Texts(_)) => {
            return Err(bad_request(
                "one prompt a request is served here; send the others apart".to_owned(),
            ));
        }
        None => String::new(),
    };
    let mut tokens = Vec::new();
    push_words(&mut tokens, &text);
    Ok(tokens)
}

fn push_words(tokens: &mut Vec<String>, text: &str) {
    tokens.extend(text.split_whitespace().map(str::to_owned));
}

fn bad_request(text: String) -> Refusal {
    Refusal::not_run(Code::BadRequest, text)
}
