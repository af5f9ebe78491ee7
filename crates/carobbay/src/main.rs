//! The carobbay program.

fn main() {}
