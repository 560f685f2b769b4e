//! Request and response bodies in the formats of the OpenAI API.

use std::fmt::Write;

use serde::Deserialize;
use serde::Serialize;

use crate::wire::id;
use crate::wire::run;

/// Which of the two APIs a request uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// `/v1/completions`.
    Text,
    /// `/v1/chat/completions`.
    Chat,
}

/// A parsed request of either API.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// Name of the model.
    pub model: String,
    /// The prompt's text.
    pub text: String,
    /// Maximum number of tokens to generate, if set.
    pub max_tokens: Option<u32>,
    /// Whether the response is streamed.
    pub stream: bool,
    /// Whether the stream ends with an event that reports usage.
    pub include_usage: bool,
}

#[derive(Deserialize)]
struct TextBody {
    model: String,
    prompt: Texts,
    #[serde(flatten)]
    options: Options,
}

#[derive(Deserialize)]
struct ChatBody {
    model: String,
    messages: Vec<Message>,
    #[serde(flatten)]
    options: Options,
}

/// Fields of both APIs. Other fields, such as `temperature`, are ignored.
#[derive(Deserialize)]
struct Options {
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(default, rename = "stream_options")]
    ending: Option<StreamOptions>,
    #[serde(default)]
    n: Option<u32>,
}

#[derive(Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Texts {
    One(String),
    Many(Vec<String>),
}

#[derive(Deserialize)]
struct Message {
    role: String,
    content: Content,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<ContentPart>),
}

#[derive(Deserialize)]
struct ContentPart {
    #[serde(rename = "type")]
    kind: String,
    #[serde(default)]
    text: String,
}

/// Parses a request body. The error is a message for the caller.
pub fn parse(form: Form, body: &[u8]) -> Result<Prompt, String> {
    let (model, text, options) = match form {
        Form::Text => {
            let body: TextBody = serde_json::from_slice(body).map_err(|err| err.to_string())?;
            let text = match body.prompt {
                Texts::One(text) => text,
                Texts::Many(texts) => single(texts)?,
            };
            (body.model, text, body.options)
        }
        Form::Chat => {
            let body: ChatBody = serde_json::from_slice(body).map_err(|err| err.to_string())?;
            (body.model, render(&body.messages)?, body.options)
        }
    };
    if text.is_empty() {
        return Err("the prompt is empty".to_owned());
    }
    if options.n.is_some_and(|n| n != 1) {
        return Err("n: only one answer to a prompt is given".to_owned());
    }
    let max_tokens = options.max_completion_tokens.or(options.max_tokens);
    if max_tokens == Some(0) {
        return Err("max_tokens: at least 1".to_owned());
    }
    Ok(Prompt {
        model,
        text,
        max_tokens,
        stream: options.stream.unwrap_or(false),
        include_usage: options.ending.is_some_and(|options| options.include_usage),
    })
}

fn single(mut texts: Vec<String>) -> Result<String, String> {
    match texts.pop() {
        Some(text) if texts.is_empty() => Ok(text),
        _ => Err("prompt: exactly one".to_owned()),
    }
}

/// Renders messages as the single text that engines take, one `role: content` line for each.
fn render(messages: &[Message]) -> Result<String, String> {
    let mut out = String::new();
    for message in messages {
        let _ = write!(out, "{}: ", message.role);
        match &message.content {
            Content::Text(text) => out.push_str(text),
            Content::Parts(parts) => {
                for part in parts {
                    if part.kind != "text" {
                        return Err(format!("messages: no content of type {:?}", part.kind));
                    }
                    out.push_str(&part.text);
                }
            }
        }
        out.push('\n');
    }
    Ok(out)
}

/// Renders the response to one request.
#[derive(Clone, Debug)]
pub struct Renderer {
    form: Form,
    id: String,
    created: u64,
    model: String,
}

#[derive(Serialize)]
struct Body<'a, C> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: &'a [C],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Serialize)]
struct TextChoice<'a> {
    index: u32,
    text: &'a str,
    logprobs: Option<()>,
    finish_reason: Option<&'static str>,
}

#[derive(Serialize)]
struct ChatChoice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<ChatText<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<ChatText<'a>>,
    logprobs: Option<()>,
    finish_reason: Option<&'static str>,
}

#[derive(Serialize)]
struct ChatText<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

#[derive(Serialize)]
struct Usage {
    prompt_tokens: u64,
    completion_tokens: u64,
    total_tokens: u64,
    prompt_tokens_details: Details,
}

#[derive(Serialize)]
struct Details {
    cached_tokens: u64,
}

impl Renderer {
    /// A renderer of the response to `request`. `created` is in seconds since the Unix epoch.
    pub fn new(form: Form, request: id::Request, created: u64, model: &str) -> Self {
        let prefix = match form {
            Form::Text => "cmpl",
            Form::Chat => "chatcmpl",
        };
        Self {
            form,
            id: format!("{prefix}-{request}"),
            created,
            model: model.to_owned(),
        }
    }

    /// The full response as JSON.
    pub fn full(&self, text: &str, end: run::End, usage: run::Usage) -> String {
        let usage = Some(to_usage(usage));
        let finish = Some(reason(end));
        match self.form {
            Form::Text => self.text_body(text, finish, usage),
            Form::Chat => {
                let message = ChatText {
                    role: Some("assistant"),
                    content: Some(text),
                };
                let choice = chat_choice(Some(message), None, finish);
                self.body("chat.completion", &[choice], usage)
            }
        }
    }

    /// An SSE event with part of the text. `is_first` for the first event of the response.
    pub fn chunk(&self, text: &str, is_first: bool) -> String {
        match self.form {
            Form::Text => event(&self.text_body(text, None, None)),
            Form::Chat => {
                let delta = ChatText {
                    role: is_first.then_some("assistant"),
                    content: Some(text),
                };
                let choice = chat_choice(None, Some(delta), None);
                event(&self.body("chat.completion.chunk", &[choice], None))
            }
        }
    }

    /// The SSE events that end a complete response.
    pub fn end(&self, end: run::End, usage: Option<run::Usage>) -> String {
        let finish = Some(reason(end));
        let mut out = match self.form {
            Form::Text => event(&self.text_body("", finish, None)),
            Form::Chat => {
                let delta = ChatText {
                    role: None,
                    content: None,
                };
                let choice = chat_choice(None, Some(delta), finish);
                event(&self.body("chat.completion.chunk", &[choice], None))
            }
        };
        if let Some(usage) = usage {
            let usage = Some(to_usage(usage));
            let object = match self.form {
                Form::Text => "text_completion",
                Form::Chat => "chat.completion.chunk",
            };
            out.push_str(&event(&self.body::<TextChoice<'_>>(object, &[], usage)));
        }
        out.push_str("data: [DONE]\n\n");
        out
    }

    fn text_body(&self, text: &str, finish: Option<&'static str>, usage: Option<Usage>) -> String {
        let choice = TextChoice {
            index: 0,
            text,
            logprobs: None,
            finish_reason: finish,
        };
        self.body("text_completion", &[choice], usage)
    }

    fn body<C: Serialize>(
        &self,
        object: &'static str,
        choices: &[C],
        usage: Option<Usage>,
    ) -> String {
        let body = Body {
            id: &self.id,
            object,
            created: self.created,
            model: &self.model,
            choices,
            usage,
        };
        serde_json::to_string(&body).unwrap_or_default()
    }
}

fn chat_choice<'a>(
    message: Option<ChatText<'a>>,
    delta: Option<ChatText<'a>>,
    finish_reason: Option<&'static str>,
) -> ChatChoice<'a> {
    ChatChoice {
        index: 0,
        message,
        delta,
        logprobs: None,
        finish_reason,
    }
}

fn reason(end: run::End) -> &'static str {
    match end {
        run::End::Stop => "stop",
        run::End::Length => "length",
    }
}

fn to_usage(usage: run::Usage) -> Usage {
    Usage {
        prompt_tokens: usage.prompt_tokens,
        completion_tokens: usage.output_tokens,
        total_tokens: usage.prompt_tokens + usage.output_tokens,
        prompt_tokens_details: Details {
            cached_tokens: usage.cached_tokens,
        },
    }
}

fn event(json: &str) -> String {
    format!("data: {json}\n\n")
}
