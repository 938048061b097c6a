//! Kept turns and the prompts that they make.

use std::{sync::Arc, time::Duration};

use kingcupspan_core::gateway::{
    call::RequestId,
    history::{self, Turn, TurnCache},
};

fn turn(ancestors: &[&str], text: &str) -> Arc<Turn> {
    Arc::new(Turn {
        program: "p".into(),
        retention: Duration::from_secs(60),
        ancestors: ancestors.iter().map(|a| RequestId::from(*a)).collect(),
        input: format!("{text}?").into_bytes(),
        output: format!("{text}!\n").into_bytes(),
    })
}

#[test]
fn a_chain_is_prepended_oldest_first() {
    let mut cache = TurnCache::new(1_000);
    cache.insert("b".into(), turn(&["a"], "two"));
    cache.insert("a".into(), turn(&[], "one"));
    let chain = cache.chain(&"b".into()).unwrap();
    let prompt = history::build_prompt(&chain, b"three?");
    assert_eq!(prompt, b"one?one!\ntwo?two!\nthree?");
}

#[test]
fn the_last_turn_names_the_missing_ones() {
    let mut cache = TurnCache::new(1_000);
    cache.insert("c".into(), turn(&["a", "b"], "three"));
    cache.insert("b".into(), turn(&["a"], "two"));
    assert_eq!(cache.chain(&"c".into()), Err(vec!["a".into()]));
    assert_eq!(cache.chain(&"x".into()), Err(vec!["x".into()]));
}

#[test]
fn the_oldest_turns_leave_a_full_cache() {
    let mut cache = TurnCache::new(20);
    cache.insert("a".into(), turn(&[], "123456"));
    cache.insert("b".into(), turn(&[], "123456"));
    assert!(cache.get(&"a".into()).is_none());
    assert!(cache.get(&"b".into()).is_some());
}

#[test]
fn a_repeated_turn_counts_once() {
    let mut cache = TurnCache::new(20);
    cache.insert("a".into(), turn(&[], "123456"));
    cache.insert("a".into(), turn(&[], "123456"));
    assert_eq!(cache.len(), 1);
    assert!(cache.get(&"a".into()).is_some());
}
