use serde_json::json;

use crate::engine::sequence::Event;
use crate::engine::ticket;
use crate::text;

/// Which of the two interfaces a request came on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Style {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Plain,
}

/// An answer in the making.
pub(crate) struct Answer {
    pub(crate) style: Style,
    pub(crate) model: String,
    pub(crate) tag: String,
    pub(crate) prompt_tokens: u32,
    pub(crate) include_usage: bool,
    /// Whether the caller's bound cut the output.
    pub(crate) cut: bool,
    pub(crate) ticket: ticket::Ticket,
    /// Tokens of the answer that the request already carried.
    pub(crate) given: u32,
    pub(crate) tokens: u32,
    pub(crate) ended: bool,
}

impl Answer {
    /// Returns the next piece of the stream, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns an error after a crash, which cuts the connection.
    pub(crate) async fn piece(&mut self) -> Option<Result<String, std::io::Error>> {
        if self.ended {
            return None;
        }
        let Some(event) = self.ticket.next().await else {
            self.ended = true;
            return Some(Err(std::io::ErrorKind::ConnectionAborted.into()));
        };
        let token = text::token(&self.tag, self.given + self.tokens);
        self.tokens += 1;
        let mut piece = line(&self.chunk(&token, None));
        if event == Event::End {
            self.ended = true;
            self.ticket.complete();
            self.tail(&mut piece);
        }
        Some(Ok(piece))
    }

    /// Returns the whole answer, or `None` after a crash.
    pub(crate) async fn whole(mut self) -> Option<serde_json::Value> {
        let mut content = String::new();
        loop {
            let event = self.ticket.next().await?;
            content.push_str(&text::token(&self.tag, self.given + self.tokens));
            self.tokens += 1;
            if event == Event::End {
                break;
            }
        }
        self.ticket.complete();
        let reason = self.reason();
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

    fn tail(&self, piece: &mut String) {
        piece.push_str(&line(&self.chunk("", Some(self.reason()))));
        if self.include_usage {
            let mut value = self.chunk("", None);
            value["choices"] = json!([]);
            value["usage"] = self.usage();
            piece.push_str(&line(&value));
        }
        piece.push_str("data: [DONE]\n\n");
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

    const fn reason(&self) -> &'static str {
        if self.cut { "length" } else { "stop" }
    }

    fn usage(&self) -> serde_json::Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.tokens,
            "total_tokens": self.prompt_tokens + self.tokens,
        })
    }
}

fn line(value: &serde_json::Value) -> String {
    format!("data: {value}\n\n")
}
