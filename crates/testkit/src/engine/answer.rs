use serde_json::json;

use crate::engine::sequence::Event;
use crate::engine::ticket;
use crate::text;

/// API to which a request was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Style {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Plain,
}

/// Response that is being generated.
pub(crate) struct Answer {
    pub(crate) style: Style,
    pub(crate) model: String,
    pub(crate) tag: String,
    pub(crate) prompt_tokens: u32,
    pub(crate) include_usage: bool,
    /// Whether the caller's token limit truncates the output.
    pub(crate) is_truncated: bool,
    pub(crate) ticket: ticket::Ticket,
    /// Answer tokens that the prompt already contains, because the request resumes a stream.
    pub(crate) resumed_tokens: u32,
    /// Tokens returned so far.
    pub(crate) tokens: u32,
    pub(crate) has_ended: bool,
}

impl Answer {
    /// Returns the next server-sent events of the stream, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns an error after a crash, which closes the connection.
    pub(crate) async fn next_events(&mut self) -> Option<Result<String, std::io::Error>> {
        if self.has_ended {
            return None;
        }
        let Some(event) = self.ticket.next().await else {
            self.has_ended = true;
            return Some(Err(std::io::ErrorKind::ConnectionAborted.into()));
        };
        let token = text::token(&self.tag, self.resumed_tokens + self.tokens);
        self.tokens += 1;
        let mut events = sse_event(&self.chunk(&token, None));
        if event == Event::End {
            self.has_ended = true;
            self.ticket.complete();
            self.append_end(&mut events);
        }
        Some(Ok(events))
    }

    /// Waits for all tokens and returns the response body, or `None` after a crash.
    pub(crate) async fn collect(mut self) -> Option<serde_json::Value> {
        let mut content = String::new();
        loop {
            let event = self.ticket.next().await?;
            content.push_str(&text::token(&self.tag, self.resumed_tokens + self.tokens));
            self.tokens += 1;
            if event == Event::End {
                break;
            }
        }
        self.ticket.complete();
        let reason = self.finish_reason();
        let (object, choice) = match self.style {
            Style::Chat => (
                "chat.completion",
                json!({"index": 0, "message": {"role": "assistant", "content": content}, "finish_reason": reason}),
            ),
            Style::Plain => (
                "text_completion",
                json!({"index": 0, "text": content, "finish_reason": reason}),
            ),
        };
        Some(json!({
            "id": self.id(), "object": object, "created": 0, "model": self.model,
            "choices": [choice], "usage": self.usage(),
        }))
    }

    fn append_end(&self, events: &mut String) {
        events.push_str(&sse_event(&self.chunk("", Some(self.finish_reason()))));
        if self.include_usage {
            let mut value = self.chunk("", None);
            value["choices"] = json!([]);
            value["usage"] = self.usage();
            events.push_str(&sse_event(&value));
        }
        events.push_str("data: [DONE]\n\n");
    }

    fn chunk(&self, content: &str, reason: Option<&str>) -> serde_json::Value {
        let (object, choice) = match self.style {
            Style::Chat => (
                "chat.completion.chunk",
                json!({"index": 0, "delta": {"content": content}, "finish_reason": reason}),
            ),
            Style::Plain => (
                "text_completion",
                json!({"index": 0, "text": content, "finish_reason": reason}),
            ),
        };
        json!({"id": self.id(), "object": object, "created": 0, "model": self.model, "choices": [choice]})
    }

    fn id(&self) -> String {
        format!("cmpl-{}", self.tag)
    }

    const fn finish_reason(&self) -> &'static str {
        if self.is_truncated { "length" } else { "stop" }
    }

    fn usage(&self) -> serde_json::Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.tokens,
            "total_tokens": self.prompt_tokens + self.tokens,
        })
    }
}

fn sse_event(value: &serde_json::Value) -> String {
    format!("data: {value}\n\n")
}
