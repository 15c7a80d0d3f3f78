//! Response bodies of the chat and the text completion API.

use super::body::CompletionRequest;
use crate::http::reply::data;
use serde_json::{Value, json};
use std::time::SystemTime;

/// The API whose format is used for a request and its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::serve) enum ApiFormat {
    /// Chat completion: a list of messages.
    Chat,
    /// Text completion: a single prompt.
    Text,
}

/// Formats the parts of one answer; holds what they have in common.
pub(super) struct Formatter {
    pub(super) stream: bool,
    format: ApiFormat,
    include_usage: bool,
    id: String,
    created: u64,
    model: String,
    prompt_tokens: usize,
}

impl Formatter {
    pub(super) fn new(format: ApiFormat, id: &str, request: &CompletionRequest) -> Formatter {
        let prefix = match format {
            ApiFormat::Chat => "chatcmpl",
            ApiFormat::Text => "cmpl",
        };
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        Formatter {
            stream: request.stream,
            format,
            include_usage: request.include_usage,
            id: format!("{prefix}-{id}"),
            created: since.map(|it| it.as_secs()).unwrap_or_default(),
            model: request.model.clone(),
            prompt_tokens: request.prompt.len(),
        }
    }

    /// The first chunk of a stream; empty for text completions, which have none.
    pub(super) fn stream_start(&self) -> String {
        match self.format {
            ApiFormat::Chat => {
                let delta = json!({"role": "assistant", "content": ""});
                self.chunk(json!({"index": 0, "delta": delta, "finish_reason": null}))
            }
            ApiFormat::Text => String::new(),
        }
    }

    /// The chunk of one token.
    pub(super) fn token(&self, text: &str) -> String {
        self.chunk(match self.format {
            ApiFormat::Chat => {
                json!({"index": 0, "delta": {"content": text}, "finish_reason": null})
            }
            ApiFormat::Text => {
                json!({"index": 0, "text": text, "logprobs": null, "finish_reason": null})
            }
        })
    }

    /// The chunks at the end of a complete stream, before `[DONE]`.
    pub(super) fn stream_end(&self, count: u32, reason: &str) -> String {
        let mut text = self.chunk(match self.format {
            ApiFormat::Chat => json!({"index": 0, "delta": {}, "finish_reason": reason}),
            ApiFormat::Text => {
                json!({"index": 0, "text": "", "logprobs": null, "finish_reason": reason})
            }
        });
        if self.include_usage {
            let mut body = self.body(self.chunk_object(), &[]);
            body["usage"] = self.usage(count);
            text += &data(&body.to_string());
        }
        text
    }

    /// The body of a complete answer that is not streamed.
    pub(super) fn complete(&self, text: &str, count: u32, reason: &str) -> Value {
        let (object, choice) = match self.format {
            ApiFormat::Chat => {
                let message = json!({"role": "assistant", "content": text});
                let choice = json!({"index": 0, "message": message, "finish_reason": reason});
                ("chat.completion", choice)
            }
            ApiFormat::Text => {
                let choice =
                    json!({"index": 0, "text": text, "logprobs": null, "finish_reason": reason});
                ("text_completion", choice)
            }
        };
        let mut body = self.body(object, &[choice]);
        body["usage"] = self.usage(count);
        body
    }

    fn chunk(&self, choice: Value) -> String {
        data(&self.body(self.chunk_object(), &[choice]).to_string())
    }

    fn chunk_object(&self) -> &'static str {
        match self.format {
            ApiFormat::Chat => "chat.completion.chunk",
            ApiFormat::Text => "text_completion",
        }
    }

    fn body(&self, object: &str, choices: &[Value]) -> Value {
        json!({
            "id": self.id,
            "object": object,
            "created": self.created,
            "model": self.model,
            "choices": choices,
        })
    }

    fn usage(&self, count: u32) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": count,
            "total_tokens": self.prompt_tokens + count as usize,
        })
    }
}
