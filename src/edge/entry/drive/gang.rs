//! Carries out the actions of a gang: several engines that serve the prompt of one request.

use super::Drive;
use super::stream;
use crate::entry::gang;
use crate::entry::gang::plan;
use crate::entry::job;
use crate::entry::request;
use crate::entry::router;
use crate::wire::id;
use crate::wire::outcome;
use crate::wire::run;

/// The gang of a request, and what the final run needs from it.
pub struct State {
    gang: gang::Gang,
    /// Servers to use only if there are no others.
    avoid: Vec<String>,
    /// The segments in order, and the byte offset in the prompt where the tail starts. `None` until
    /// all segments are held.
    ready: Option<(Vec<run::Context>, usize)>,
    /// Whether the final run may have been started.
    may_have_started: bool,
}

impl Drive {
    /// Applies the router's plan of the gang's members.
    pub(super) fn apply_plan(&mut self, placement: job::Placement, plan: plan::Plan) {
        if self.gang.is_none() {
            let body = self.submission.body.clone();
            let max_tokens = match &self.submission.work {
                run::Work::Prompt { max_tokens, .. } => *max_tokens,
                run::Work::Http { .. } | run::Work::Segment { .. } => 0,
            };
            let profile = gang::Profile {
                request: self.submission.request,
                body,
                max_tokens,
                accepted: self.deadline.saturating_sub(self.submission.limit),
                deadline: self.deadline,
                seed: self.submission.request.0 as u64,
            };
            self.gang = Some(State {
                gang: gang::Gang::new(profile),
                avoid: Vec::new(),
                ready: None,
                may_have_started: false,
            });
        }
        self.placement = Some(placement);
        self.gang_event(gang::Event::Planned(plan));
    }

    /// Restarts the gang after the final run failed. `false` if there is no gang.
    pub(super) fn restart_gang(&mut self, avoid: &[String]) -> bool {
        let Some(state) = &mut self.gang else {
            return false;
        };
        state.avoid = avoid.to_vec();
        state.ready = None;
        state.may_have_started = false;
        self.gang_event(gang::Event::Restart);
        true
    }

    pub(super) fn gang_event(&mut self, event: gang::Event) {
        let Some(state) = &mut self.gang else {
            return;
        };
        for action in state.gang.step(self.node.now(), event) {
            self.perform_gang(action);
        }
    }

    /// When the gang next has something to do.
    pub(super) fn gang_wake(&self) -> Option<std::time::Duration> {
        self.gang.as_ref().map(|state| state.gang.wake())
    }

    /// Releases what the gang holds.
    pub(super) fn release_gang(&mut self) {
        self.gang_event(gang::Event::Close);
    }

    /// The context of the final run, and the byte offset where its own part of the prompt starts.
    pub(super) fn final_run(&self) -> Option<(Vec<run::Context>, usize)> {
        self.gang.as_ref()?.ready.clone()
    }

    /// Records that the final run may have been started.
    pub(super) fn mark_started(&mut self) {
        if let Some(state) = &mut self.gang {
            state.may_have_started = true;
        }
    }

    fn perform_gang(&mut self, action: gang::Action) {
        match action {
            gang::Action::Plan { retry } => {
                let avoid = self.gang.as_ref().map(|state| state.avoid.clone());
                self.request_placement(retry, avoid.unwrap_or_default());
            }
            gang::Action::Offer {
                target,
                attempt,
                segment,
                tokens,
                final_tokens,
            } => self.offer_segment(&target, attempt, segment, tokens, final_tokens),
            gang::Action::Hold(attempt, context) => {
                if let Some(stream) = self.stream(attempt) {
                    stream.call(run::Call::Hold { attempt, context });
                }
            }
            gang::Action::Query(target, attempt) => {
                self.streams.retain(|stream| stream.attempt() != attempt);
                let call = run::Call::Query {
                    attempt,
                    offset: 0,
                    sidecar: target.sidecar,
                };
                self.open(&target, attempt, call, bytes::Bytes::new());
            }
            gang::Action::Cancel(target, attempt) => self.cancel(&target, attempt),
            gang::Action::Learn(bytes, tokens) => self.report_tokens(bytes, tokens),
            gang::Action::Ready {
                target,
                context,
                tail,
            } => {
                if let Some(state) = &mut self.gang {
                    state.ready = Some((context, tail));
                }
                if let Some(placement) = &mut self.placement {
                    placement.target = target.clone();
                    placement.prompt_tokens = plan::MAX_TAIL_TOKENS;
                }
                self.event(request::Event::Chosen(target));
            }
            gang::Action::StopRun(failure) => self.stop_final_run(failure),
            gang::Action::Fail(failure) => self.event(request::Event::Unplaced(failure)),
        }
    }

    fn offer_segment(
        &mut self,
        target: &request::Target,
        attempt: id::Attempt,
        range: std::ops::Range<usize>,
        tokens: u64,
        final_tokens: u64,
    ) {
        let run::Work::Prompt { model, .. } = &self.submission.work else {
            return;
        };
        let Some(placement) = &self.placement else {
            return;
        };
        let work = run::Work::Segment {
            model: model.clone(),
            prompt_tokens: tokens,
            room: final_tokens,
        };
        // Prefilling a segment is safe to repeat, even if the request is not.
        let offer = self.build_offer(target, attempt, placement.priority, work, range.len());
        let body = self.submission.body.slice(range);
        self.open(target, attempt, run::Call::Offer(Box::new(offer)), body);
    }

    fn report_tokens(&self, bytes: u64, tokens: u64) {
        if let run::Work::Prompt { model, .. } = &self.submission.work {
            let event = router::Event::Learned(model.clone(), bytes, tokens);
            // Only improves an estimate, so a full queue may drop it.
            self.core.try_send(event);
        }
    }

    /// Cancels the final run after a member was lost, and reports it as failed. The request is then
    /// retried elsewhere if that is allowed.
    fn stop_final_run(&mut self, mut failure: outcome::Failure) {
        let Some((attempt, _)) = self.current else {
            return;
        };
        let Some(placement) = &self.placement else {
            return;
        };
        let target = placement.target.clone();
        self.cancel(&target, attempt);
        let may_have_started = self
            .gang
            .as_ref()
            .is_some_and(|state| state.may_have_started);
        if may_have_started {
            failure.ran = outcome::Ran::MayHaveRun;
            failure.retry_after_ms = None;
        } else {
            failure.ran = outcome::Ran::NotRun;
        }
        self.event(request::Event::Reply(run::Reply::Failed {
            attempt,
            failure,
        }));
    }

    /// Handles a reply on the stream of a segment, or `None` at the end of the stream.
    pub(super) fn segment_reply(&mut self, index: usize, reply: Option<run::Reply>) {
        let attempt = self.streams[index].attempt();
        let Some(reply) = reply else {
            self.streams.swap_remove(index);
            return self.gang_event(gang::Event::Lost(attempt));
        };
        if stream::Stream::is_final(&reply) && reply.attempt() == attempt {
            self.streams.swap_remove(index);
        }
        self.gang_event(gang::Event::Reply(reply));
    }
}
