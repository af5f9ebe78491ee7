//! Guards against values that change the target of a request or make it invalid.

use rstest::rstest;

/// All ASCII characters, and some that UTF-8 encodes in two to four bytes.
fn characters() -> impl Iterator<Item = char> {
    (0..128u8)
        .map(char::from)
        .chain(['é', '\u{a0}', '語', '🦀'])
}

#[rstest]
#[case::first("?X")]
#[case::within("aXb")]
#[case::repeated("XX")]
#[case::before_digits("X41")]
fn every_value_is_decoded_as_it_was_given(#[case] pattern: &str) {
    for character in characters() {
        let value = pattern.replace('X', &character.to_string());
        let query = back::Query::new("prefix", "servers/").with("after", &value);
        let target = format!("/list?{}", query.with("number", 7));
        let uri: http::Uri = target.parse().expect("a valid target");
        assert_eq!(uri.path(), "/list");
        let query = uri.query().expect("a query").as_bytes();
        let fields: Vec<_> = form_urlencoded::parse(query).collect();
        let wanted = [("prefix", "servers/"), ("after", &value), ("number", "7")];
        let wanted = wanted.map(|(name, value)| (name.into(), value.into()));
        assert_eq!(fields, wanted, "{target}");
        // A receiver that leaves `+` as it is decodes the same.
        assert!(!target.contains('+'), "{target}");
    }
}
