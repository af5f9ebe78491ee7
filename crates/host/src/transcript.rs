use bytes::Bytes;

use crate::build;

/// Maximum size of the text that is stored to resume a stream.
const TEXT_MAX_BYTES: usize = 128 * 1024;

/// The part of a stream that the caller has received, as needed to resume it at
/// another endpoint.
#[derive(Debug, Default)]
pub(crate) struct Transcript {
    text: String,
    /// Number of events with text, each of which counts as one token.
    tokens: u32,
    /// Build that the last event with one states.
    build: Option<String>,
    /// Whether an event with a finish reason has arrived.
    is_finished: bool,
    /// Whether the stream cannot be resumed: it has an event that is not valid,
    /// several choices, tool calls, or more than [`TEXT_MAX_BYTES`] of text.
    is_unsupported: bool,
    /// Whether the rest of the answer was asked for and has not begun.
    needs_rest: bool,
}

/// Data that is no rest of an answer, such as the error of another endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NoRest;

#[derive(serde::Deserialize)]
struct Event<'a> {
    #[serde(borrow, default)]
    choices: Vec<Choice<'a>>,
    #[serde(borrow, default)]
    system_fingerprint: Option<build::Field<'a>>,
}

#[derive(serde::Deserialize)]
struct Choice<'a> {
    #[serde(default)]
    index: u32,
    #[serde(borrow, default)]
    text: Option<std::borrow::Cow<'a, str>>,
    #[serde(borrow, default)]
    delta: Option<Delta<'a>>,
    #[serde(borrow, default)]
    finish_reason: Option<&'a str>,
}

#[derive(serde::Deserialize)]
struct Delta<'a> {
    #[serde(borrow, default)]
    content: Option<std::borrow::Cow<'a, str>>,
    #[serde(default)]
    tool_calls: Option<serde::de::IgnoredAny>,
}

impl Transcript {
    /// Adds complete events of the stream.
    ///
    /// # Errors
    ///
    /// Fails if the first event of the rest of an answer is no part of one.
    pub(crate) fn push(&mut self, events: &[u8]) -> Result<(), NoRest> {
        if self.needs_rest {
            self.needs_rest = !begins_rest(events)?;
        }
        for line in events.split(|&byte| byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if let Some(event) = line.strip_prefix(b"data:") {
                self.record_event(event.trim_ascii());
            }
        }
        Ok(())
    }

    /// Expects the rest of the answer from another endpoint.
    pub(crate) const fn expect_rest(&mut self) {
        self.needs_rest = true;
    }

    /// Returns whether the answer contains its last token.
    pub(crate) const fn is_finished(&self) -> bool {
        self.is_finished
    }

    /// Returns the number of tokens that the caller has received.
    pub(crate) const fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Returns the build of the engine that goes on with the stream; `None` if no
    /// event states one.
    ///
    /// If the build changes within one run, the last one counts, so that both sides of
    /// the place where another run goes on are of the same build.
    pub(crate) fn build(&self) -> Option<&str> {
        self.build.as_deref()
    }

    /// Returns the body of a request for the rest of the answer, or `None` if the
    /// stream cannot be resumed.
    pub(crate) fn resume(&self, path: &str, body: &[u8]) -> Option<Bytes> {
        if self.is_unsupported || self.is_finished {
            return None;
        }
        let mut request: serde_json::Map<String, serde_json::Value> =
            serde_json::from_slice(body).ok()?;
        if request.get("n").is_some_and(|n| n.as_u64() != Some(1)) {
            return None;
        }
        if path.ends_with("/chat/completions") {
            let messages = request.get_mut("messages")?.as_array_mut()?;
            messages.push(serde_json::json!({"role": "assistant", "content": self.text}));
            request.insert("continue_final_message".to_owned(), true.into());
            request.insert("add_generation_prompt".to_owned(), false.into());
        } else {
            let prompt = request.get("prompt")?.as_str()?;
            let longer = format!("{prompt}{}", self.text);
            request.insert("prompt".to_owned(), longer.into());
        }
        for name in ["max_tokens", "max_completion_tokens"] {
            if let Some(bound) = request.get(name).and_then(serde_json::Value::as_u64) {
                let left = bound.saturating_sub(self.tokens.into()).max(1);
                request.insert(name.to_owned(), left.into());
            }
        }
        serde_json::to_vec(&request).ok().map(Bytes::from)
    }

    fn record_event(&mut self, event: &[u8]) {
        if event == b"[DONE]" {
            return;
        }
        let Ok(event) = serde_json::from_slice::<Event<'_>>(event) else {
            self.is_unsupported = true;
            return;
        };
        let build = event.system_fingerprint.as_ref();
        if let Some(build) = build.and_then(build::Field::build)
            && self.build.as_deref() != Some(build)
        {
            self.build = Some(build.to_owned());
        }
        for choice in event.choices {
            self.record_choice(choice);
        }
    }

    fn record_choice(&mut self, choice: Choice<'_>) {
        let delta = choice.delta.as_ref();
        let tools = delta.is_some_and(|delta| delta.tool_calls.is_some());
        let content = choice.delta.and_then(|delta| delta.content);
        let text = choice.text.or(content).unwrap_or_default();
        self.is_unsupported |=
            choice.index != 0 || tools || self.text.len() + text.len() > TEXT_MAX_BYTES;
        self.is_finished |= choice.finish_reason.is_some();
        if !text.is_empty() {
            self.tokens += 1;
        }
        if self.is_unsupported {
            self.text = String::new();
        } else {
            self.text.push_str(&text);
        }
    }
}

/// Returns whether these events begin the rest of an answer; comments do not.
///
/// # Errors
///
/// Fails if the first line that is no comment belongs to no event, or the first event
/// with data is neither a part of an answer nor its end.
fn begins_rest(events: &[u8]) -> Result<bool, NoRest> {
    for line in events.split(|&byte| byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let Some(data) = line.strip_prefix(b"data:") else {
            let fields: [&[u8]; 4] = [b":", b"event:", b"id:", b"retry:"];
            if line.is_empty() || fields.iter().any(|field| line.starts_with(field)) {
                continue;
            }
            return Err(NoRest);
        };
        let data = data.trim_ascii();
        let event = serde_json::from_slice::<Event<'_>>(data);
        let is_part = event.is_ok_and(|event| !event.choices.is_empty());
        return match is_part || data == b"[DONE]" {
            true => Ok(true),
            false => Err(NoRest),
        };
    }
    Ok(false)
}
