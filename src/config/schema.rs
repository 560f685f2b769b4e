//! What may stand in a configuration file.

/// A top-level table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Section {
    /// Services by name.
    Service,
    /// Models by name.
    Model,
    /// Workspaces by name.
    Workspace,
    /// Routes by name.
    Route,
    /// The policy. It has no names: its one item's name is empty.
    Policy,
}

/// A key of an item.
#[derive(Debug)]
pub struct Field {
    /// The key.
    pub name: &'static str,
    /// What its value may be.
    pub kind: Kind,
    /// Whether it must be there.
    pub required: bool,
}

/// What a value may be.
#[derive(Debug)]
pub enum Kind {
    /// A text.
    Text,
    /// `true` or `false`.
    Flag,
    /// A whole number between two, both allowed.
    Number(u64, u64),
    /// One of these texts.
    OneOf(&'static [&'static str]),
}

/// Longest time limit in milliseconds: a day.
const MAX_TIME_LIMIT: u64 = 86_400_000;

/// Longest time for which something is remembered, in milliseconds: thirty days.
const MAX_TTL: u64 = 30 * 86_400_000;

/// Most tokens of a prompt.
const MAX_TOKENS: u64 = 1 << 32;

const fn must(name: &'static str, kind: Kind) -> Field {
    Field {
        name,
        kind,
        required: true,
    }
}

const fn may(name: &'static str, kind: Kind) -> Field {
    Field {
        name,
        kind,
        required: false,
    }
}

const SERVICE: &[Field] = &[
    must("kind", Kind::OneOf(&["engine", "plain"])),
    may("fencing", Kind::Flag),
    may("retry_percent", Kind::Number(0, 100)),
];

const MODEL: &[Field] = &[
    must("service", Kind::Text),
    may("max_prompt_tokens", Kind::Number(1, MAX_TOKENS)),
    may("max_output_tokens", Kind::Number(1, u32::MAX as u64)),
    may("time_limit_ms", Kind::Number(1, MAX_TIME_LIMIT)),
];

const WORKSPACE: &[Field] = &[
    must("key_hash", Kind::Text),
    may("share", Kind::Number(1, 1_000_000)),
    may("max_in_progress", Kind::Number(1, u32::MAX as u64)),
];

const ROUTE: &[Field] = &[
    must("service", Kind::Text),
    must("prefix", Kind::Text),
    may("method", Kind::Text),
    may("repeatable", Kind::Flag),
    may("time_limit_ms", Kind::Number(1, MAX_TIME_LIMIT)),
];

const POLICY: &[Field] = &[
    may(
        "routing",
        Kind::OneOf(&["predicted", "round-robin", "least-requests"]),
    ),
    may("short_tokens", Kind::Number(1, MAX_TOKENS)),
    may("long_tokens", Kind::Number(1, MAX_TOKENS)),
    may("short_weight", Kind::Number(0, 100)),
    may("suspect_ttl_ms", Kind::Number(1, MAX_TTL)),
    may("claim_ttl_ms", Kind::Number(1, MAX_TTL)),
    may("weight_loads", Kind::Number(1, 100_000)),
];

impl Section {
    /// All sections.
    pub const ALL: &[Self] = &[
        Self::Service,
        Self::Model,
        Self::Workspace,
        Self::Route,
        Self::Policy,
    ];

    /// The section of a top-level key.
    pub fn of(key: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|one| one.key() == key)
    }

    /// Its top-level key.
    pub fn key(self) -> &'static str {
        match self {
            Self::Service => "service",
            Self::Model => "model",
            Self::Workspace => "workspace",
            Self::Route => "route",
            Self::Policy => "policy",
        }
    }

    /// Keys of its items.
    pub fn fields(self) -> &'static [Field] {
        match self {
            Self::Service => SERVICE,
            Self::Model => MODEL,
            Self::Workspace => WORKSPACE,
            Self::Route => ROUTE,
            Self::Policy => POLICY,
        }
    }

    /// The key of that name in its items.
    pub fn field(self, name: &str) -> Option<&'static Field> {
        self.fields().iter().find(|one| one.name == name)
    }
}
