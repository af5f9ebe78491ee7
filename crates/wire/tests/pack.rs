//! Guards against packed streams that unpack to other bytes, wherever reads and writes
//! split them, and against packing that other Cap'n Proto implementations cannot read.

use proptest::prelude::*;
use proptest::test_runner;

fn unpack(packed: &[u8], piece: usize) -> (Vec<u8>, bool) {
    let mut unpacker = wire::pack::Unpacker::default();
    let mut plain = Vec::new();
    for mut input in packed.chunks(piece) {
        loop {
            let mut output = vec![0xaa; piece];
            let count = unpacker.unpack(&mut input, &mut output);
            plain.extend_from_slice(&output[..count]);
            if count == 0 {
                break;
            }
        }
        assert!(input.is_empty());
    }
    (plain, unpacker.is_complete())
}

fn config() -> test_runner::Config {
    test_runner::Config {
        cases: 200,
        rng_seed: test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..test_runner::Config::default()
    }
}

#[test]
fn the_example_of_the_specification_is_packed_as_published() {
    let mut packed = Vec::new();
    let plain = [
        &[8, 0, 0, 0, 3, 0, 2, 0, 0x19, 0, 0, 0, 0xaa, 1, 0, 0][..],
        &[0; 32],
    ]
    .concat();
    assert_eq!(wire::pack::pack(&plain, &mut packed), plain.len());
    let expected = [0x51, 8, 3, 2, 0x31, 0x19, 0xaa, 1, 0, 3];
    assert_eq!(packed, expected);
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn unpacking_restores_packed_words(
        words in proptest::collection::vec(
            prop_oneof![
                Just([0_u8; 8]),
                any::<[u8; 8]>(),
                any::<u8>().prop_map(|byte| [byte, 0, 0, 0, 0, 0, 0, byte]),
            ],
            0..600,
        ),
        piece in 1_usize..50,
    ) {
        let plain = words.as_flattened();
        let mut packed = Vec::new();
        prop_assert_eq!(wire::pack::pack(plain, &mut packed), plain.len());
        let (unpacked, complete) = unpack(&packed, piece);
        prop_assert!(complete);
        prop_assert_eq!(unpacked, plain);
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = unpack(&bytes, 7);
    }
}
