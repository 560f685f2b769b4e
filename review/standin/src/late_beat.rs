//! A replica leaves while one of its heartbeats is on its way to a machine that is being restarted.

use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Run;
use crate::client;
use crate::replica;
use crate::replica::Replica;
use crate::replica::Times;
use crate::site::CORE;
use crate::site::Site;

pub const MACHINES: usize = 5;

const REPLICAS: usize = 3;

/// The machine that is restarted.
const RESTARTED: usize = CORE;

/// `contact_ms`, with a margin: from then on a machine is in touch.
const IN_TOUCH: Duration = Duration::from_millis(3_000 + 300);

/// `drain_ms`.
const DRAIN: Duration = Duration::from_secs(2);

/// How late the heartbeat arrives.
const LATENESS: Duration = Duration::from_millis(5_000);

/// How long the leaving replica goes on serving after its leave was acknowledged.
const SERVES_ON: Duration = Duration::from_millis(10_500);

/// Clients of the restarted machine, each with one request at a time.
const CLIENTS: usize = 4;

/// Work of a request. None crashes a replica.
const TIMES: Times = Times {
    work: Duration::from_millis(60),
    crash: Duration::ZERO,
};

/// Returns whether the rule was broken.
pub fn play(run: &Run) -> io::Result<bool> {
    let site = &run.site;
    let record = &run.record;
    let controls = site.controls();
    // Heartbeats of the others go to machines that are not restarted.
    let kept: Vec<_> = controls
        .iter()
        .copied()
        .filter(|one| *one != site.control(RESTARTED))
        .collect();
    let replicas: Vec<Arc<Replica>> = (0..REPLICAS)
        .map(|at| {
            let name = format!("{}", (b'a' + at as u8) as char);
            Replica::start(&name, site.replica(at), TIMES, kept.clone(), record)
        })
        .collect();
    client::configure(site)?;
    for at in 0..MACHINES {
        site.await_ready(at)?;
    }
    thread::sleep(IN_TOUCH);
    let front = site.front(RESTARTED);
    let name = Site::name(RESTARTED);
    for number in 0..20 {
        let id = format!("before-{number}");
        client::ask(record, (&name, front), "POST", "/notice/x", &id);
    }

    // The replica leaves. Its last heartbeat is held up on its way.
    let leaver = &replicas[0];
    leaver.stop_beating();
    let (path, body) = leaver.next_beat();
    record.note(&format!(
        "replica {} sends {body} to {name}: held up on its way",
        leaver.id()
    ));
    let sent = record.now();
    if !replica::call(site.control(0), "DELETE", &path, "") {
        return Err(io::Error::other("the leave is not acknowledged"));
    }
    let acked = record.note(&format!(
        "{} acknowledges DELETE of replica {}",
        Site::name(0),
        leaver.id()
    ));
    thread::sleep(Duration::from_millis(700));
    if run.trouble {
        site.terminate(RESTARTED)?;
        site.start_machine(RESTARTED, false)?;
    }
    let started = record.now();
    thread::sleep((sent + LATENESS).saturating_sub(record.now()));
    let taken = replica::call(site.control(RESTARTED), "PUT", &path, &body);
    record.note(&format!(
        "the heartbeat arrives at {name}, {:.1} s late: {}",
        (record.now() - sent).as_secs_f64(),
        if taken { "acknowledged" } else { "refused" }
    ));
    site.await_ready(RESTARTED)?;
    thread::sleep((started + IN_TOUCH).saturating_sub(record.now()));
    record.note(&format!("{name} is in touch"));

    // Clients of the restarted machine. They go on until the replica has exited.
    let from = record.now();
    let until = acked + SERVES_ON;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, name) = (Arc::clone(record), name.clone());
            thread::spawn(move || {
                let (mut sent, mut lost) = (0, 0);
                while record.now() < until {
                    sent += 1;
                    let id = format!("after-{client}-{sent}");
                    let status = client::ask(&record, (&name, front), "POST", "/notice/x", &id);
                    lost += usize::from(status == 0 || status == 502);
                }
                (sent, lost)
            })
        })
        .collect();
    thread::sleep(until.saturating_sub(record.now()));
    leaver.exit();
    record.note(&format!("replica {} has exited", leaver.id()));
    let (mut number, mut lost) = (0, 0);
    for client in clients {
        let (sent, unanswered) = client.join().expect("a client ends");
        number += sent;
        lost += unanswered;
    }
    let late: Vec<_> = leaver
        .arrivals()
        .into_iter()
        .filter(|arrival| arrival.ran && arrival.at > from && arrival.at > acked + DRAIN)
        .collect();
    let last = late
        .last()
        .map_or(0.0, |arrival| (arrival.at - acked).as_secs_f64());
    record.note(&format!(
        "requests by {name} in touch that reached the replica that left, later than drain_ms after \
         the acknowledgement: {} of {number} (the last {last:.1} s after it); {lost} lost",
        late.len()
    ));
    Ok(!late.is_empty())
}
