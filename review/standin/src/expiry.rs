//! A request that crashes each replica which begins to run it comes again a minute later, from a client
//! that repeats at once.

use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Run;
use crate::client;
use crate::poison;
use crate::poison::Others;
use crate::poison::Poison;
use crate::replica::POISON;
use crate::site::CORE;
use crate::site::Site;

pub const MACHINES: usize = poison::MACHINES;

/// Repeats at once, as many as a client of the sheet makes.
const REPEATS: usize = 3;

/// Time from the last crash to the next arrival of the request.
const PAUSE: Duration = Duration::from_millis(63_000);

/// Time for which a replica runs the request before it crashes.
const RUNS_FOR: Duration = Duration::from_millis(100);

/// Returns whether the rule was broken.
pub fn play(run: &Run) -> io::Result<bool> {
    let replicas = poison::start(run, RUNS_FOR)?;
    let others = Others::start(run);
    let mut poison = Poison::new(run, &replicas);
    let third = poison.crash_three()?;
    let last = poison.last_run().unwrap_or(third);
    thread::sleep((last + PAUSE).saturating_sub(run.record.now()));
    let repeats = if run.trouble { REPEATS } else { 0 };
    let clients: Vec<_> = (0..=repeats)
        .map(|client| {
            let at = CORE + client;
            let id = poison.new_id();
            let (name, front) = (Site::name(at), run.site.front(at));
            let record = Arc::clone(&run.record);
            thread::spawn(move || {
                let path = format!("/lookup/{POISON}");
                client::ask(&record, (&name, front), "GET", &path, &id)
            })
        })
        .collect();
    for client in clients {
        client.join().expect("a client ends");
    }
    // The one retry that each client of the sheet has.
    poison.send(0)?;
    Ok(poison.is_broken(third, others.end()))
}
