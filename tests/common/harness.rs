//! A router and the servers it was told of, in steps of the test's own clock.
#![allow(dead_code)]

use std::sync::Arc;
use std::time::Duration;

use wigeonbarrow::config;
use wigeonbarrow::entry::job;
use wigeonbarrow::entry::router;
use wigeonbarrow::wire::id;
use wigeonbarrow::wire::member;
use wigeonbarrow::wire::outcome;
use wigeonbarrow::wire::run;

use super::fleet;

pub struct Harness {
    pub router: router::Router,
    pub now: Duration,
    pub servers: Vec<member::Announce>,
}

impl Harness {
    pub fn new(servers: usize) -> Self {
        Self::with(servers, config::Set::default())
    }

    pub fn with(servers: usize, conf: config::Set) -> Self {
        let servers = (0..servers).map(|n| fleet::announce(&format!("s{n:02}"), "a", 0));
        let mut harness = Self {
            router: router::Router::new(1, "a", Arc::new(conf)),
            now: Duration::from_secs(100),
            servers: servers.collect(),
        };
        harness.announce();
        harness
    }

    /// Every server reports its load.
    pub fn announce(&mut self) -> Vec<router::Action> {
        let mut actions = Vec::new();
        for announce in &mut self.servers {
            announce.seq += 1;
            let event = router::Event::Announce(Box::new(announce.clone()));
            self.router.step(self.now, event, &mut actions);
        }
        actions
    }

    pub fn step(&mut self, event: router::Event) -> Vec<router::Action> {
        let mut actions = Vec::new();
        self.router.step(self.now, event, &mut actions);
        actions
    }

    pub fn pass(&mut self, millis: u64) -> Vec<router::Action> {
        self.now += Duration::from_millis(millis);
        self.step(router::Event::Tick)
    }

    pub fn place(&mut self, job: job::Job) -> Vec<router::Action> {
        self.step(router::Event::Place(Box::new(job)))
    }

    pub fn note(&mut self, number: u128, note: job::Feedback) -> Vec<router::Action> {
        self.step(router::Event::Feedback(fleet::id(number), note))
    }

    pub fn close(&mut self, number: u128) -> Vec<router::Action> {
        self.step(router::Event::Close(fleet::id(number), None))
    }

    /// Teaches the router that the model has four bytes a token.
    pub fn calibrate(&mut self) {
        let usage = run::Usage {
            prompt_tokens: 1_000,
            cached_tokens: 0,
            output_tokens: 50,
        };
        self.place(fleet::job(u128::MAX, 4_000));
        self.step(router::Event::Close(fleet::id(u128::MAX), Some(usage)));
    }
}

/// Name of the server that the only action places the request on.
pub fn server(actions: &[router::Action]) -> Option<String> {
    match actions {
        [router::Action::Placed(_, place)] => Some(place.target.server.clone()),
        _ => None,
    }
}

/// Requests placed, with their servers.
pub fn placed(actions: &[router::Action]) -> Vec<(id::Request, String)> {
    let places = actions.iter().filter_map(|action| match action {
        router::Action::Placed(request, place) => Some((*request, place.target.server.clone())),
        router::Action::Unplaced(..) => None,
    });
    places.collect()
}

/// Causes of refusals.
pub fn causes(actions: &[router::Action]) -> Vec<outcome::Cause> {
    let failures = actions.iter().filter_map(|action| match action {
        router::Action::Placed(..) => None,
        router::Action::Unplaced(_, failure) => {
            assert_eq!(failure.ran, outcome::Ran::NotRun);
            Some(failure.cause)
        }
    });
    failures.collect()
}
