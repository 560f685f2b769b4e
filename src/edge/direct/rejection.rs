//! Rejects requests that cannot be in time before they are sent, with the time after which their
//! callers are to return.

use std::time::Duration;

use super::Direct;
use super::context::Context;
use crate::direct::catalog;
use crate::direct::deadline;
use crate::direct::forecast;
use crate::direct::load;
use crate::direct::model;
use crate::direct::register;
use crate::direct::retry;
use crate::edge::event::Event;
use crate::log_event;

/// Label of the lane for long prompts in metrics.
const LONG: &str = "long";

/// The inputs of a verdict, for the event of a rejection.
pub(super) struct Inputs {
    /// Milliseconds of a server's time that waited ahead of it.
    pub(super) ahead_ms: f64,
    /// Predicted time until its start. `None`: not known.
    pub(super) wait: Option<Duration>,
    /// Milliseconds for which the lane is served a second. `None`: not known.
    pub(super) rate: Option<f64>,
    /// Share of the last seconds in which long prompts waited.
    pub(super) level: f64,
    /// Servers of the service.
    pub(super) servers: usize,
    /// Milliseconds for which it would occupy the whole fleet. 0: not the cause.
    pub(super) fleet_ms: f64,
}

impl Direct {
    /// Whether a request that has just arrived can complete on idle servers.
    ///
    /// # Errors
    ///
    /// If it cannot: the time after which to retry.
    pub(super) fn check_arrival(&self, context: &Context) -> Result<(), retry::Failure> {
        if context.can_still_end() {
            return Ok(());
        }
        let need = need(context, 0.0, 0.0);
        let now = self.node.now();
        let state = self.state();
        let level = state.congestion.level();
        let servers = state.register.ready(now, &context.service).count();
        let after = forecast::Forecast::default().schedule_return(now, &need);
        drop(state);
        let inputs = Inputs {
            ahead_ms: 0.0,
            wait: None,
            rate: None,
            level,
            servers,
            fleet_ms: 0.0,
        };
        let verdict = forecast::Verdict::Reject(forecast::Cause::Deadline, after);
        self.apply(context, &inputs, verdict)
    }

    /// Whether a long prompt without a server may wait for one.
    ///
    /// # Errors
    ///
    /// If it is rejected: the time after which to retry.
    pub(super) fn check_long(
        &self,
        context: &Context,
        engine: &model::Engine,
    ) -> Result<(), retry::Failure> {
        let now = self.node.now();
        // All entries share the lane: each counts its share of the servers and of the queue.
        let entries = self.entry_count().max(1) as f64;
        let placement = context.need();
        let rank = context.time_budget().rank(engine, &placement);
        let mut state = self.state();
        state.observe_demand(now);
        let is_sampled = state.sample_long(now, &context.service, entries);
        let servers = state.register.ready(now, &context.service).count();
        let level = state.congestion.level();
        let congestion = &state.congestion;
        // Once it waits, the prompt itself is one of them.
        let others_wait = state.loads.ahead(now, rank) > 0 || state.loads.waiting_count(now) > 1;
        let congested = congestion
            .rejection(engine, &placement, &context.route, servers)
            .filter(|_| others_wait);
        let ahead_ms = state.loads.work_ahead(now, rank) / entries;
        let need = need(context, engine.read_ms(placement.prompt, 1), ahead_ms);
        let forecast = state.forecast(&context.service);
        let outlook = match congested {
            Some(_) => forecast::Outlook {
                wait: forecast.wait(now, &need),
                verdict: forecast::Verdict::Reject(
                    forecast::Cause::Congestion,
                    forecast.schedule_return(now, &need),
                ),
            },
            None => forecast.judge(now, &need),
        };
        let rate = forecast.rate();
        drop(state);
        if let Some(wait) = outlook.wait.filter(|_| is_sampled) {
            self.counts.wait_predicted(LONG, wait);
        }
        let inputs = Inputs {
            ahead_ms,
            wait: outlook.wait,
            rate,
            level,
            servers,
            fleet_ms: congested.map_or(0.0, |congested| congested.fleet_ms),
        };
        self.apply(context, &inputs, outlook.verdict)
    }

    /// Carries out a verdict of any lane.
    ///
    /// # Errors
    ///
    /// If the request is rejected: the time after which to retry.
    pub(super) fn apply(
        &self,
        context: &Context,
        inputs: &Inputs,
        verdict: forecast::Verdict,
    ) -> Result<(), retry::Failure> {
        match verdict {
            forecast::Verdict::Keep => Ok(()),
            forecast::Verdict::Reject(cause, after) => {
                Err(self.reject(context, inputs, cause, after))
            }
        }
    }

    /// Counts and logs a rejection.
    fn reject(
        &self,
        context: &Context,
        inputs: &Inputs,
        cause: forecast::Cause,
        after: Duration,
    ) -> retry::Failure {
        self.counts.rejected_waiting(cause.name());
        if self.log_limiter.allow(Event::RequestAway, self.node.now()) {
            let left = context.time_left();
            let prompt = context.need().prompt;
            log_event!(self.node.log(), Event::RequestAway, "request" => &context.request.id,
                "cause" => cause.name(), "prompt" => prompt, "ahead_ms" => inputs.ahead_ms as u64,
                "rate_ms" => inputs.rate.map_or(-1, |rate| rate as i64),
                "predicted_ms" => inputs.wait.map_or(-1, |wait| wait.as_millis() as i64),
                "come_back_ms" => after.as_millis() as u64, "level" => inputs.level,
                "servers" => inputs.servers, "part_ms" => inputs.fleet_ms as u64,
                "waited_ms" => context.began.elapsed().as_millis() as u64,
                "left_ms" => left.as_millis() as u64);
        }
        retry::Failure::Away(after)
    }
}

impl super::State {
    /// Samples how many servers read long prompts of `service` now, if that is due. Returns whether
    /// it was.
    fn sample_long(&mut self, now: Duration, service: &str, entries: f64) -> bool {
        if !self.forecast(service).is_sample_due(now) {
            return false;
        }
        let view = self.loads.view(now);
        let reads = |record: &register::Record| {
            let load = view.get(&load::server_key(&record.life));
            load.is_some_and(|load| load.long > 0)
        };
        let servers = self.register.ready(now, service);
        let reading = servers.filter(|(record, _)| reads(record));
        let speeds = reading.map(|(record, _)| 1.0 / self.healths.pace(&record.life).max(1.0));
        let speed: f64 = speeds.sum();
        self.forecast(service).sample(now, speed / entries);
        true
    }

    /// The forecast for long prompts of `service`.
    fn forecast(&mut self, service: &str) -> &mut forecast::Forecast {
        if !self.forecasts.contains_key(service) {
            self.forecasts
                .insert(service.to_owned(), forecast::Forecast::default());
        }
        self.forecasts.get_mut(service).expect("it was inserted")
    }
}

/// What a forecast needs to know of a request that takes `work_ms` of a server's time and has
/// `ahead_ms` ahead of it. Without sizes or a time model it is expected to take no longer than the
/// objective of its route.
pub(super) fn need(context: &Context, work_ms: f64, ahead_ms: f64) -> forecast::Need {
    let budget = context.time_budget();
    let engine = context.engine.filter(|_| context.request.size.is_some());
    let (first, complete) = match engine {
        Some(engine) => {
            let first = deadline::millis(context.min_first_ms());
            let complete = deadline::completion(&engine, &context.need(), first);
            (first, complete)
        }
        None => (budget.objective, budget.objective),
    };
    let until_abandoned = match context.route.kind {
        catalog::Kind::Stream => budget.until_abandoned,
        catalog::Kind::Safe | catalog::Kind::Unsafe => budget.until_deadline,
    };
    forecast::Need {
        work_ms,
        ahead_ms,
        first,
        complete,
        waited: budget.waited,
        until_abandoned,
        until_deadline: budget.until_deadline,
        timeout: context.route.timeout,
    }
}
