//! The course of a request, read from the logs of several processes.

use std::fs;
use std::process;

const LOGS: [&str; 2] = [
    concat!(
        r#"{"msg":"request placed","ts":"2026-01-01T00:00:01Z","node":"a","event":200,"request":"r1","server":"i-1"}"#,
        "\n",
        r#"   2.5 a {"msg":"attempt ended","ts":"2026-01-01T00:00:02Z","node":"a","event":201,"request":"r1","end":"Broken"}"#,
        "\n",
        r#"{"msg":"request placed","ts":"2026-01-01T00:00:02Z","node":"a","event":200,"request":"r2"}"#,
        "\nnot json {\n"
    ),
    concat!(
        r#"{"msg":"request refused or failed","ts":"2026-01-01T00:00:03Z","node":"b","event":204,"request":"r1","status":502}"#,
        "\n"
    ),
];

fn explain(id: &str) -> process::Output {
    let dir = tempfile::tempdir().expect("a folder");
    // The later lines come first: the command brings them in order.
    let paths: Vec<_> = LOGS
        .iter()
        .rev()
        .enumerate()
        .map(|(at, text)| {
            let path = dir.path().join(format!("{at}.log"));
            fs::write(&path, text).expect("a log");
            path
        })
        .collect();
    process::Command::new(env!("CARGO_BIN_EXE_wigeonbarrow"))
        .arg("explain")
        .arg(id)
        .args(paths)
        .output()
        .expect("the command runs")
}

#[test]
fn whole_course() {
    let output = explain("r1");
    assert!(output.status.success());
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 3, "{text}");
    assert!(lines[0].contains("server=\"i-1\""), "{text}");
    assert!(lines[1].contains("end=\"Broken\""), "{text}");
    assert!(
        lines[2].starts_with("->") && lines[2].contains("status=502"),
        "{text}"
    );
    assert!(!text.contains("r2"));
}

#[test]
fn unknown_request() {
    assert_eq!(explain("r9").status.code(), Some(1));
}
