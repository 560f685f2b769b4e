//! The document in force in a process never reverts to an older one. Documents reach a process by
//! several ways and so in any order.

use wigeonbarrow::edge::document;
use wigeonbarrow::wire::agree;

fn document(version: u64) -> agree::Document {
    let text = format!("text of {version}");
    let packed = document::pack(text.as_bytes()).expect("the text packs");
    agree::Document { version, packed }
}

#[test]
fn version_never_decreases() {
    let store = document::Store::default();
    let installed = [3, 7, 5, 7, 3, 9].map(|version| store.install(document(version)));
    assert_eq!(installed, [true, true, false, false, false, true]);
    assert_eq!(store.version(), 9);
    let newest = store.newer_than(8).expect("a newer document");
    let text = document::unpack(&newest.packed).expect("the document unpacks");
    assert_eq!(text, "text of 9".as_bytes());
    assert_eq!(store.newer_than(9), None);
}
