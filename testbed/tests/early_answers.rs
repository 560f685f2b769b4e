//! Plain services that answer before a call's body has arrived and reset the connection: what has come
//! of such an answer must not look whole.

#[path = "common/scripted.rs"]
mod scripted;

use scripted::Answer;
use scripted::Site;
use testbed::script::Read;
use testbed::script::Script;
use testbed::script::Upload;

/// Bodies of callers: in a single packet, and larger than the buffers of a connection.
const SMALL: usize = 5;
const LARGE: usize = 3 << 20;

/// Headers of an answer that ends with its connection.
const UNFRAMED: [&str; 2] = ["", "Connection: close\r\n"];

/// Headers of a stream that ends so, and of an answer with a length.
const OTHERS: [&str; 2] = [
    "Content-Type: text/event-stream\r\n",
    "Content-Length: 5\r\n",
];

/// Tries each form of a response that breaks off, with uploads of both framings and sizes.
async fn ask_in_all_forms(
    headers: &[&str],
    path: &str,
    check: impl Fn(&str, &str, Option<&Answer>),
) {
    let site = Site::start().await;
    for (at, headers) in headers.iter().enumerate() {
        for (turn, read) in Read::ALL.into_iter().enumerate() {
            let script = Script::early(headers, "wh", read);
            let (plain, chunked) = if (at + turn) % 2 == 0 {
                (SMALL, LARGE)
            } else {
                (LARGE, SMALL)
            };
            for (upload, bytes) in [(Upload::Plain, plain), (Upload::Chunked, chunked)] {
                let form = format!("{path} {upload:?} {bytes} {read:?} {headers:?}");
                site.ask_scripted(&script, (path, upload, bytes), |answer| {
                    check(headers, &form, answer);
                })
                .await;
            }
        }
    }
}

/// A part of an answer must not reach a caller as the whole.
fn check_part(_: &str, form: &str, answer: Option<&Answer>) {
    let is_part = |answer: &Answer| answer.status == 200 && answer.whole && answer.body != "whole";
    assert!(!answer.is_some_and(is_part), "{form}: {answer:?}");
}

/// Unless a part with its length was passed on already, the other server answers.
fn check_repeated(headers: &str, form: &str, answer: Option<&Answer>) {
    check_part(headers, form, answer);
    if !headers.contains("Content-Length") {
        let answer = answer.unwrap_or_else(|| panic!("{form}: no answer"));
        assert_eq!(answer.status, 200, "{form}: {answer:?}");
        assert_eq!(answer.body, "whole", "{form}: {answer:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn part_without_length_looks_whole() {
    ask_in_all_forms(&UNFRAMED, "/once/a", check_part).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn part_with_length_looks_whole() {
    ask_in_all_forms(&OTHERS, "/once/a", check_part).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn call_without_length_not_repeated() {
    ask_in_all_forms(&UNFRAMED, "/again/a", check_repeated).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn held_stream_not_repeated() {
    ask_in_all_forms(&OTHERS, "/again/a", check_repeated).await;
}
