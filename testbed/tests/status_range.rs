//! Plain services whose answers have a status that is none of an answer to a request: nobody gets them.

#[path = "common/scripted.rs"]
mod scripted;

use scripted::Site;
use testbed::script;
use testbed::script::Script;
use testbed::script::Upload;

#[tokio::test(flavor = "multi_thread")]
async fn odd_status_passed_on() {
    let site = Site::start().await;
    for status in script::ODD_STATUSES {
        let script = Script::status(status, "");
        site.ask_scripted(&script, ("/once/a", Upload::Plain, 5), |answer| {
            let answer = answer.unwrap_or_else(|| panic!("{status:?}: none"));
            let is_right = answer.status == 200 && answer.body == "whole";
            // By the other server, or an error.
            let is_error = (500..=504).contains(&answer.status);
            assert!(is_right || is_error, "{status:?}: {answer:?}");
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn odd_status_ends_call() {
    let site = Site::start().await;
    for status in script::ODD_STATUSES {
        let script = Script::status(status, "");
        site.ask_scripted(&script, ("/again/a", Upload::Plain, 5), |answer| {
            let answer = answer.unwrap_or_else(|| panic!("{status:?}: none"));
            assert_eq!(answer.status, 200, "{status:?}: {answer:?}");
            assert_eq!(answer.body, "whole", "{status:?}: {answer:?}");
        })
        .await;
    }
}
