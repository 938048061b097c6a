//! Fragments of encoded turns, read from the store in any order.

use std::time::Duration;

use kingcupspan_core::{
    gateway::fragment::{Assembler, Fragment},
    id::{MonoMs, WallMs},
};
use proptest::prelude::*;

fn split(encoded: &[u8], max_bytes: usize) -> Vec<Fragment> {
    Fragment::split(
        "key",
        Duration::from_secs(60),
        WallMs(7),
        encoded,
        max_bytes,
    )
}

#[test]
fn incomplete_turns_expire() {
    let fragments = split(b"abcdef", 4);
    let mut assembler = Assembler::default();
    assert_eq!(assembler.add(fragments[0].clone(), MonoMs(1_000)), None);
    assembler.expire(MonoMs(1_001));
    assert_eq!(assembler.add(fragments[1].clone(), MonoMs(1_002)), None);
    let joined = assembler.add(fragments[0].clone(), MonoMs(1_003));
    assert_eq!(joined.as_deref(), Some(&b"abcdef"[..]));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(1), ..ProptestConfig::default() })]

    // Guards against turns that depend on the order in which their fragments are listed.
    #[test]
    fn fragments_are_joined_in_any_order(
        encoded in proptest::collection::vec(any::<u8>(), 1..200),
        max_bytes in 1usize..80,
        repeated in any::<prop::sample::Index>(),
        order in any::<u64>(),
    ) {
        let fragments = split(&encoded, max_bytes);
        prop_assert!(fragments.iter().all(|f| f.bytes.len() <= max_bytes));
        let mut order_of_reads: Vec<usize> = (0..fragments.len()).collect();
        order_of_reads.sort_by_key(|i| (*i as u64 + 1).wrapping_mul(order | 1));
        let mut assembler = Assembler::default();
        let (last, others) = order_of_reads.split_last().expect("there is a fragment");
        for i in others {
            prop_assert_eq!(assembler.add(fragments[*i].clone(), MonoMs(1)), None);
        }
        if !others.is_empty() {
            let again = fragments[others[repeated.index(others.len())]].clone();
            prop_assert_eq!(assembler.add(again, MonoMs(2)), None);
        }
        prop_assert_eq!(assembler.add(fragments[*last].clone(), MonoMs(3)), Some(encoded));
    }
}
