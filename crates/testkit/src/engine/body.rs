/// Body of `POST /v1/chat/completions` and `POST /v1/completions`.
#[derive(Debug, Default, serde::Deserialize)]
pub(crate) struct Body {
    #[serde(default)]
    pub(crate) messages: Vec<Message>,
    #[serde(default)]
    pub(crate) prompt: String,
    #[serde(default)]
    pub(crate) stream: bool,
    #[serde(default)]
    pub(crate) stream_options: StreamOptions,
    pub(crate) max_tokens: Option<u32>,
    pub(crate) max_completion_tokens: Option<u32>,
    /// Requests with a lower number run first.
    #[serde(default)]
    pub(crate) priority: i64,
    #[serde(default)]
    pub(crate) seed: u64,
    /// Tag of the answer's tokens; see [`crate::text`].
    #[serde(default)]
    pub(crate) user: String,
}

/// Message of a chat request.
#[derive(Debug, serde::Deserialize)]
pub(crate) struct Message {
    #[serde(default)]
    pub(crate) role: String,
    #[serde(default)]
    pub(crate) content: String,
}

/// The field `stream_options`.
#[derive(Debug, Default, serde::Deserialize)]
pub(crate) struct StreamOptions {
    #[serde(default)]
    pub(crate) include_usage: bool,
}

impl Body {
    /// Returns the prompt and all messages as one text.
    pub(crate) fn text(&self) -> String {
        let mut text = self.prompt.clone();
        for message in &self.messages {
            text.push_str(&message.role);
            text.push(':');
            text.push_str(&message.content);
            text.push('\n');
        }
        text
    }

    /// Returns the caller's limit of the output length in tokens, at least 1.
    pub(crate) fn token_limit(&self) -> u32 {
        let limit = self.max_completion_tokens.or(self.max_tokens);
        limit.unwrap_or(u32::MAX).max(1)
    }
}
