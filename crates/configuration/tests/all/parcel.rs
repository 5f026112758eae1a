//! Deltas of sections between peers.

use auburnline_configuration::parcel::Piece;
use auburnline_configuration::source::Value;
use auburnline_core::hash::digest;
use googletest::prelude::*;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[gtest]
    fn a_delta_gives_the_new_bytes_from_the_old(
        old in prop::collection::vec(0u8..3, 0..40),
        new in prop::collection::vec(0u8..3, 0..40),
    ) {
        let old: Value = old.into();
        let base = digest(&old);
        let piece = Piece::delta(&base, &old, &new);
        let unpacked = piece.unpack(Some((&base, &old)));
        prop_assert_eq!(unpacked.as_deref(), Some(&*new));
    }

    #[gtest]
    fn a_delta_of_another_base_or_length_gives_nothing(
        prefix in any::<usize>(),
        suffix in any::<usize>(),
        base in "[0-9a-f]{64}",
    ) {
        let old: Value = Value::from(&b"old"[..]);
        let piece = Piece::Delta { base: base.clone(), prefix, suffix, middle: old.clone() };
        let found = digest(&old);
        prop_assert_eq!(piece.unpack(Some((&found, &old))), None);
        let fits = prefix.checked_add(suffix).is_some_and(|kept| kept <= old.len());
        prop_assert_eq!(piece.unpack(Some((&base, &old))).is_some(), fits);
    }
}

#[gtest]
fn a_small_change_of_a_large_section_travels_as_a_few_bytes() {
    let old = vec![b'x'; 1_000_000];
    let mut new = old.clone();
    new[500_000] = b'y';
    let piece = Piece::delta(&digest(&old), &old, &new);
    expect_that!(piece.len(), lt(100));
}
