//! Starts the whole path as separate processes and sends real prompts through it.

use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use serde_json::Value;
use serde_json::json;
use testbed::fleet;
use testbed::token;

/// Lengths of the prompts that are sent, in tokens.
const LENGTHS: [usize; 6] = [1_000, 4_000, 16_000, 64_000, 128_000, 300_000];

/// Tokens asked for.
const MAX_TOKENS: usize = 24;

const BYTES_PER_TOKEN: usize = 8;

fn command() -> Command {
    Command::new("demo")
        .about("Starts control, entries, engines with sidecars, and a plain service; sends prompts")
        .arg(number("engines", "4", "Stand-in engines"))
        .arg(number("entries", "2", "Entries"))
        .arg(number("controls", "1", "Control processes"))
        .arg(number(
            "stay-seconds",
            "0",
            "How long it stays up after its prompts",
        ))
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .help(help)
        .value_parser(value_parser!(u64))
}

fn get(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one(name).copied().unwrap_or_default()
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let matches = command().get_matches();
    let plan = fleet::Plan {
        controls: get(&matches, "controls") as usize,
        entries: get(&matches, "entries") as usize,
        engines: get(&matches, "engines") as usize,
        services: 1,
        engine_flags: [
            "--prefill-rate=200000",
            "--token-ms=10",
            "--memory-tokens=800000",
        ]
        .map(str::to_owned)
        .to_vec(),
        ..fleet::Plan::default()
    };
    fleet::say("starting ...");
    let fleet = fleet::Fleet::start(&plan).await?;
    for process in &fleet.processes {
        fleet::say(&format!("  {:<18} http://{}", process.name, process.http));
    }
    let http = reqwest::Client::new();
    let urls = fleet.urls();
    fleet::say("\n tokens  first token  whole answer  tokens out  answer");
    for (at, length) in LENGTHS.into_iter().enumerate() {
        prompt(&http, &urls[at % urls.len()], length).await?;
    }
    call(&http, &urls[0]).await?;
    stay(&urls, get(&matches, "stay-seconds")).await;
    Ok(())
}

/// Sends one prompt and checks its whole answer.
async fn prompt(http: &reqwest::Client, url: &str, tokens: usize) -> anyhow::Result<()> {
    let line = format!("{tokens:07} ");
    let text = line.repeat(tokens * BYTES_PER_TOKEN / line.len());
    let body = json!({
        "model": "contract-desk", "prompt": text, "max_tokens": MAX_TOKENS, "stream": true,
    });
    let sent = Instant::now();
    let mut answer = http
        .post(format!("{url}/v1/completions"))
        .bearer_auth(fleet::WORKSPACE_KEY)
        .json(&body)
        .send()
        .await?;
    let status = answer.status();
    anyhow::ensure!(status.is_success(), "{status}: {}", answer.text().await?);
    let mut first = None;
    let mut events = Vec::new();
    while let Some(bytes) = answer.chunk().await? {
        if first.is_none() && bytes.starts_with(b"data:") {
            first = Some(sent.elapsed());
        }
        events.extend_from_slice(&bytes);
    }
    let whole = sent.elapsed();
    let got = read(&events)?;
    let expected: String = (0..MAX_TOKENS as u64)
        .map(|at| token::text(token::hash(0, text.as_bytes()), at))
        .collect();
    let verdict = if got == expected { "right" } else { "WRONG" };
    fleet::say(&format!(
        "{tokens:>7}  {:>8} ms  {:>9} ms  {:>10}  {verdict}",
        first.unwrap_or(whole).as_millis(),
        whole.as_millis(),
        got.split_whitespace().count(),
    ));
    anyhow::ensure!(got == expected, "a wrong answer");
    Ok(())
}

/// The text of a streamed answer, which must have its end mark.
fn read(events: &[u8]) -> anyhow::Result<String> {
    let mut text = String::new();
    let mut whole = false;
    for line in std::str::from_utf8(events)?.lines() {
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            whole = true;
            continue;
        }
        let event: Value = serde_json::from_str(data)?;
        anyhow::ensure!(event["error"].is_null(), "{event}");
        text.push_str(event["choices"][0]["text"].as_str().unwrap_or_default());
    }
    anyhow::ensure!(whole, "the answer has no end mark");
    Ok(text)
}

/// Calls the plain service.
async fn call(http: &reqwest::Client, url: &str) -> anyhow::Result<()> {
    let answer = http
        .post(format!("{url}/services/crew-portal/shifts/4711"))
        .bearer_auth(fleet::WORKSPACE_KEY)
        .header("Idempotency-Key", "demo-shift-4711")
        .header("x-count", "demo")
        .body("swap")
        .send()
        .await
        .context("plain service")?;
    let status = answer.status();
    let text = answer.text().await?;
    fleet::say(&format!("\nplain service: {status} {text}"));
    anyhow::ensure!(status.is_success(), "the plain service's call failed");
    Ok(())
}

async fn stay(urls: &[String], seconds: u64) {
    if seconds == 0 {
        return;
    }
    fleet::say(&format!(
        "\nstays for {seconds} s; try:\n  curl -H 'Authorization: Bearer {}' {}/v1/models",
        fleet::WORKSPACE_KEY,
        urls[0]
    ));
    tokio::time::sleep(Duration::from_secs(seconds)).await;
}
