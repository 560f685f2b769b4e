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
        "\nnot json {\n",
        r#"{"msg":"limit","ts":"2026-01-01T00:00:04Z","node":"a","event":216,"server":"i-1","limit":"9"}"#,
        "\n",
        r#"{"msg":"limit","ts":"2026-01-01T00:00:05Z","node":"a","event":216,"server":"i-2","limit":"1.2"}"#,
        "\n",
        r#"{"msg":"limit","ts":"2026-01-01T00:00:06Z","node":"b","event":216,"server":"i-3","limit":"none"}"#,
        "\n",
        r#"{"msg":"come back","ts":"2026-01-01T00:00:07Z","node":"a","event":218,"request":"r3"}"#,
        "\n",
        r#"{"msg":"request refused or failed","ts":"2026-01-01T00:00:07Z","node":"a","event":204,"request":"r3","status":503}"#,
        "\n"
    ),
    concat!(
        r#"{"msg":"request leaves","ts":"2026-01-01T00:00:08Z","node":"c","event":223,"request":"r6","server":"i-1","decision":"stay","why":"budget"}"#,
        "\n",
        r#"{"msg":"answer broken off","ts":"2026-01-01T00:00:09Z","node":"c","event":206,"requests":"r6 r7","stage":"answering"}"#,
        "\n",
        r#"{"msg":"request refused or failed","ts":"2026-01-01T00:00:03Z","node":"b","event":204,"request":"r1","status":502}"#,
        "\n",
        r#"{"msg":"zones","ts":"2026-01-01T00:00:07Z","node":"b","event":236,"zones":"east"}"#,
        "\n",
        r#"{"msg":"zones","ts":"2026-01-01T00:00:07Z","node":"c","event":236,"zones":"west"}"#,
        "\n",
        r#"{"msg":"zones","ts":"2026-01-01T00:00:09Z","node":"b","event":236,"zones":""}"#,
        "\n",
        r#"{"msg":"pause","ts":"2026-01-01T00:00:10Z","node":"d","event":260,"server":"i-4","change":"begins"}"#,
        "\n",
        r#"{"msg":"pause","ts":"2026-01-01T00:00:11Z","node":"d","event":260,"server":"i-4","change":"ends"}"#,
        "\n",
        r#"{"msg":"pause","ts":"2026-01-01T00:00:11Z","node":"d","event":260,"server":"i-5","change":"begins"}"#,
        "\n",
        r#"{"msg":"pause","ts":"2026-01-01T00:00:11Z","node":"c","event":260,"server":"i-6","change":"begins"}"#,
        "\n",
        r#"{"msg":"come back","ts":"2026-01-01T00:00:12Z","node":"d","event":262,"request":"r8"}"#,
        "\n",
        r#"{"msg":"request refused or failed","ts":"2026-01-01T00:00:12Z","node":"d","event":204,"request":"r8","status":503}"#,
        "\n",
        r#"{"msg":"cut","ts":"2026-01-01T00:00:08Z","node":"b","event":219,"requests":"r4 r5","stage":"waiting"}"#,
        "\n"
    ),
];

/// The log of a request that waited and was rejected for a full queue.
const WAITED: &str = concat!(
    r#"{"msg":"waits","ts":"2026-01-01T00:00:13Z","node":"e","event":264,"request":"w1","class":"short","ahead":12,"waiting":40}"#,
    "\n",
    r#"{"msg":"rejected","ts":"2026-01-01T00:00:14Z","node":"e","event":265,"request":"w1","cause":"full","waiting":1024}"#,
    "\n",
    r#"{"msg":"request refused or failed","ts":"2026-01-01T00:00:14Z","node":"e","event":204,"request":"w1","status":503,"retry_after_ms":350}"#,
    "\n"
);

fn explain(id: &str) -> process::Output {
    let dir = tempfile::tempdir().expect("a folder");
    // The later lines come first: the command brings them in order.
    let paths: Vec<_> = LOGS
        .iter()
        .chain([&WAITED])
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

/// What servers had named by the end of a request that was refused for that.
#[test]
fn limits_in_force() {
    let text = String::from_utf8_lossy(&explain("r3").stdout).into_owned();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 4, "{text}");
    assert!(lines[1].starts_with("->"), "{text}");
    assert!(lines[2].contains("\"i-1\"") && lines[2].contains("limit=\"9\""));
    assert!(lines[3].contains("\"i-2\"") && lines[3].contains("limit=\"1.2\""));
}

/// Many requests that a stop cut stand in one line.
#[test]
fn cut_among_others() {
    let text = String::from_utf8_lossy(&explain("r5").stdout).into_owned();
    assert!(
        text.starts_with("->") && text.contains("stage=\"waiting\""),
        "{text}"
    );
    assert_eq!(explain("r").status.code(), Some(1), "part of an id");
}

/// A request stayed with a silent server and was cut, among so many that they share a line.
#[test]
fn cut_while_silent() {
    let text = String::from_utf8_lossy(&explain("r6").stdout).into_owned();
    let lines: Vec<&str> = text.lines().collect();
    assert!(lines[0].contains("why=\"budget\""), "{text}");
    assert!(
        lines[1].starts_with("->") && lines[1].contains("stage=\"answering\""),
        "{text}"
    );
}

/// Servers of an evacuated zone were left out of a request's choice: what its own entry had in force.
#[test]
fn zones_left_out() {
    let text = String::from_utf8_lossy(&explain("r5").stdout).into_owned();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 2, "{text}");
    assert!(lines[1].contains("zones=\"east\""), "{text}");
    let text = String::from_utf8_lossy(&explain("r1").stdout).into_owned();
    assert!(!text.contains("zones="), "it ended before: {text}");
}

/// The pauses in progress at the entry of a request that was refused for them.
#[test]
fn pauses_in_progress() {
    let text = String::from_utf8_lossy(&explain("r8").stdout).into_owned();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 3, "{text}");
    assert!(lines[1].starts_with("->"), "{text}");
    assert!(lines[2].contains("server=\"i-5\""), "{text}");
}

#[test]
fn unknown_request() {
    assert_eq!(explain("r9").status.code(), Some(1));
}

/// Guards against a rejection for a full queue of which the operator learns no reason.
#[test]
fn wait_explained() {
    let text = String::from_utf8_lossy(&explain("w1").stdout).into_owned();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 6, "{text}");
    assert!(lines[3].contains("12 of its service and class"), "{text}");
    assert!(lines[4].contains("full with 1024 requests"), "{text}");
    assert!(lines[5].contains("after 0.350 s"), "{text}");
}
