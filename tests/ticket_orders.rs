//! Orders on memory that is set aside for a request, as they come when orders are delayed, lost or
//! overtaken. Guards against memory that stays set aside after its request, and against memory that
//! is lost while its request runs.

use std::time::Duration;

use rand::Rng as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use wigeonbarrow::direct::ticket::Answer;
use wigeonbarrow::direct::ticket::End;
use wigeonbarrow::direct::ticket::Order;
use wigeonbarrow::direct::ticket::Step;
use wigeonbarrow::direct::ticket::Ticket;
use wigeonbarrow::direct::ticket::View;
use wigeonbarrow::direct::ticket::Writer;

const HOLD: Duration = Duration::from_millis(2_800);

const DEADLINE: Duration = Duration::from_secs(60);

/// Time after the end of its request at which memory is free.
const FREE: Duration = Duration::from_secs(4);

/// Stretches of memory set aside after it that count as a leak.
const STRETCH: Duration = Duration::from_secs(2);

/// Timeout of an order.
const TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

const TICK: Duration = Duration::from_millis(10);

const SEEDS: u64 = 2_000;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// What becomes of one order: when it is carried out after its sending, and when its answer comes.
#[derive(Clone, Copy, Debug)]
struct Fate {
    carried_out: Option<Duration>,
    answer: Option<(Duration, Answer)>,
}

impl Fate {
    const PROMPT: Self = Self {
        carried_out: Some(ms(20)),
        answer: Some((ms(40), Answer::Done)),
    };

    const LOST: Self = Self {
        carried_out: None,
        answer: None,
    };

    const BUSY: Self = Self {
        carried_out: None,
        answer: Some((ms(20), Answer::Busy)),
    };

    fn late(after: Duration) -> Self {
        Self {
            carried_out: Some(after),
            answer: None,
        }
    }
}

/// A ticket, its server, the orders on their way, and the server that writes the answer.
struct Run {
    ticket: Ticket,
    writer: Writer,
    /// When the writing server is silent.
    silent: std::ops::Range<Duration>,
    /// When the probe under way was sent, when its answer or timeout comes, and which it is.
    probe: Option<(Duration, Duration, bool)>,
    probes: usize,
    now: Duration,
    is_limited: bool,
    /// When the server wants nothing.
    paused: std::ops::Range<Duration>,
    /// When the running order gives an answer, or its timeout.
    answer_at: Option<(Duration, Answer)>,
    wait_until: Duration,
    on_way: Vec<(Duration, Order)>,
    /// Until when the server holds the memory.
    held_until: Option<Duration>,
    ended_at: Option<Duration>,
    end: Option<End>,
    reserves: usize,
    releases: usize,
    held_since: Option<Duration>,
    /// The longest stretch in which memory was held after the bound.
    longest_late: Duration,
    /// Whether memory was not held at some time between the first order and the end.
    was_lost: bool,
}

impl Run {
    fn new() -> Self {
        Self {
            ticket: Ticket::new(HOLD, DEADLINE),
            writer: Writer::new(Duration::ZERO, HOLD, DEADLINE),
            silent: Duration::ZERO..Duration::ZERO,
            probe: None,
            probes: 0,
            now: Duration::ZERO,
            is_limited: false,
            paused: Duration::ZERO..Duration::ZERO,
            answer_at: None,
            wait_until: Duration::ZERO,
            on_way: Vec::new(),
            held_until: None,
            ended_at: None,
            end: None,
            reserves: 0,
            releases: 0,
            held_since: None,
            longest_late: Duration::ZERO,
            was_lost: false,
        }
    }

    fn is_held(&self) -> bool {
        self.held_until.is_some_and(|until| self.now < until)
    }

    fn finish(&mut self) {
        self.ended_at = Some(self.now);
        self.ticket.end();
        self.wait_until = self.now;
    }

    /// Runs until `until`. `fate` decides on each order.
    fn run(&mut self, until: Duration, mut fate: impl FnMut(Duration, Order) -> Fate) {
        while self.now < until {
            self.deliver();
            self.ask_writer();
            self.decide(&mut fate);
            self.watch();
            self.now += TICK;
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due = self.on_way.extract_if(.., |(at, _)| *at <= now);
        for (_, order) in due {
            self.held_until = match order {
                Order::Reserve(time) | Order::Renew(time) => Some(now + time),
                Order::Release => None,
            };
        }
        if let Some((at, answer)) = self.answer_at
            && at <= now
        {
            self.answer_at = None;
            self.ticket.answered(answer);
            self.wait_until = now;
        }
    }

    /// Probes the writing server.
    fn ask_writer(&mut self) {
        let now = self.now;
        if let Some((sent_at, at, is_answered)) = self.probe
            && at <= now
        {
            self.probe = None;
            self.writer.probed(sent_at, is_answered);
            self.wait_until = now;
        }
        let due = self.writer.next_probe(now).filter(|due| *due <= now);
        if self.probe.is_none() && !self.ticket.has_ended() && due.is_some() {
            self.probes += 1;
            let is_silent = self.silent.contains(&now);
            let after = if is_silent { PROBE_TIMEOUT } else { ms(30) };
            self.probe = Some((now, now + after, !is_silent));
        }
    }

    fn decide(&mut self, fate: &mut impl FnMut(Duration, Order) -> Fate) {
        let now = self.now;
        if self.answer_at.is_some() || self.end.is_some() || now < self.wait_until {
            return;
        }
        let view = View {
            now,
            alive_at: self.writer.alive_at(),
            is_limited: self.is_limited,
            paused_until: self.paused.contains(&now).then_some(self.paused.end),
        };
        match self.ticket.next(view) {
            Step::Send(order) => {
                match order {
                    Order::Reserve(_) | Order::Renew(_) => self.reserves += 1,
                    Order::Release => self.releases += 1,
                }
                self.ticket.sent(now, order);
                let fate = fate(now, order);
                let carried_out = fate.carried_out.map(|after| (now + after, order));
                self.on_way.extend(carried_out);
                let answer = fate.answer.filter(|(after, _)| *after < TIMEOUT);
                let (after, answer) = answer.unwrap_or((TIMEOUT, Answer::Missing));
                self.answer_at = Some((now + after, answer));
            }
            Step::Wait(until) => {
                assert!(until > now, "it waits for what has passed");
                self.wait_until = until;
            }
            Step::Done(end) => self.end = Some(end),
        }
    }

    fn watch(&mut self) {
        let is_held = self.is_held();
        match self.ended_at {
            None if !is_held && self.now > ms(100) => self.was_lost = true,
            Some(ended) if is_held && self.now >= ended + FREE => {
                let since = *self.held_since.get_or_insert(self.now);
                self.longest_late = self.longest_late.max(self.now.saturating_sub(since));
            }
            _ => self.held_since = None,
        }
    }
}

#[test]
fn answered_orders_released_once() {
    let mut run = Run::new();
    run.run(ms(10_000), |_, _| Fate::PROMPT);
    assert!(!run.was_lost);
    assert!((9..=12).contains(&run.reserves), "{}", run.reserves);
    run.finish();
    run.run(ms(30_000), |_, _| Fate::PROMPT);
    assert_eq!((run.end, run.releases), (Some(End::Released), 1));
    assert_eq!(run.held_until, None);
}

/// A renewal is under way when the request ends: the release follows its answer.
#[test]
fn release_after_renewal() {
    let mut run = Run::new();
    run.run(ms(960), |_, _| Fate::PROMPT);
    assert_eq!(run.reserves, 2);
    run.finish();
    run.run(ms(970), |_, _| Fate::PROMPT);
    assert_eq!(run.releases, 0, "a release overtakes the renewal");
    run.run(ms(1_100), |_, _| Fate::PROMPT);
    assert_eq!((run.releases, run.held_until), (1, None));
}

/// A first order without an answer is carried out after the release.
#[test]
fn late_first_order() {
    for late in [2_000, 6_000, 12_000] {
        let mut run = Run::new();
        // Its request does not begin.
        run.ended_at = Some(Duration::ZERO);
        run.run(ms(30_000), |_, order| match order {
            Order::Reserve(_) | Order::Renew(_) => Fate::late(ms(late)),
            Order::Release => Fate::PROMPT,
        });
        assert_eq!((run.end, run.reserves), (Some(End::Released), 1), "{late}");
        assert!(run.longest_late < STRETCH, "{late}: {:?}", run.longest_late);
        assert!(run.releases <= 14, "{late}: {} releases", run.releases);
    }
}

/// Nobody notices the end of a request at its deadline.
#[test]
fn no_renewal_past_deadline() {
    for renewals_fail in [false, true] {
        let mut run = Run::new();
        run.run(ms(58_000), |_, _| Fate::PROMPT);
        run.run(DEADLINE, |_, _| {
            if renewals_fail {
                Fate::late(ms(8_000))
            } else {
                Fate::PROMPT
            }
        });
        assert!(run.is_held(), "its memory is lost at the deadline");
        run.ended_at = Some(DEADLINE);
        run.run(DEADLINE + ms(30_000), |_, _| Fate::PROMPT);
        assert_eq!(run.end, Some(End::Released));
        let bound = if renewals_fail { STRETCH } else { TICK };
        assert!(run.longest_late < bound, "{:?}", run.longest_late);
    }
}

/// The writing server is sound, silent for a time, and goes on.
#[test]
fn silence_keeps_memory() {
    for begins in (1_000..5_000).step_by(10) {
        let mut run = Run::new();
        run.silent = ms(begins)..ms(begins + 2_000);
        run.run(ms(12_000), |_, _| Fate::PROMPT);
        assert!(!run.was_lost, "silent from {begins} ms on");
        assert!(run.reserves <= 18, "{} orders", run.reserves);
        assert!(run.probes <= 24, "{} probes", run.probes);
    }
}

/// The writing server dies without a reset, and nobody notices.
#[test]
fn dead_writer_frees_memory() {
    for (dies, is_limited) in (0..4_000)
        .step_by(10)
        .flat_map(|at| [(at, false), (at, true)])
    {
        let mut run = Run::new();
        run.is_limited = is_limited;
        run.silent = ms(dies)..Duration::MAX;
        run.run(ms(dies), |_, _| Fate::PROMPT);
        run.ended_at = Some(ms(dies));
        run.run(ms(dies) + FREE, |_, _| Fate::PROMPT);
        assert!(!run.is_held(), "died at {dies} ms");
        assert_eq!(run.end, Some(End::Released), "died at {dies} ms");
    }
}

/// The writing server dies while renewals are late.
#[test]
fn dead_writer_late_renewals() {
    for late in (500..12_000).step_by(100) {
        let mut run = Run::new();
        run.silent = ms(3_000)..Duration::MAX;
        run.run(ms(1_500), |_, _| Fate::PROMPT);
        run.run(ms(3_000), |_, _| Fate::late(ms(late)));
        run.ended_at = Some(ms(3_000));
        run.run(ms(40_000), |_, order| match order {
            Order::Reserve(_) | Order::Renew(_) => Fate::late(ms(late)),
            Order::Release => Fate::PROMPT,
        });
        assert_eq!(run.end, Some(End::Released), "late by {late} ms");
        assert!(run.longest_late < STRETCH, "{late}: {:?}", run.longest_late);
    }
}

/// An order that was rejected, or had no connection, took nothing.
#[test]
fn nothing_taken() {
    for answer in [Answer::Rejected, Answer::Busy, Answer::Unsent] {
        let mut run = Run::new();
        run.run(ms(5_000), |_, _| Fate {
            carried_out: None,
            answer: Some((ms(20), answer)),
        });
        assert_eq!((run.end, run.releases), (Some(End::Unused), 0));
    }
}

/// A release that was rejected for now is repeated until the reservation expires.
#[test]
fn rejected_release_repeated() {
    let mut run = Run::new();
    run.run(ms(1_500), |_, _| Fate::PROMPT);
    run.finish();
    run.run(ms(2_400), |_, _| Fate::BUSY);
    run.run(ms(2_800), |_, _| Fate::PROMPT);
    assert_eq!((run.end, run.held_until), (Some(End::Released), None));

    let mut run = Run::new();
    run.run(ms(1_500), |_, _| Fate::PROMPT);
    run.finish();
    run.run(ms(10_000), |_, _| Fate::BUSY);
    assert_eq!(run.end, Some(End::Expired));
    assert!(run.releases <= 11, "{} releases", run.releases);
}

/// A server with a limit is renewed half as often, and keeps its memory if two renewals are lost.
#[test]
fn limited_renewals_survive() {
    for first_lost in 0..20 {
        let mut run = Run::new();
        run.is_limited = true;
        let mut count = 0;
        run.run(ms(40_000), |_, _| {
            count += 1;
            let is_lost = (first_lost + 2..first_lost + 4).contains(&count);
            if is_lost { Fate::LOST } else { Fate::PROMPT }
        });
        assert!(!run.was_lost, "lost from {first_lost}");
        assert!(run.reserves <= 25, "{} orders", run.reserves);
    }
}

/// At no time after its request is memory held for longer than the bound, and while it runs it stays
/// held if no two orders in a row fail.
#[test]
fn random_fates() {
    for seed in 0..SEEDS {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut run = Run::new();
        run.is_limited = rng.random_bool(0.2);
        let mut failed = false;
        let may_fail_twice = rng.random_bool(0.5);
        let mut fate = |_, _| {
            let is_well = rng.random_bool(0.6) || (failed && !may_fail_twice);
            failed = !is_well;
            match rng.random_range(0..4) {
                _ if is_well => Fate::PROMPT,
                0 => Fate::LOST,
                1 => Fate::BUSY,
                2 => Fate::late(ms(rng.random_range(400..2_000))),
                _ => Fate::late(ms(rng.random_range(2_000..12_000))),
            }
        };
        let ends_at = ms(seed * 7 % 9_000);
        run.run(ends_at, &mut fate);
        // By then the first order was answered or has failed.
        let began = ends_at > TIMEOUT + ms(50) && !run.ticket.has_ended();
        assert!(
            may_fail_twice || !began || !run.was_lost,
            "seed {seed}: memory lost while its request ran"
        );
        run.finish();
        run.run(ends_at + ms(30_000), &mut fate);
        assert!(run.end.is_some(), "seed {seed}: it goes on");
        let bound = if may_fail_twice { HOLD } else { STRETCH };
        assert!(
            run.longest_late < bound,
            "seed {seed}: {:?}",
            run.longest_late
        );
    }
}

/// One order keeps the memory of a request that runs over a pause.
#[test]
fn renewed_in_pause() {
    for begins in (1_000..2_000).step_by(50) {
        let mut run = Run::new();
        run.paused = ms(begins)..ms(begins + 3_500);
        run.run(ms(begins), |_, _| Fate::PROMPT);
        let before = run.reserves;
        run.run(ms(begins + 3_500), |_, _| Fate::PROMPT);
        assert!(!run.was_lost, "paused from {begins} ms on");
        assert!(
            run.reserves <= before + 1,
            "{} orders",
            run.reserves - before
        );
        run.run(ms(begins + 8_000), |_, _| Fate::PROMPT);
        assert!(!run.was_lost, "after the pause from {begins} ms on");
    }
}

/// The memory of a request that ends in a pause is free by itself.
#[test]
fn released_in_pause() {
    let mut run = Run::new();
    run.paused = ms(2_000)..ms(60_000);
    run.run(ms(3_000), |_, _| Fate::PROMPT);
    run.finish();
    run.run(ms(50_000), |_, _| Fate::PROMPT);
    assert_eq!((run.end, run.releases), (Some(End::Expired), 0));
    assert_eq!(run.longest_late, Duration::ZERO);
}

/// What a request held when a pause began is released after it.
#[test]
fn release_left_out_after_pause() {
    let mut run = Run::new();
    run.paused = ms(1_000)..ms(2_500);
    run.run(ms(1_500), |_, _| Fate::PROMPT);
    run.finish();
    run.run(ms(2_600), |_, _| Fate::PROMPT);
    assert_eq!((run.end, run.releases), (Some(End::Released), 1));
}
