//! Parsing of event streams that arrive in pieces of any size.

use kingcupspan_core::gateway::events::Scanner;
use proptest::prelude::*;

fn event(id: usize, data: &str) -> String {
    format!("id: {id}\ndata: {data}\n\n")
}

#[test]
fn collects_the_data_of_complete_events() {
    let mut scanner = Scanner::new(true);
    let complete =
        scanner.push(b"id: 1\ndata: a b\n\nid: 2\r\ndata:c\r\ndata: d\r\n\r\nid: 3\ndata: cut");
    let complete = complete.expect("the events are small");
    insta::assert_snapshot!(String::from_utf8(complete).unwrap(), @"
    id: 1
    data: a b

    id: 2
    data:c
    data: d
    ");
    assert_eq!(scanner.events(), 2);
    assert!(!scanner.is_at_boundary());
    assert_eq!(scanner.into_output(), b"a b\nc\nd\n");
}

// Guards against endpoints that send an event without end.
#[test]
fn event_without_end_is_an_error() {
    for piece in [&b"xxxxxxxxxxxxxxxx"[..], b"data: more of it\n"] {
        let mut scanner = Scanner::new(true);
        let pushes = (0..100_000).map(|_| scanner.push(piece));
        let results: Vec<_> = pushes.take_while(Result::is_ok).collect();
        assert!(results.len() * piece.len() <= 256 * 1024);
        assert!(results.iter().all(|r| r == &Ok(Vec::new())));
    }
}

#[test]
fn output_without_end_is_an_error() {
    let mut scanner = Scanner::new(true);
    let event = event(1, &"x".repeat(1_000));
    let pushes = (0..10_000).map(|_| scanner.push(event.as_bytes()));
    let accepted = pushes.take_while(Result::is_ok).count();
    assert!(accepted * 1_000 <= 4 * 1024 * 1024);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn result_does_not_depend_on_the_pieces(datas in proptest::collection::vec("[a-z ]{0,12}", 0..8), cuts in proptest::collection::vec(1usize..9, 1..60)) {
        let stream: String = datas.iter().enumerate().map(|(i, d)| event(i, d)).collect();
        let mut scanner = Scanner::new(true);
        let mut complete = Vec::new();
        let mut rest = stream.as_bytes();
        for cut in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (piece, after) = rest.split_at((*cut).min(rest.len()));
            complete.extend(scanner.push(piece).expect("the events are small"));
            rest = after;
        }
        prop_assert_eq!(complete, stream.as_bytes());
        prop_assert_eq!(scanner.events(), datas.len() as u64);
        prop_assert!(scanner.is_at_boundary());
        let expected: String = datas.iter().map(|d| format!("{}\n", d)).collect();
        prop_assert_eq!(scanner.into_output(), expected.into_bytes());
    }
}
