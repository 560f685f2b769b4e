//! Streams are cut into whole events, however their bytes arrive.

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
fn midway_held() {
    let mut splitter = Splitter::default();
    assert!(splitter.push(b"id: 1\ndata: a\n\nid: 2\nda"));
    assert_eq!(
        ids(&mut splitter),
        (vec!["1".to_owned()], b"id: 1\ndata: a\n\n".to_vec())
    );
    assert!(splitter.has_partial_event(), "the second event has begun");
    assert!(splitter.push(b"ta: b\n\n"));
    assert_eq!(ids(&mut splitter).0, ["2"]);
    assert!(!splitter.has_partial_event());
}

#[test]
fn both_line_ends() {
    let mut splitter = Splitter::default();
    assert!(splitter.push(b"id: 7\r\ndata: a\r\n\r\nid: 8\n\n"));
    assert_eq!(ids(&mut splitter).0, ["7", "8"]);
}

proptest! {
    /// However a stream is broken into pieces, the same whole events come out, without a byte
    /// lost or doubled.
    #[test]
    fn any_pieces(cuts in collection::vec(any::<proptest::sample::Index>(), 0..12)) {
        let whole: Vec<u8> = (1..20)
            .flat_map(|id| format!("id: {id}\ndata: token {id}\n\n").into_bytes())
            .collect();
        let mut places: Vec<usize> = cuts.iter().map(|one| one.index(whole.len())).collect();
        places.extend([0, whole.len()]);
        places.sort_unstable();
        let mut splitter = Splitter::default();
        let mut seen = (Vec::new(), Vec::new());
        for pair in places.windows(2) {
            assert!(splitter.push(&whole[pair[0]..pair[1]]));
            let (ids, bytes) = ids(&mut splitter);
            seen.0.extend(ids);
            seen.1.extend(bytes);
        }
        let expected: Vec<String> = (1..20).map(|id| id.to_string()).collect();
        assert_eq!(seen, (expected, whole));
    }
}
