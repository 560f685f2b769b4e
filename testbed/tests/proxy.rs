//! Each fault of the proxy, on connections that stand and on new ones.

use std::time::Duration;

use testbed::proxy;
use testbed::proxy::Mode;
use testbed::proxy::Way;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time;

/// Long enough for what must come.
const BOUND: Duration = Duration::from_secs(20);

/// A proxy in front of a target that takes connections here.
struct Rig {
    pair: proxy::Pair,
    listener: TcpListener,
}

impl Rig {
    async fn new() -> Self {
        let any = "127.0.0.1:0".parse().unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let target = listener.local_addr().unwrap();
        let pair = proxy::Pair::open("p", any, target).await.unwrap();
        Self { pair, listener }
    }

    /// Both ends of a connection through the proxy.
    async fn connect(&self) -> (TcpStream, TcpStream) {
        let client = TcpStream::connect(self.pair.addr).await.unwrap();
        let (server, _) = self.listener.accept().await.unwrap();
        (client, server)
    }
}

async fn expect(stream: &mut TcpStream, text: &str) {
    let mut buf = vec![0; text.len()];
    let read = time::timeout(BOUND, stream.read_exact(&mut buf)).await;
    read.expect("nothing came").unwrap();
    assert_eq!(buf, text.as_bytes());
}

/// Waits for the end of a stream, by a close or a reset, without a byte before.
async fn ended(stream: &mut TcpStream) {
    let mut buf = [0; 1];
    let read = time::timeout(BOUND, stream.read(&mut buf)).await;
    assert!(matches!(read.expect("it goes on"), Ok(0) | Err(_)));
}

#[tokio::test]
async fn passes_and_closes() {
    let rig = Rig::new().await;
    let (mut client, mut server) = rig.connect().await;
    client.write_all(b"up").await.unwrap();
    expect(&mut server, "up").await;
    server.write_all(b"down").await.unwrap();
    expect(&mut client, "down").await;
    client.shutdown().await.unwrap();
    ended(&mut server).await;
    // The other way still stands.
    server.write_all(b"rest").await.unwrap();
    expect(&mut client, "rest").await;
}

#[tokio::test]
async fn cut_and_reset() {
    let rig = Rig::new().await;
    let (mut client, mut server) = rig.connect().await;
    rig.pair.set(Mode::Cut);
    ended(&mut client).await;
    ended(&mut server).await;
    let mut refused = TcpStream::connect(rig.pair.addr).await.unwrap();
    ended(&mut refused).await;
    rig.pair.set(Mode::Pass);
    let (mut client, mut server) = rig.connect().await;
    rig.pair.set(Mode::Reset);
    ended(&mut client).await;
    ended(&mut server).await;
    let (mut client, mut server) = rig.connect().await;
    client.write_all(b"new").await.unwrap();
    expect(&mut server, "new").await;
}

#[tokio::test]
async fn silent_drop() {
    let rig = Rig::new().await;
    let (mut client, mut server) = rig.connect().await;
    rig.pair.set(Mode::Drop(Some(Way::Up)));
    client.write_all(b"lost").await.unwrap();
    server.write_all(b"down").await.unwrap();
    expect(&mut client, "down").await;
    drop(client);
    // The target hears neither the bytes nor the close, until the drop ends.
    let mut buf = [0; 1];
    let heard = time::timeout(Duration::from_millis(100), server.read(&mut buf)).await;
    assert!(heard.is_err());
    rig.pair.set(Mode::Pass);
    ended(&mut server).await;
}

#[tokio::test]
async fn frozen_bytes() {
    let rig = Rig::new().await;
    let (mut client, mut server) = rig.connect().await;
    rig.pair.set(Mode::Freeze);
    client.write_all(b"held").await.unwrap();
    let mut buf = [0; 1];
    let heard = time::timeout(Duration::from_millis(100), server.read(&mut buf)).await;
    assert!(heard.is_err());
    rig.pair.set(Mode::Pass);
    expect(&mut server, "held").await;
}

#[tokio::test]
async fn late_bytes() {
    let rig = Rig::new().await;
    let (mut client, mut server) = rig.connect().await;
    let delay = Duration::from_millis(150);
    rig.pair.set(Mode::Delay(delay));
    let sent = time::Instant::now();
    client.write_all(b"late").await.unwrap();
    expect(&mut server, "late").await;
    // Never sooner, however slow the machine is.
    assert!(sent.elapsed() >= delay);
}

#[tokio::test]
async fn half_open() {
    let rig = Rig::new().await;
    let (mut client, mut server) = rig.connect().await;
    rig.pair.set(Mode::HalfOpen(Way::Up));
    ended(&mut server).await;
    client.write_all(b"unheard").await.unwrap();
    server.write_all(b"down").await.unwrap();
    expect(&mut client, "down").await;
}

#[tokio::test]
async fn control_lines() {
    let rig = Rig::new().await;
    let proxy = proxy::Proxy {
        pairs: vec![rig.pair],
    };
    assert_eq!(proxy.obey("mode p drop down").unwrap(), "ok");
    assert_eq!(proxy.obey("mode * delay 5").unwrap(), "ok");
    assert!(proxy.obey("list").unwrap().contains("Delay(5ms)"));
    for bad in ["mode q cut", "mode p melt", "mode p", "stop"] {
        assert!(proxy.obey(bad).is_err(), "{bad}");
    }
}

/// A mode that follows a reset at once must not hide it from connections that are open: their tasks
/// see only the latest mode.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn reset_survives_next_mode() {
    for _ in 0..200 {
        let rig = Rig::new().await;
        let (mut client, mut server) = rig.connect().await;
        client.write_all(b"up").await.unwrap();
        expect(&mut server, "up").await;
        rig.pair.set(Mode::Reset);
        rig.pair.set(Mode::Pass);
        ended(&mut client).await;
    }
}
