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
    /// A lower number is served first.
    #[serde(default)]
    pub(crate) priority: i64,
    #[serde(default)]
    pub(crate) seed: u64,
    /// Tag of the answer's tokens.
    #[serde(default)]
    pub(crate) user: String,
}

/// One message of a chat.
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
    /// Returns the whole prompt as text.
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

    /// Returns the caller's bound on the output length in tokens.
    pub(crate) fn bound(&self) -> u32 {
        let bound = self.max_completion_tokens.or(self.max_tokens);
        bound.unwrap_or(u32::MAX).max(1)
    }
}
