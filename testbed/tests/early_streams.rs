//! Engines that begin a stream before its prompt has arrived and reset the connection, or answer with a
//! status that is none: the prompt goes on at another engine, and its answer is whole.

#[path = "common/caller.rs"]
mod caller;
#[path = "common/scripted.rs"]
mod scripted;

use std::time::Duration;

use caller::End;
use caller::Prompt;
use testbed::announce;
use testbed::fleet;
use testbed::fleet::Fleet;
use testbed::script;
use testbed::script::Read;
use testbed::script::Script;
use testbed::script::Server;
use testbed::token;
use tokio::sync::watch;
use tokio::time;

/// Bytes of prompts: in a single packet, and larger than the buffers of a connection.
const SMALL: usize = 100;
const LARGE: usize = 3 << 20;

/// Time limit of prompts that cannot be answered.
const LIMIT: Duration = Duration::from_secs(2);

const CONFIG: &str = r#"
[service.wigeon-pool]
kind = "engine"

[model.contract-desk]
service = "wigeon-pool"
"#;

/// Most prompts until the scripted engine is chosen.
const TRIES: usize = 200;

const PAUSE: Duration = Duration::from_millis(20);

const STREAM: &str = "Content-Type: text/event-stream\r\n";

/// A fleet with a scripted engine beside so many others.
async fn start(engines: usize) -> (Fleet, Server) {
    let config = if engines == 0 { CONFIG } else { "" };
    let plan = fleet::Plan {
        engines,
        config: config.to_owned(),
        ..fleet::Plan::default()
    };
    let mut fleet = Fleet::start(&plan).await.expect("a fleet");
    let server = Server::start().await.expect("a server");
    let announcement = announce::Announcement {
        server: "wigeon-pool-9".to_owned(),
        service: "wigeon-pool".to_owned(),
        kind: "engine",
        url: format!("http://{}", server.addr),
        incarnation: script::INCARNATION,
        models: vec!["contract-desk".to_owned()],
        slots: 8,
        memory_tokens: 1_000_000,
        ttl_ms: 2_000,
        leaving: false,
    };
    scripted::announce(&mut fleet, &announcement);
    (fleet, server)
}

/// An answer that begins with the first token of this prompt and breaks off.
fn early(text: &str, read: Read) -> Script {
    let first = token::text(token::hash(0, text.as_bytes()), 0);
    let event = format!("data: {{\"offset\":0,\"tokens\":[\"{first}\"]}}\n\n");
    Script::early(STREAM, &event, read)
}

/// Sends prompts until the scripted engine has got one. The script may depend on the prompt.
async fn ask(
    fleet: &Fleet,
    server: &Server,
    bytes: usize,
    script: impl Fn(&str) -> Script,
    check: impl Fn(&End, &str),
) {
    let played = server.played().len();
    for tries in 0..TRIES {
        // Another prompt each time: one under which engines are lost is quarantined.
        let text = format!("{played:08}{tries:08}{}", "x".repeat(bytes));
        let script = script(&text);
        let form = format!("{:?} {bytes} {:?}", script.answer, script.read);
        server.set(Some(script));
        let mut prompt = Prompt::new(&text, 4);
        if bytes == LARGE {
            prompt.limit = LIMIT;
        }
        let (seen, _) = watch::channel(0);
        let url = &fleet.urls()[0];
        let end = prompt.send(&reqwest::Client::new(), url, &seen).await;
        check(&end, &form);
        if server.played().len() > played {
            return;
        }
        time::sleep(PAUSE).await;
    }
    panic!("the scripted engine is never chosen");
}

/// With no other engine to go on.
#[tokio::test(flavor = "multi_thread")]
async fn part_of_stream_looks_whole() {
    let (fleet, server) = start(0).await;
    for read in Read::ALL {
        ask(
            &fleet,
            &server,
            LARGE,
            |text| early(text, read),
            |end, form| {
                assert!(end.error().is_some(), "{form}: {end:?}");
            },
        )
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn prompt_not_continued() {
    let (fleet, server) = start(1).await;
    for read in Read::ALL {
        ask(
            &fleet,
            &server,
            SMALL,
            |text| early(text, read),
            |end, form| {
                assert_eq!(*end, End::Right, "{form}");
            },
        )
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn odd_status_ends_prompt() {
    let (fleet, server) = start(1).await;
    for status in script::ODD_STATUSES {
        ask(
            &fleet,
            &server,
            SMALL,
            |_| Script::status(status, STREAM),
            |end, form| {
                assert_eq!(*end, End::Right, "{form}");
            },
        )
        .await;
    }
}
