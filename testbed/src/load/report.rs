//! Counts and histograms by length class, by way and by workspace.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::call;
use super::mix;

/// Upper ends of the length classes in tokens.
pub const CLASSES: [u64; 6] = [2_000, 8_000, 32_000, 100_000, 400_000, u64::MAX];
const NAMES: [&str; 6] = ["<=2k", "<=8k", "<=32k", "<=100k", "<=400k", ">400k"];
/// Longest short prompt and longest middle one, as the product's policy has them by default.
const LANES: [u64; 2] = [8_000, 100_000];
const HOUR_MICROS: u64 = 3_600_000_000;
const DIGITS: u8 = 3;

/// Percentiles in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Times {
    /// Half are below.
    pub p50: f64,
    /// 95 in 100 are below.
    pub p95: f64,
    /// 99 in 100 are below.
    pub p99: f64,
    /// The largest.
    pub max: f64,
}

/// What became of a group of requests.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Group {
    /// Requests due.
    pub count: u64,
    /// Right and in time.
    pub right: u64,
    /// Not sent, as too many were in progress.
    pub unsent: u64,
    /// Refused before any answer, by code.
    pub refused: BTreeMap<String, u64>,
    /// Failed within the answer, by code.
    pub failed: BTreeMap<String, u64>,
    /// With a wrong answer.
    pub wrong: u64,
    /// Without an end.
    pub cut: u64,
    /// Ended after their limit.
    pub late: u64,
    /// Tokens of right answers.
    pub tokens: u64,
    /// Prompt tokens of right answers.
    pub prompt_tokens: u64,
    /// Time to first token of right answers, from when they were due.
    pub first: Times,
    /// Time to the end of right answers, from when they were due.
    pub total: Times,
    /// Time to first token over the ideal, of right answers.
    pub slowdown: Times,
}

/// A load's result.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Seconds from the start to the last end.
    pub seconds: f64,
    /// Tokens of right answers a second, over the product.
    pub goodput: f64,
    /// By length class, over the product.
    pub classes: BTreeMap<usize, Group>,
    /// By length class, directly to engines.
    pub direct: BTreeMap<usize, Group>,
    /// By lane, over the product.
    pub lanes: BTreeMap<&'static str, Group>,
    /// By workspace, over the product.
    pub workspaces: BTreeMap<String, Group>,
    /// All, over the product.
    pub all: Group,
    /// How late requests were sent.
    pub lag: Times,
    /// First few causes of wrong and cut answers.
    pub causes: Vec<String>,
}

/// Causes kept.
const CAUSES: usize = 10;

/// The class of a prompt of this length.
pub fn class(tokens: u64) -> usize {
    CLASSES.partition_point(|end| *end < tokens)
}

/// The lane of a prompt of this length.
pub fn lane(tokens: u64) -> &'static str {
    match tokens {
        _ if tokens <= LANES[0] => "short",
        _ if tokens <= LANES[1] => "middle",
        _ => "long",
    }
}

/// The class's name.
pub fn name(class: usize) -> &'static str {
    NAMES[class]
}

#[derive(Debug)]
struct Cell {
    group: Group,
    first: Histogram<u64>,
    total: Histogram<u64>,
    /// In thousandths.
    slowdown: Histogram<u64>,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(HOUR_MICROS, DIGITS).expect("the bounds are right")
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record(time.as_micros() as u64);
}

fn times(histogram: &Histogram<u64>) -> Times {
    if histogram.is_empty() {
        return Times::default();
    }
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
    Times {
        p50: at(0.5),
        p95: at(0.95),
        p99: at(0.99),
        max: histogram.max() as f64 / 1000.0,
    }
}

impl Cell {
    fn new() -> Self {
        Self {
            group: Group::default(),
            first: histogram(),
            total: histogram(),
            slowdown: histogram(),
        }
    }

    fn add(&mut self, record: &call::Record) {
        let group = &mut self.group;
        group.count += 1;
        group.late += u64::from(record.late);
        match &record.outcome {
            call::Outcome::Right if !record.late => {
                group.right += 1;
                group.tokens += record.tokens;
                group.prompt_tokens += record.call.recipe.tokens;
                if let Some(first) = record.first {
                    self::record(&mut self.first, first);
                }
                self::record(&mut self.total, record.total);
                if let Some(slowdown) = record.slowdown {
                    self.slowdown.saturating_record((slowdown * 1000.0) as u64);
                }
            }
            call::Outcome::Right => {}
            call::Outcome::Refused(_, error) => {
                *group.refused.entry(error.code.clone()).or_insert(0) += 1;
            }
            call::Outcome::Failed(error) => {
                *group.failed.entry(error.code.clone()).or_insert(0) += 1;
            }
            call::Outcome::Wrong(_) => group.wrong += 1,
            call::Outcome::Cut(_) => group.cut += 1,
        }
    }

    fn group(&self) -> Group {
        Group {
            first: times(&self.first),
            total: times(&self.total),
            slowdown: times(&self.slowdown),
            ..self.group.clone()
        }
    }
}

/// Counts in the making.
#[derive(Debug)]
pub struct Tally {
    names: Vec<String>,
    classes: BTreeMap<usize, Cell>,
    direct: BTreeMap<usize, Cell>,
    lanes: BTreeMap<&'static str, Cell>,
    workspaces: BTreeMap<String, Cell>,
    all: Cell,
    lag: Histogram<u64>,
    causes: Vec<String>,
}

impl Tally {
    /// Nothing yet.
    pub fn new(workspaces: &[mix::Workspace]) -> Self {
        Self {
            names: workspaces.iter().map(|w| w.name.clone()).collect(),
            classes: BTreeMap::new(),
            direct: BTreeMap::new(),
            lanes: BTreeMap::new(),
            workspaces: BTreeMap::new(),
            all: Cell::new(),
            lag: histogram(),
            causes: Vec::new(),
        }
    }

    fn cells(&mut self, call: &mix::Call, each: impl Fn(&mut Cell)) {
        let class = class(call.recipe.tokens);
        if call.direct {
            each(self.direct.entry(class).or_insert_with(Cell::new));
            return;
        }
        each(self.classes.entry(class).or_insert_with(Cell::new));
        each(&mut self.all);
        let lane = lane(call.recipe.tokens);
        each(self.lanes.entry(lane).or_insert_with(Cell::new));
        let name = self.names[call.workspace].clone();
        each(self.workspaces.entry(name).or_insert_with(Cell::new));
    }

    /// Counts a request.
    pub fn add(&mut self, record: &call::Record) {
        self::record(&mut self.lag, record.lag);
        if let call::Outcome::Wrong(cause) | call::Outcome::Cut(cause) = &record.outcome
            && self.causes.len() < CAUSES
        {
            self.causes.push(cause.clone());
        }
        self.cells(&record.call, |cell| cell.add(record));
    }

    /// Counts a request that was not sent.
    pub fn unsent(&mut self, call: &mix::Call) {
        self.cells(call, |cell| {
            cell.group.count += 1;
            cell.group.unsent += 1;
        });
    }

    /// The result.
    pub fn report(&self, time: Duration) -> Report {
        let groups = |cells: &BTreeMap<usize, Cell>| {
            let groups = cells.iter().map(|(class, cell)| (*class, cell.group()));
            groups.collect()
        };
        let all = self.all.group();
        let named = self.workspaces.iter();
        Report {
            seconds: time.as_secs_f64(),
            goodput: all.tokens as f64 / time.as_secs_f64().max(f64::MIN_POSITIVE),
            classes: groups(&self.classes),
            direct: groups(&self.direct),
            lanes: self.lanes.iter().map(|(l, c)| (*l, c.group())).collect(),
            workspaces: named.map(|(n, c)| (n.clone(), c.group())).collect(),
            all,
            lag: times(&self.lag),
            causes: self.causes.clone(),
        }
    }
}

impl Group {
    fn line(&self, out: &mut String, name: &str) {
        let refused: u64 = self.refused.values().sum();
        let failed: u64 = self.failed.values().sum();
        let _ = writeln!(
            out,
            "{name:<12} {:>7} {:>7} {refused:>7} {failed:>6} {:>5} {:>4} {:>5} {:>6} \
             {:>9.1} {:>9.1} {:>9.1} {:>9.1} {:>9.1} {:>9.1} {:>7.2} {:>7.2}",
            self.count,
            self.right,
            self.wrong,
            self.cut,
            self.late,
            self.unsent,
            self.first.p50,
            self.first.p95,
            self.first.p99,
            self.first.max,
            self.total.p50,
            self.total.p99,
            self.slowdown.p50,
            self.slowdown.p95,
        );
    }
}

impl Report {
    /// Refusals and failures by code, of all.
    pub fn codes(&self) -> BTreeMap<String, u64> {
        let mut codes = self.all.refused.clone();
        for (code, count) in &self.all.failed {
            *codes.entry(format!("{code} (within)")).or_insert(0) += count;
        }
        codes
    }

    /// Added time to first token by class: p50 and p99, in milliseconds.
    pub fn added(&self) -> BTreeMap<usize, (f64, f64)> {
        let pairs = self.classes.iter().filter_map(|(class, group)| {
            let direct = self.direct.get(class)?;
            let p50 = group.first.p50 - direct.first.p50;
            let p99 = group.first.p99 - direct.first.p99;
            (direct.right > 0 && group.right > 0).then_some((*class, (p50, p99)))
        });
        pairs.collect()
    }

    /// A table for people.
    pub fn table(&self) -> String {
        let mut out = String::new();
        let _ = writeln!(
            out,
            "{:<12} {:>7} {:>7} {:>7} {:>6} {:>5} {:>4} {:>5} {:>6} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>7} {:>7}",
            "prompt",
            "count",
            "right",
            "refused",
            "failed",
            "wrong",
            "cut",
            "late",
            "unsent",
            "ttft p50",
            "p95",
            "p99",
            "max",
            "total p50",
            "p99",
            "slow50",
            "slow95",
        );
        for (class, group) in &self.classes {
            group.line(&mut out, name(*class));
        }
        for (lane, group) in &self.lanes {
            group.line(&mut out, lane);
        }
        self.all.line(&mut out, "all");
        for (class, group) in &self.direct {
            group.line(&mut out, &format!("direct {}", name(*class)));
        }
        if self.workspaces.len() > 1 {
            for (name, group) in &self.workspaces {
                group.line(&mut out, name);
            }
        }
        let _ = writeln!(
            out,
            "goodput {:.0} tokens/s over {:.1} s; sent late by p99 {:.1} ms, max {:.1} ms",
            self.goodput, self.seconds, self.lag.p99, self.lag.max,
        );
        for (code, count) in self.codes() {
            let _ = writeln!(out, "  {code}: {count}");
        }
        for (class, (p50, p99)) in self.added() {
            let name = name(class);
            let _ = writeln!(out, "added ttft {name}: p50 {p50:.2} ms, p99 {p99:.2} ms");
        }
        for cause in &self.causes {
            let _ = writeln!(out, "  cause: {cause}");
        }
        out
    }
}
