//! Which requests come when: a seeded, endless sequence.

use std::str::FromStr;
use std::time::Duration;

use anyhow::Context;
use anyhow::bail;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::prompt;

/// Shortest prompt of the mixes that are like the brief's.
const SHORTEST: f64 = 1_000.0;
/// Prompts above this many tokens are long.
const LONG: f64 = 100_000.0;
/// One in this many is long.
const LONG_ONE_IN: u32 = 50;

/// How long prompts are.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Lengths {
    /// `fixed:N`.
    Fixed(u64),
    /// `uniform:MIN-MAX`, uniform in the logarithm.
    LogUniform(u64, u64),
    /// `brief:MAX`: one in fifty is log-uniform above 100,000; the others are 1,000 * 100^(u^2)
    /// for a uniform u.
    Brief(u64),
}

impl FromStr for Lengths {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> anyhow::Result<Self> {
        let (name, value) = text.split_once(':').context("NAME:VALUE")?;
        match name {
            "fixed" => Ok(Self::Fixed(value.parse()?)),
            "uniform" => {
                let (min, max) = range(value)?;
                Ok(Self::LogUniform(min, max))
            }
            "brief" => Ok(Self::Brief(value.parse()?)),
            _ => bail!("fixed:N, uniform:MIN-MAX or brief:MAX"),
        }
    }
}

/// `MIN-MAX` or one number for both.
pub fn range(text: &str) -> anyhow::Result<(u64, u64)> {
    let (min, max) = text.split_once('-').unwrap_or((text, text));
    let (min, max) = (min.parse()?, max.parse()?);
    if min > max {
        bail!("{text}: the first is larger");
    }
    Ok((min, max))
}

impl Lengths {
    fn draw(self, rng: &mut StdRng) -> u64 {
        match self {
            Self::Fixed(tokens) => tokens,
            Self::LogUniform(min, max) => log_uniform(rng, min as f64, max as f64),
            Self::Brief(max) if rng.random_ratio(1, LONG_ONE_IN) => {
                log_uniform(rng, LONG + 1.0, max as f64)
            }
            Self::Brief(_) => {
                let u: f64 = rng.random();
                (SHORTEST * (LONG / SHORTEST).powf(u * u)) as u64
            }
        }
    }
}

fn log_uniform(rng: &mut StdRng, min: f64, max: f64) -> u64 {
    let u: f64 = rng.random();
    (min * (max / min).powf(u)) as u64
}

/// Times of more arrivals.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Burst {
    /// How many times the rate.
    pub factor: f64,
    /// Time from one's start to the next.
    pub every: Duration,
    /// How long each lasts.
    pub lasts: Duration,
}

/// A workspace that sends.
#[derive(Clone, Debug)]
pub struct Workspace {
    /// Its name in reports.
    pub name: String,
    /// Its key.
    pub key: String,
    /// Its part of the requests, relative to the others'.
    pub weight: f64,
}

/// What comes when.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Seed of everything.
    pub seed: u64,
    /// Requests a second.
    pub rate: f64,
    /// Bursts, if any.
    pub burst: Option<Burst>,
    /// Prompt lengths.
    pub lengths: Lengths,
    /// Prompts longer than this are left out; the others come as they would with them.
    pub drop_longer: u64,
    /// Answer lengths.
    pub max_tokens: (u64, u64),
    /// How many shared prefixes there are.
    pub prefix_groups: u64,
    /// Their tokens.
    pub prefix_tokens: u64,
    /// Weights of the workspaces.
    pub weights: Vec<f64>,
    /// Part of the requests that goes to an engine directly.
    pub direct: f64,
    /// Part of the requests that is marked as not repeatable.
    pub once: f64,
}

/// One request to send.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Its number.
    pub number: u64,
    /// When it is to be sent, from the start.
    pub at: Duration,
    /// Its prompt.
    pub recipe: prompt::Recipe,
    /// Length of its answer.
    pub max_tokens: u64,
    /// Index of its workspace.
    pub workspace: usize,
    /// Whether it goes to an engine directly.
    pub direct: bool,
    /// Whether it is marked as not repeatable.
    pub once: bool,
}

/// The sequence of requests.
pub struct Source {
    settings: Settings,
    rng: StdRng,
    at: f64,
    number: u64,
}

impl Source {
    /// The sequence of these settings; always the same.
    pub fn new(settings: Settings) -> Self {
        let rng = StdRng::seed_from_u64(settings.seed);
        Self {
            settings,
            rng,
            at: 0.0,
            number: 0,
        }
    }

    fn rate(&self) -> f64 {
        let Some(burst) = &self.settings.burst else {
            return self.settings.rate;
        };
        let into = self.at % burst.every.as_secs_f64();
        if into < burst.lasts.as_secs_f64() {
            self.settings.rate * burst.factor
        } else {
            self.settings.rate
        }
    }

    fn workspace(&mut self) -> usize {
        let sum: f64 = self.settings.weights.iter().sum();
        let mut point = self.rng.random::<f64>() * sum;
        for (index, weight) in self.settings.weights.iter().enumerate() {
            point -= weight;
            if point < 0.0 {
                return index;
            }
        }
        0
    }

    fn draw(&mut self) -> Call {
        let gap: f64 = -(1.0 - self.rng.random::<f64>()).ln() / self.rate();
        self.at += gap;
        self.number += 1;
        let tokens = self.settings.lengths.draw(&mut self.rng).max(1);
        let group = self.rng.random_range(0..self.settings.prefix_groups.max(1));
        let (min, max) = self.settings.max_tokens;
        let prefix = (group, self.settings.prefix_tokens);
        let seed = (self.settings.seed << 32) ^ self.number;
        Call {
            number: self.number,
            at: Duration::from_secs_f64(self.at),
            recipe: prompt::Recipe {
                prefix,
                seed,
                tokens,
            },
            max_tokens: self.rng.random_range(min..=max),
            workspace: self.workspace(),
            direct: self.rng.random_bool(self.settings.direct),
            once: self.rng.random_bool(self.settings.once),
        }
    }
}

impl Iterator for Source {
    type Item = Call;

    fn next(&mut self) -> Option<Call> {
        loop {
            let call = self.draw();
            if call.recipe.tokens <= self.settings.drop_longer {
                return Some(call);
            }
        }
    }
}
