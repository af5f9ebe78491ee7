//! One router host: the parts wired together.
