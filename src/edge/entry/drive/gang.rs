//! A request whose prompt is served by several engines: carries out the actions of its gang.

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

/// The gang of a request, and what the final run needs of it.
pub struct Driven {
    gang: gang::Gang,
    /// Servers to use only if there is no other.
    avoid: Vec<String>,
    /// The segments, in order, and where the tail of the prompt starts. `None`: not yet held.
    ready: Option<(Vec<run::Context>, usize)>,
    /// Whether the final run may have been started.
    sent: bool,
}

impl Drive {
    /// Takes the router's word on a gang's members.
    pub(super) fn planned(&mut self, place: job::Placement, plan: plan::Plan) {
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
            self.gang = Some(Driven {
                gang: gang::Gang::new(profile),
                avoid: Vec::new(),
                ready: None,
                sent: false,
            });
        }
        self.place = Some(place);
        self.gang_event(gang::Event::Planned(plan));
    }

    /// The final run failed: the gang starts again. `false`: there is none.
    pub(super) fn gang_again(&mut self, avoid: &[String]) -> bool {
        let Some(driven) = &mut self.gang else {
            return false;
        };
        driven.avoid = avoid.to_vec();
        driven.ready = None;
        driven.sent = false;
        self.gang_event(gang::Event::Restart);
        true
    }

    pub(super) fn gang_event(&mut self, event: gang::Event) {
        let Some(driven) = &mut self.gang else {
            return;
        };
        for action in driven.gang.step(self.node.now(), event) {
            self.gang_act(action);
        }
    }

    /// When the gang has something to do.
    pub(super) fn gang_wake(&self) -> Option<std::time::Duration> {
        self.gang.as_ref().map(|driven| driven.gang.wake())
    }

    /// Gives back what the gang holds.
    pub(super) fn disband(&mut self) {
        self.gang_event(gang::Event::Close);
    }

    /// The context of the final run and the part of the prompt that is its own.
    pub(super) fn final_run(&self) -> Option<(Vec<run::Context>, usize)> {
        self.gang.as_ref()?.ready.clone()
    }

    /// The final run may start from here on.
    pub(super) fn sent(&mut self) {
        if let Some(driven) = &mut self.gang {
            driven.sent = true;
        }
    }

    fn gang_act(&mut self, action: gang::Action) {
        match action {
            gang::Action::Plan { retry } => {
                let avoid = self.gang.as_ref().map(|driven| driven.avoid.clone());
                self.choose(retry, avoid.unwrap_or_default());
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
            gang::Action::Learn(bytes, tokens) => self.learned(bytes, tokens),
            gang::Action::Ready {
                target,
                context,
                tail,
            } => {
                if let Some(driven) = &mut self.gang {
                    driven.ready = Some((context, tail));
                }
                if let Some(place) = &mut self.place {
                    place.target = target.clone();
                    place.prompt_tokens = plan::MAX_TAIL_TOKENS;
                }
                self.event(request::Event::Chosen(target));
            }
            gang::Action::StopRun(failure) => self.broken(failure),
            gang::Action::Fail(failure) => self.event(request::Event::Unplaced(failure)),
        }
    }

    fn offer_segment(
        &mut self,
        target: &request::Target,
        attempt: id::Attempt,
        part: std::ops::Range<usize>,
        tokens: u64,
        room: u64,
    ) {
        let run::Work::Prompt { model, .. } = &self.submission.work else {
            return;
        };
        let Some(place) = &self.place else {
            return;
        };
        let work = run::Work::Segment {
            model: model.clone(),
            prompt_tokens: tokens,
            room,
        };
        // The prefill of a segment can be done again whatever its request is.
        let offer = self.offer_of(target, attempt, place.priority, work, part.len());
        let body = self.submission.body.slice(part);
        self.open(target, attempt, run::Call::Offer(Box::new(offer)), body);
    }

    fn learned(&self, bytes: u64, tokens: u64) {
        if let run::Work::Prompt { model, .. } = &self.submission.work {
            let event = router::Event::Learned(model.clone(), bytes, tokens);
            // An estimate alone: it may be lost.
            self.core.try_tell(event);
        }
    }

    /// A member was lost under the final run: it is stopped, and goes on elsewhere if it may.
    fn broken(&mut self, mut failure: outcome::Failure) {
        let Some((attempt, _)) = self.current else {
            return;
        };
        let Some(place) = &self.place else {
            return;
        };
        let target = place.target.clone();
        self.cancel(&target, attempt);
        let sent = self.gang.as_ref().is_some_and(|driven| driven.sent);
        if sent {
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

    /// A reply on the stream of a segment, or its end.
    pub(super) fn segment_reply(&mut self, index: usize, reply: Option<run::Reply>) {
        let attempt = self.streams[index].attempt();
        let Some(reply) = reply else {
            self.streams.swap_remove(index);
            return self.gang_event(gang::Event::Lost(attempt));
        };
        if stream::Stream::ends(&reply) && reply.attempt() == attempt {
            self.streams.swap_remove(index);
        }
        self.gang_event(gang::Event::Reply(reply));
    }
}
