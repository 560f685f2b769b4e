//! Control processes with real links, threads and data folders.

#[path = "common/cluster.rs"]
mod cluster;

use std::net::SocketAddr;

use cluster::Process;
use cluster::claim;
use cluster::configure;
use cluster::decide;
use cluster::free_addrs;
use cluster::leader;
use cluster::until;
use wigeonbarrow::control::member::Order;
use wigeonbarrow::control::member::Outcome;
use wigeonbarrow::wire::agree::Verdict;
use wigeonbarrow::wire::id;
use wigeonbarrow::wire::member;
use wigeonbarrow::wire::rpc;

/// Sends `Hello`, as any process does each period, until the view is as expected.
async fn hello(
    process: &Process,
    peer: &member::Peer,
    is_expected: impl Fn(&rpc::View) -> bool,
) -> rpc::View {
    let deadline = tokio::time::Instant::now() + cluster::TIMEOUT;
    loop {
        let answer = process.control.ask(rpc::Ask::Hello(peer.clone())).await;
        let rpc::Answer::View(view) = answer else {
            panic!("{answer:?}");
        };
        if is_expected(&view) {
            return view;
        }
        assert!(tokio::time::Instant::now() < deadline, "{view:?}");
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
}

async fn start_all(addrs: &[SocketAddr], dir: &tempfile::TempDir) -> Vec<Process> {
    let mut processes = Vec::new();
    for (at, addr) in addrs.iter().enumerate() {
        let data = dir.path().join(format!("{at}"));
        processes.push(Process::start(*addr, addrs, data).await);
    }
    processes
}

#[tokio::test(flavor = "multi_thread")]
async fn single_member_keeps_state_over_restart() {
    let dir = tempfile::tempdir().expect("a folder");
    let addrs = free_addrs(1).await;
    let process = start_all(&addrs, &dir).await.pop().expect("one process");
    assert_eq!(decide(&process, &claim(1, 1)).await, Verdict::Claimed);
    assert_eq!(
        decide(&process, &configure(1, 0, 7)).await,
        Verdict::Done { revision: 1 }
    );
    process.stop().await;

    // After a restart all of it is still known, and the configuration is installed.
    let process = start_all(&addrs, &dir).await.pop().expect("one process");
    assert_eq!(
        decide(&process, &configure(1, 0, 7)).await,
        Verdict::Done { revision: 1 }
    );
    let held = Verdict::Held {
        request: id::Request(1),
        ended: None,
    };
    assert_eq!(decide(&process, &claim(1, 2)).await, held);
    until(&process, "installed", |_| process.node.conf().revision == 1).await;
    assert_eq!(process.node.conf().workspace["crew"].share, 7);
    process.stop().await;
}

/// An entry talks to one control process at a time. The others must learn of it, or two entries
/// would never discover each other.
#[tokio::test(flavor = "multi_thread")]
async fn entries_discover_each_other_through_different_controls() {
    let dir = tempfile::tempdir().expect("a folder");
    let addrs = free_addrs(3).await;
    let processes = start_all(&addrs, &dir).await;
    let entry = |name: &str, port: u16| member::Peer {
        role: member::Role::Entry,
        name: name.to_owned(),
        zone: "bne-hall-a".to_owned(),
        link: SocketAddr::from(([127, 0, 0, 1], port)),
        incarnation: id::Incarnation(1),
        revision: 0,
    };
    let (first, second) = (entry("a", 1), entry("b", 2));
    hello(&processes[0], &first, |_| true).await;
    let knows_all = |view: &rpc::View| {
        let controls = addrs
            .iter()
            .all(|addr| view.peers.iter().any(|peer| peer.link == *addr));
        controls && view.peers.contains(&first) && view.peers.contains(&second)
    };
    hello(&processes[1], &second, knows_all).await;
    hello(&processes[0], &first, knows_all).await;
    for process in processes {
        process.stop().await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn acknowledged_state_survives_loss_of_members() {
    let dir = tempfile::tempdir().expect("a folder");
    let addrs = free_addrs(3).await;
    let mut processes = start_all(&addrs, &dir).await;
    for (at, process) in processes.iter().enumerate() {
        let at = at as u64;
        assert_eq!(decide(process, &claim(at, 1)).await, Verdict::Claimed);
        let change = configure(u128::from(at), at, 1 + at as u32);
        let revision = at + 1;
        assert_eq!(decide(process, &change).await, Verdict::Done { revision });
    }
    for process in &processes {
        until(process, "installed", |_| process.node.conf().revision == 3).await;
    }

    // A view lists the leader first.
    let at = leader(&processes).await;
    let peer = |role: member::Role, name: &str, link: SocketAddr| member::Peer {
        role,
        name: name.to_owned(),
        zone: "bne-hall-a".to_owned(),
        link,
        incarnation: id::Incarnation(1),
        revision: 0,
    };
    let name = format!("control-{}", addrs[at]);
    let lead = peer(member::Role::Control, &name, addrs[at]);
    let entry = peer(
        member::Role::Entry,
        "a",
        SocketAddr::from(([127, 0, 0, 1], 1)),
    );
    for process in &processes {
        hello(process, &lead, |_| true).await;
        let is_expected =
            |view: &rpc::View| view.peers[0].link == addrs[at] && view.peers.contains(&entry);
        hello(process, &entry, is_expected).await;
    }

    // The leader stops in order: another takes over and returns the recorded verdict on a change.
    let at = leader(&processes).await;
    let stopped = processes.remove(at);
    stopped.control.transfer_leadership(cluster::TIMEOUT).await;
    stopped.stop().await;
    assert_eq!(
        decide(&processes[0], &configure(0, 0, 1)).await,
        Verdict::Done { revision: 1 }
    );

    // It returns with an empty folder: a new incarnation, which votes only after its admission.
    let data = dir.path().join("wiped");
    let restarted = Process::start(addrs[at], &addrs, data).await;
    let life = restarted.control.status().await.expect("a status").life;
    until(&restarted, "admitted", |status| {
        let mut members = status.members.iter();
        members.any(|member| member.life == life && member.votes) && status.members.len() == 3
    })
    .await;
    until(&restarted, "installed", |_| {
        restarted.node.conf().revision == 3
    })
    .await;

    // Then a second member is lost for good: everything acknowledged survives.
    let at = leader(&processes).await;
    processes.remove(at).stop().await;
    let held = Verdict::Held {
        request: id::Request(1),
        ended: None,
    };
    assert_eq!(decide(&restarted, &claim(2, 9)).await, held);
    restarted.stop().await;
    for process in processes {
        process.stop().await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn replacement_of_failed_member_gets_a_vote() {
    let dir = tempfile::tempdir().expect("a folder");
    let addrs = free_addrs(4).await;
    let mut processes = start_all(&addrs[..3], &dir).await;
    assert_eq!(decide(&processes[0], &claim(1, 1)).await, Verdict::Claimed);
    let at = leader(&processes).await;
    let old = (at + 1) % 3;
    processes.remove(old).stop().await;
    let order = Order::Replace {
        old: addrs[old],
        new: addrs[3],
    };
    loop {
        match processes[0].control.order(order.clone()).await {
            Outcome::Taken => break,
            Outcome::Refused(why) => panic!("{why}"),
            Outcome::Unavailable => {}
        }
    }
    let new = Process::start(addrs[3], &addrs[..3], dir.path().join("new")).await;
    until(&new, "votes", |status| {
        let voters = status.members.iter().filter(|member| member.votes);
        let voters: Vec<_> = voters.map(|member| member.addr).collect();
        voters.len() == 3 && voters.contains(&addrs[3]) && !voters.contains(&addrs[old])
    })
    .await;
    assert_eq!(decide(&new, &claim(2, 1)).await, Verdict::Claimed);
    new.stop().await;
    for process in processes {
        process.stop().await;
    }
}
