//! What is in force in a process never goes back, in whatever order documents come.

use wigeonbarrow::edge::document;
use wigeonbarrow::wire::agree;

fn packed(version: u64) -> agree::Document {
    let text = format!("text of {version}");
    let packed = document::pack(text.as_bytes()).expect("it packs");
    agree::Document { version, packed }
}

#[test]
fn never_back() {
    let store = document::Store::default();
    let taken = [3, 7, 5, 7, 3, 9].map(|version| store.install(packed(version)));
    assert_eq!(taken, [true, true, false, false, false, true]);
    assert_eq!(store.version(), 9);
    let newest = store.newer_than(8).expect("the newest");
    let text = document::unpack(&newest.packed).expect("it unpacks");
    assert_eq!(text, "text of 9".as_bytes());
    assert_eq!(store.newer_than(9), None);
}
