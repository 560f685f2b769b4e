//! The fault-injecting TCP proxy.

use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::Context;
use clap::Arg;
use clap::ArgAction;
use clap::Command;
use testbed::flag;
use testbed::http;
use testbed::proxy;
use tokio::net::TcpListener;

/// Threads that forward.
const WORKERS: usize = 2;
const MODES: &str = "Control lines, one answer line each:
  mode NAME|* pass
  mode NAME|* cut               close all connections, and new ones at once
  mode NAME|* reset             close the connections that stand; new ones pass
  mode NAME|* drop [up|down]    read and throw away, both ways or one
  mode NAME|* delay MS          deliver this much later
  mode NAME|* freeze            read nothing
  mode NAME|* half-open [up|down]  close towards the target (up) or the client only
  list";

fn main() -> anyhow::Result<()> {
    let matches = command().get_matches();
    let pairs: Vec<String> = matches
        .get_many::<String>("pair")
        .into_iter()
        .flatten()
        .cloned()
        .collect();
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKERS)
        .enable_all()
        .build()?
        .block_on(run(flag::get(&matches, "control"), &pairs))
}

fn command() -> Command {
    Command::new("fault-proxy")
        .about("Forwards TCP connections and injects faults into them")
        .after_help(MODES)
        .arg(flag::addr(
            "control",
            "127.0.0.1:0",
            "Address for control lines",
        ))
        .arg(
            Arg::new("pair")
                .long("pair")
                .action(ArgAction::Append)
                .required(true)
                .value_name("NAME=LISTEN,TARGET")
                .help("A listener with its target; port 0 picks one"),
        )
}

async fn run(control: SocketAddr, pairs: &[String]) -> anyhow::Result<()> {
    let mut opened = Vec::new();
    for text in pairs {
        let (name, addrs) = text.split_once('=').context("NAME=LISTEN,TARGET")?;
        let (listen, target) = addrs.split_once(',').context("NAME=LISTEN,TARGET")?;
        let pair = proxy::Pair::open(name, listen.parse()?, target.parse()?).await?;
        println!("pair {} on {}", pair.name, pair.addr);
        opened.push(pair);
    }
    let listener = TcpListener::bind(control).await?;
    println!("control on {}", listener.local_addr()?);
    let proxy = Arc::new(proxy::Proxy { pairs: opened });
    tokio::select! {
        result = proxy.control(listener) => result,
        result = http::terminated() => result,
    }
}
