//! A request that crashes each replica which begins to run it comes again while the machines that take
//! requests are restarted in turn.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::Run;
use crate::client;
use crate::replica::POISON;
use crate::replica::Replica;
use crate::replica::Times;
use crate::site;
use crate::site::CORE;
use crate::site::Site;

pub const MACHINES: usize = 7;

const REPLICAS: usize = 4;

/// Time after a disruption from which a machine is in touch, with a margin.
const IN_TOUCH: Duration = Duration::from_millis(3_000 + 300);

/// `contact_ms`.
const CONTACT: Duration = Duration::from_secs(3);

/// Crashes after which a request must not run any more, and retries that may still reach replicas.
const CRASHES: usize = 3;
const MAX_RETRIES: usize = 3;

/// Times that the client sends the request to a machine before it gives up there.
const SENDS: usize = 4;

/// Work of a request of other clients.
const WORK: Duration = Duration::from_millis(200);

/// Time from an answer to another client to its next request.
const OTHERS_PAUSE: Duration = Duration::from_millis(50);

/// Starts the replicas and the configuration. Returns once all machines are in touch. `runs_for`: time
/// for which a replica runs the request before it crashes.
pub fn start(run: &Run, runs_for: Duration) -> io::Result<Vec<Arc<Replica>>> {
    let site = &run.site;
    let controls = site.controls();
    let replicas = (0..REPLICAS).map(|at| {
        let name = format!("{}", (b'a' + at as u8) as char);
        let times = Times {
            work: WORK,
            crash: runs_for,
        };
        let addr = site.replica(at);
        Replica::start(&name, addr, times, controls.clone(), &run.record)
    });
    let replicas = replicas.collect();
    client::configure(site)?;
    for at in 0..MACHINES {
        site.await_ready(at)?;
    }
    thread::sleep(IN_TOUCH);
    Ok(replicas)
}

/// Returns whether the rule was broken.
pub fn play(run: &Run) -> io::Result<bool> {
    let site = &run.site;
    let replicas = start(run, Duration::ZERO)?;
    let others = Others::start(run);
    let mut poison = Poison::new(run, &replicas);
    let third = poison.crash_three()?;
    // The machines without a disk are restarted in turn. The request comes again at each of them
    // when it is in touch again.
    for at in CORE..MACHINES {
        if run.trouble {
            site.terminate(at)?;
            site.start_machine(at, false)?;
            site.await_ready(at)?;
            thread::sleep(IN_TOUCH);
        }
        for _ in 0..SENDS {
            if poison.send(at)? == 503 {
                break;
            }
        }
    }
    Ok(poison.is_broken(third, others.end()))
}

/// The request that crashes replicas, with the ids under which it came.
pub struct Poison<'a> {
    run: &'a Run,
    replicas: &'a [Arc<Replica>],
    sent: Vec<String>,
}

impl<'a> Poison<'a> {
    pub fn new(run: &'a Run, replicas: &'a [Arc<Replica>]) -> Self {
        Self {
            run,
            replicas,
            sent: Vec::new(),
        }
    }

    /// Draws the id of the next client attempt.
    pub fn new_id(&mut self) -> String {
        let id = format!("{POISON}-{}", self.sent.len() + 1);
        self.sent.push(id.clone());
        id
    }

    /// When it last ran.
    pub fn last_run(&self) -> Option<Duration> {
        self.runs().last().map(|(at, _)| *at)
    }

    /// Lets it crash three replicas, after which all machines reject it. Returns when it crashed the
    /// third.
    pub fn crash_three(&mut self) -> io::Result<Duration> {
        for at in [CORE, CORE + 1, CORE + 2] {
            self.send(at)?;
        }
        let third = self.crashed_third()?;
        self.run.record.note(&format!(
            "the request has crashed its third replica at {:.3} s",
            third.as_secs_f64()
        ));
        thread::sleep(CONTACT + Duration::from_millis(300));
        for at in 0..MACHINES {
            self.send(at)?;
        }
        Ok(third)
    }

    /// Whether the rule was broken. `others`: the requests of other clients, and how many were lost.
    pub fn is_broken(&self, third: Duration, others: (usize, usize)) -> bool {
        let (asked, lost) = others;
        self.run.record.note(&format!(
            "requests of others that run once at most: {asked} sent, {lost} got no answer or 502"
        ));
        let late = self.late_retries(third);
        self.run.record.note(&format!(
            "retries that reached replicas later than contact_ms after the third crash: {} \
             (the rule allows {MAX_RETRIES}): {}",
            late.len(),
            late.join(" ")
        ));
        late.len() > MAX_RETRIES
    }

    /// Sends it to a machine once all replicas serve again. Returns the status.
    pub fn send(&mut self, at: usize) -> io::Result<u16> {
        site::await_that("all replicas are up", || {
            self.replicas.iter().all(|replica| replica.is_up())
        })?;
        // Their next heartbeats have come by then.
        thread::sleep(Duration::from_millis(1_400));
        let id = self.new_id();
        let site = &self.run.site;
        let to = (Site::name(at), site.front(at));
        let path = format!("/lookup/{POISON}");
        let status = client::ask(&self.run.record, (&to.0, to.1), "GET", &path, &id);
        Ok(status)
    }

    /// Times at which it crashed replicas, with the id under which it came.
    fn runs(&self) -> Vec<(Duration, String)> {
        let arrivals = self.replicas.iter().flat_map(|replica| replica.arrivals());
        let mut runs: Vec<(Duration, String)> = arrivals
            .filter(|arrival| arrival.ran && self.sent.contains(&arrival.request))
            .map(|arrival| (arrival.at, arrival.request))
            .collect();
        runs.sort();
        runs
    }

    fn crashed_third(&self) -> io::Result<Duration> {
        let runs = self.runs();
        let third = runs.get(CRASHES - 1).map(|(at, _)| *at);
        third.ok_or_else(|| io::Error::other("the request did not crash three replicas"))
    }

    /// Ids of retries that reached a replica later than `contact_ms` after the third crash.
    fn late_retries(&self, third: Duration) -> Vec<String> {
        let late = self
            .runs()
            .into_iter()
            .filter(|(at, _)| *at > third + CONTACT);
        let mut ids: Vec<String> = late.map(|(_, id)| id).collect();
        ids.sort();
        ids.dedup();
        ids
    }
}

/// Other clients, whose requests run once at most. They send to the core only, which is not restarted.
pub struct Others {
    ends: Arc<AtomicBool>,
    counts: Arc<Mutex<(usize, usize)>>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Others {
    pub fn start(run: &Run) -> Self {
        let ends = Arc::new(AtomicBool::new(false));
        let counts: Arc<Mutex<(usize, usize)>> = Arc::default();
        let threads = (0..CORE).map(|at| {
            let (ends, counts) = (Arc::clone(&ends), Arc::clone(&counts));
            let (record, front) = (Arc::clone(&run.record), run.site.front(at));
            thread::spawn(move || {
                let mut number = 0;
                while !ends.load(Ordering::SeqCst) {
                    number += 1;
                    let id = format!("notice-{at}-{number}");
                    let name = Site::name(at);
                    let status = client::ask(&record, (&name, front), "POST", "/notice/x", &id);
                    let mut counts = counts.lock().expect("counts lock");
                    counts.0 += 1;
                    counts.1 += usize::from(status == 0 || status == 502);
                    drop(counts);
                    thread::sleep(OTHERS_PAUSE);
                }
            })
        });
        Self {
            threads: threads.collect(),
            ends,
            counts,
        }
    }

    /// Ends them. Returns how many requests they sent, and how many were lost.
    pub fn end(self) -> (usize, usize) {
        self.ends.store(true, Ordering::SeqCst);
        for thread in self.threads {
            thread.join().expect("a client ends");
        }
        *self.counts.lock().expect("counts lock")
    }
}
