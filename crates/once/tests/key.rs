//! Tests of minted keys.

use core::time::Duration;

use once::key::{self, Minted};

fn minted(host: &str) -> Minted {
    Minted {
        host: host.to_owned(),
        incarnation: 1_700_000_000_000,
        serial: 7,
        minted_at: Duration::from_millis(1_500),
    }
}

/// Guards against a minted key that cannot be verified after a change of the
/// shared keys, or that is not safe in a header.
#[test]
fn minted_keys_verify_with_every_accepted_shared_key() {
    for host in ["b1", "b1.example.net", "%41", "naïve name"] {
        let text = minted(host).sign(b"old");
        assert!(key::is_minted(&text));
        assert!(text.bytes().all(|byte| byte.is_ascii_graphic()));
        assert_eq!(key::verify(&text, &["new", "old"]), Ok(minted(host)));
    }
}

/// Guards against forged keys and against two spellings of one key.
#[test]
fn altered_keys_are_refused() {
    let text = minted("b1").sign(b"shared");
    assert_eq!(
        key::verify(&text, &["other"]),
        Err(answer::Kind::BadKey),
        "another shared key"
    );
    assert_eq!(key::verify(&text, &[""; 0]), Err(answer::Kind::BadKey));
    for index in 0..text.len() {
        let mut bytes = text.clone().into_bytes();
        bytes[index] ^= 1;
        let changed = String::from_utf8(bytes).expect("the text is ASCII");
        assert_eq!(
            key::verify(&changed, &["shared"]),
            Err(answer::Kind::BadKey),
            "byte {index}"
        );
    }
    let upper = format!(
        "{}{}",
        &text[..text.len() - 64],
        text[text.len() - 64..].to_uppercase()
    );
    assert_eq!(key::verify(&upper, &["shared"]), Err(answer::Kind::BadKey));
    for text in ["", "cbk1.", "cbk1.b1.1.2.3", "cbk1....."] {
        assert_eq!(key::verify(text, &["shared"]), Err(answer::Kind::BadKey));
    }
}

/// Guards against a second run of a key whose ledger entry has expired.
#[test]
fn keys_older_than_the_maximum_resend_age_are_refused() {
    let key = minted("b1");
    let max_age = Duration::from_secs(60);
    let late = key.minted_at + max_age;
    assert_eq!(key.may_dispatch(late, max_age), Ok(()));
    assert_eq!(
        key.may_dispatch(late + Duration::from_millis(1), max_age),
        Err(answer::Kind::OutcomeUnknown)
    );
}
