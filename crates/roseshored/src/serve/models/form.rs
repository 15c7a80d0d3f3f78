//! The two forms in which answers are written.

use super::body::Question;
use crate::http::reply::data;
use serde_json::{Value, json};
use std::time::SystemTime;

/// The form of a question and its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::serve) enum Form {
    /// Messages of a chat.
    Chat,
    /// A text to go on from.
    Text,
}

/// What stays the same over all parts of one answer.
pub(super) struct Shape {
    pub(super) stream: bool,
    form: Form,
    usage: bool,
    id: String,
    created: u64,
    model: String,
    prompt: usize,
}

impl Shape {
    pub(super) fn new(form: Form, request: &str, question: &Question) -> Shape {
        let prefix = match form {
            Form::Chat => "chatcmpl",
            Form::Text => "cmpl",
        };
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        Shape {
            stream: question.stream,
            form,
            usage: question.usage,
            id: format!("{prefix}-{request}"),
            created: since.map(|it| it.as_secs()).unwrap_or_default(),
            model: question.model.clone(),
            prompt: question.prompt.len(),
        }
    }

    /// What a stream begins with.
    pub(super) fn first(&self) -> String {
        match self.form {
            Form::Chat => {
                let delta = json!({"role": "assistant", "content": ""});
                self.chunk(json!({"index": 0, "delta": delta, "finish_reason": null}))
            }
            Form::Text => String::new(),
        }
    }

    /// One token of a stream.
    pub(super) fn token(&self, text: &str) -> String {
        self.chunk(match self.form {
            Form::Chat => json!({"index": 0, "delta": {"content": text}, "finish_reason": null}),
            Form::Text => {
                json!({"index": 0, "text": text, "logprobs": null, "finish_reason": null})
            }
        })
    }

    /// What a whole stream ends with, before the mark of its end.
    pub(super) fn last(&self, count: u32, reason: &str) -> String {
        let mut text = self.chunk(match self.form {
            Form::Chat => json!({"index": 0, "delta": {}, "finish_reason": reason}),
            Form::Text => {
                json!({"index": 0, "text": "", "logprobs": null, "finish_reason": reason})
            }
        });
        if self.usage {
            let mut body = self.body(self.chunk_object(), &[]);
            body["usage"] = self.usage(count);
            text += &data(&body.to_string());
        }
        text
    }

    /// A whole answer.
    pub(super) fn whole(&self, text: &str, count: u32, reason: &str) -> Value {
        let (object, choice) = match self.form {
            Form::Chat => {
                let message = json!({"role": "assistant", "content": text});
                let choice = json!({"index": 0, "message": message, "finish_reason": reason});
                ("chat.completion", choice)
            }
            Form::Text => {
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
        match self.form {
            Form::Chat => "chat.completion.chunk",
            Form::Text => "text_completion",
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
            "prompt_tokens": self.prompt,
            "completion_tokens": count,
            "total_tokens": self.prompt + count as usize,
        })
    }
}
