/// Returns the text of an error with its causes.
pub fn error_chain(cause: &dyn std::error::Error) -> String {
    let mut text = cause.to_string();
    let mut next = cause.source();
    while let Some(source) = next {
        text.push_str(": ");
        text.push_str(&source.to_string());
        next = source.source();
    }
    text
}
