//! Parses chat and text completion requests, and builds complete answers from streamed chunks.

use bytes::Bytes;
use http::HeaderMap;
use serde_json::{Map, Value, json};
use sesamewind_protocol::Code;

use crate::problem::Problem;

/// Assumed number of output tokens if the caller sets no limit.
const DEFAULT_OUTPUT_TOKENS: u32 = 256;

/// Approximate bytes of prompt text per token.
const BYTES_PER_TOKEN: usize = 4;

/// The completion interface of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Interface {
    /// Chat completion: a list of messages.
    Chat,
    /// Text completion: a prompt.
    Text,
}

impl Interface {
    /// Returns the path, which is the same here and at targets.
    pub fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Text => "/v1/completions",
        }
    }

    /// Returns the name of the route that is used if the caller names none.
    pub fn default_route(self) -> &'static str {
        match self {
            Self::Chat => "chat",
            Self::Text => "completions",
        }
    }

    /// Returns the value of `object` in a complete answer.
    fn object(self) -> &'static str {
        match self {
            Self::Chat => "chat.completion",
            Self::Text => "text_completion",
        }
    }
}

/// A model request, parsed from a caller's body.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelRequest {
    /// Name of the requested service.
    pub model: String,
    /// Whether the caller wants the answer as a stream.
    pub stream: bool,
    /// Estimated number of prompt tokens.
    pub prompt_tokens: u32,
    /// Limit on the number of output tokens.
    pub output_tokens: u32,
    /// The first message as JSON, which all prompts of a conversation share; identifies the prefix
    /// for cache affinity. Empty for text completions.
    pub first_message: String,
    /// The body for the target.
    pub body: Bytes,
}

impl ModelRequest {
    /// Parses a request from a caller's body.
    ///
    /// # Errors
    ///
    /// Returns [`Code::MalformedRequest`] with the reason.
    pub fn read(interface: Interface, bytes: &[u8]) -> Result<Self, Problem> {
        let mut body: Map<String, Value> =
            serde_json::from_slice(bytes).map_err(|error| malformed(error.to_string()))?;
        let Some(model) = body.get("model").and_then(Value::as_str).map(str::to_owned) else {
            return Err(malformed("`model` must name a service"));
        };
        let (prompt, first_message) = prompt_of(interface, &body)?;
        let stream = match body.get("stream") {
            None | Some(Value::Null) => false,
            Some(value) => {
                value.as_bool().ok_or_else(|| malformed("`stream` must be a boolean"))?
            }
        };
        let output_tokens = output_limit(&body)?;
        body.insert("stream".into(), Value::Bool(true));
        let body = serde_json::to_vec(&body).map_err(|error| malformed(error.to_string()))?;
        Ok(Self {
            model,
            stream,
            prompt_tokens: estimate_tokens(prompt),
            output_tokens,
            first_message,
            body: Bytes::from(body),
        })
    }
}

/// Returns the number in header `name`, or `None` if there is no such header.
///
/// # Errors
///
/// Returns [`Code::MalformedRequest`] if the header's value is not a number in range.
pub fn number_header<T: std::str::FromStr>(
    headers: &HeaderMap,
    name: &str,
) -> Result<Option<T>, Problem> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let text = value.to_str().unwrap_or_default().trim();
    let number = text.parse().map_err(|_| malformed(format!("header `{name}` is not a number")))?;
    Ok(Some(number))
}

fn malformed(detail: impl Into<String>) -> Problem {
    Problem::before_dispatch(Code::MalformedRequest, detail)
}

/// Returns the bytes of prompt text, and the first message of a chat.
fn prompt_of(interface: Interface, body: &Map<String, Value>) -> Result<(usize, String), Problem> {
    match interface {
        Interface::Text => {
            let Some(prompt) = body.get("prompt").and_then(Value::as_str) else {
                return Err(malformed("`prompt` must be a string"));
            };
            Ok((prompt.len(), String::new()))
        }
        Interface::Chat => {
            let Some(messages) = body.get("messages").and_then(Value::as_array) else {
                return Err(malformed("`messages` must be a list"));
            };
            if messages.is_empty() {
                return Err(malformed("`messages` must not be empty"));
            }
            let bytes = messages.iter().map(text_bytes).sum();
            Ok((bytes, messages[0].to_string()))
        }
    }
}

fn text_bytes(message: &Value) -> usize {
    match message.get("content") {
        Some(Value::String(text)) => text.len(),
        Some(other) => other.to_string().len(),
        None => 0,
    }
}

fn output_limit(body: &Map<String, Value>) -> Result<u32, Problem> {
    let limit = body.get("max_completion_tokens").or_else(|| body.get("max_tokens"));
    match limit {
        None | Some(Value::Null) => Ok(DEFAULT_OUTPUT_TOKENS),
        Some(value) => value
            .as_u64()
            .and_then(|tokens| u32::try_from(tokens).ok())
            .filter(|tokens| *tokens > 0)
            .ok_or_else(|| malformed("`max_tokens` must be a positive integer")),
    }
}

fn estimate_tokens(bytes: usize) -> u32 {
    u32::try_from(bytes / BYTES_PER_TOKEN).unwrap_or(u32::MAX).max(1)
}

/// Joins the chunks of a streamed answer into one answer, for callers that request no stream.
#[derive(Debug)]
pub struct JoinedAnswer {
    interface: Interface,
    text: String,
    finish_reason: Value,
    last_chunk: Map<String, Value>,
}

impl JoinedAnswer {
    /// Creates an answer without chunks.
    pub fn new(interface: Interface) -> Self {
        Self { interface, text: String::new(), finish_reason: Value::Null, last_chunk: Map::new() }
    }

    /// Adds a chunk.
    pub fn add(&mut self, chunk: &[u8]) {
        let Ok(chunk) = serde_json::from_slice::<Map<String, Value>>(chunk) else { return };
        if let Some(choice) = chunk.get("choices").and_then(|choices| choices.get(0)) {
            let text = match self.interface {
                Interface::Chat => choice.pointer("/delta/content"),
                Interface::Text => choice.get("text"),
            };
            self.text.push_str(text.and_then(Value::as_str).unwrap_or_default());
            if let Some(finish_reason) =
                choice.get("finish_reason").filter(|finish_reason| !finish_reason.is_null())
            {
                self.finish_reason = finish_reason.clone();
            }
        }
        self.last_chunk = chunk;
    }

    /// Returns the complete answer as JSON.
    pub fn into_json(mut self) -> Value {
        let choice = match self.interface {
            Interface::Chat => json!({
                "index": 0,
                "message": {"role": "assistant", "content": self.text},
                "finish_reason": self.finish_reason,
            }),
            Interface::Text => json!({
                "index": 0,
                "text": self.text,
                "finish_reason": self.finish_reason,
            }),
        };
        self.last_chunk.insert("object".into(), self.interface.object().into());
        self.last_chunk.insert("choices".into(), json!([choice]));
        Value::Object(self.last_chunk)
    }
}
