//! Links to processes that do not answer at first.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time;
use wigeonbarrow::edge::link;
use wigeonbarrow::wire::rpc;
use wigeonbarrow::wire::run;

const KEY: &str = "key";
/// Time for which the other process answers nothing.
const DOWN: Duration = Duration::from_millis(100);
/// The system sends the first packet of a connection again after a second.
const AGAIN: Duration = Duration::from_secs(1);

struct Answers;

impl link::Handler for Answers {
    fn revision(&self) -> u64 {
        0
    }

    fn seen(&self, _: u64, _: Option<SocketAddr>) {}

    async fn ask(&self, _: rpc::Ask) -> rpc::Answer {
        rpc::Answer::Document(None)
    }

    async fn run(&self, _: link::Sender<run::Reply>, _: link::Receiver<run::Call>) {}
}

/// A listener whose queue is full, so that packets of new connections are lost, and what fills it.
async fn full_listener() -> (TcpListener, Vec<TcpStream>) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .bind(SocketAddr::from(([127, 0, 0, 1], 0)))
        .expect("bound");
    let listener = socket.listen(1).expect("it listens");
    let addr = listener.local_addr().expect("an address");
    let mut queued = Vec::new();
    while let Ok(conn) = time::timeout(DOWN, TcpStream::connect(addr)).await {
        queued.push(conn.expect("queued"));
    }
    (listener, queued)
}

#[tokio::test]
async fn first_packet_lost() {
    let (listener, queued) = full_listener().await;
    let addr = listener.local_addr().expect("an address");
    let client = link::Client::new(addr, KEY, Arc::new(Answers));
    let began = Instant::now();
    let serving = async {
        time::sleep(DOWN).await;
        for _ in &queued {
            drop(listener.accept().await.expect("accepted"));
        }
        link::serve(listener, KEY, Arc::new(Answers)).await
    };
    let ask = rpc::Ask::Document { have: 0 };
    let answer = tokio::select! {
        answer = client.ask(&ask, AGAIN * 5) => answer,
        err = serving => panic!("serving ended: {err}"),
    };
    assert!(answer.is_ok(), "{answer:?}");
    let took = began.elapsed();
    println!("{took:?}");
    assert!(took < AGAIN, "{took:?}");
}
