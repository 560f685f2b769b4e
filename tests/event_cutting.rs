//! Streams of events are split into complete events, however their bytes arrive. Guards against
//! events that are lost, duplicated or passed on incomplete.

use proptest::collection;
use proptest::prelude::any;
use proptest::proptest;
use wigeonbarrow::direct::sse::Splitter;

fn ids(splitter: &mut Splitter) -> (Vec<String>, Vec<u8>) {
    let mut ids = Vec::new();
    let mut bytes = Vec::new();
    while let Some(event) = splitter.next_event() {
        bytes.extend_from_slice(&event.bytes);
        ids.extend(event.id);
    }
    (ids, bytes)
}

#[test]
fn incomplete_event_held_back() {
    let mut splitter = Splitter::default();
    assert!(splitter.push(b"id: 1\ndata: a\n\nid: 2\nda"));
    assert_eq!(
        ids(&mut splitter),
        (vec!["1".to_owned()], b"id: 1\ndata: a\n\n".to_vec())
    );
    assert!(
        splitter.has_partial_event(),
        "the second event is incomplete"
    );
    assert!(splitter.push(b"ta: b\n\n"));
    assert_eq!(ids(&mut splitter).0, ["2"]);
    assert!(!splitter.has_partial_event());
}

#[test]
fn both_line_endings() {
    let mut splitter = Splitter::default();
    assert!(splitter.push(b"id: 7\r\ndata: a\r\n\r\nid: 8\n\n"));
    assert_eq!(ids(&mut splitter).0, ["7", "8"]);
}

proptest! {
    /// A stream cut at any bounds gives the same events, with no byte lost or duplicated.
    #[test]
    fn same_events_for_any_chunks(cuts in collection::vec(any::<proptest::sample::Index>(), 0..12)) {
        let whole: Vec<u8> = (1..20)
            .flat_map(|id| format!("id: {id}\ndata: token {id}\n\n").into_bytes())
            .collect();
        let mut bounds: Vec<usize> = cuts.iter().map(|cut| cut.index(whole.len())).collect();
        bounds.extend([0, whole.len()]);
        bounds.sort_unstable();
        let mut splitter = Splitter::default();
        let mut received = (Vec::new(), Vec::new());
        for pair in bounds.windows(2) {
            assert!(splitter.push(&whole[pair[0]..pair[1]]));
            let (ids, bytes) = ids(&mut splitter);
            received.0.extend(ids);
            received.1.extend(bytes);
        }
        let expected: Vec<String> = (1..20).map(|id| id.to_string()).collect();
        assert_eq!(received, (expected, whole));
    }
}

#[test]
fn comments_taken_for_events() {
    let mut splitter = Splitter::default();
    assert!(splitter.push(b": a\n\nid: 1\ndata: x\n\n:\r\n: b\r\n\r\n: c\ndata: y\n\n\n\n"));
    let events: Vec<(bool, Option<String>)> = std::iter::from_fn(|| splitter.next_event())
        .map(|event| (event.is_comment, event.id))
        .collect();
    let id = Some("1".to_owned());
    assert_eq!(
        events,
        [
            (true, None),
            (false, id),
            (true, None),
            (false, None),
            (true, None)
        ]
    );
}
