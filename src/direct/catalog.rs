//! The configuration of an entry without sidecars, checked as a whole: routes by host and
//! prefix, services with their engines, workspaces with their keys.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::fmt;
use std::time::Duration;

use super::model;

key! {
    /// What may be repeated.
    pub enum Kind {
        /// May run more than once.
        Safe,
        /// Runs at most once.
        Unsafe,
        /// A stream of events; may go on elsewhere after its last event if the route says so,
        /// else it runs at most once.
        Stream,
    }
}

/// A service that a route leads to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Its share among the targets.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its name, for logs and metrics.
    pub name: String,
    /// Host that it serves.
    pub host: String,
    /// Paths that it serves begin with this.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time for a request.
    pub timeout: Duration,
    /// Time to the answer, or to its first event, within which it is on time.
    pub objective: Duration,
    /// Longest pause between events within which a stream is on time.
    pub max_pause: Option<Duration>,
    /// Rank; 0 comes first.
    pub priority: u8,
    /// Where it leads. Invariant: not empty, and the weights do not add up to 0.
    pub targets: Vec<Target>,
    /// Backend servers that one request may be sent to.
    pub max_servers: u32,
    /// Whether it needs no key.
    pub public: bool,
    /// Whether a stream may go on at another backend server.
    pub resumable: bool,
}

impl Route {
    /// Whether a request may run again after it may have run.
    pub fn repeatable(&self) -> bool {
        match self.kind {
            Kind::Safe => true,
            Kind::Unsafe => false,
            Kind::Stream => self.resumable,
        }
    }

    /// The target that `draw` (0 to 1) falls to.
    pub fn target(&self, draw: f64) -> Option<&Target> {
        let total: u64 = self.targets.iter().map(|one| u64::from(one.weight)).sum();
        let mut left = (draw * total as f64) as u64;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if left < weight {
                return Some(target);
            }
            left -= weight;
        }
        self.targets.iter().rfind(|one| one.weight > 0)
    }
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Connections that one of its backend servers accepts from all callers together.
    pub max_connections: u32,
    /// Time model of its engines. `None`: a plain service.
    pub engine: Option<model::Engine>,
}

/// What a caller may send, and how slowly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for a request's head to come.
    pub head_timeout: Duration,
    /// Time that a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// What most HTTP servers take; in force until a configuration says more.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// Its name.
    pub name: String,
    /// Keys of its callers.
    pub keys: Vec<String>,
    /// Its rank, before that of the route.
    pub priority: Option<u8>,
}

/// What a configuration says, not yet checked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Draft {
    /// Its version.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Limits.
    pub limits: Limits,
    /// Workspaces. Empty: callers need no keys.
    pub workspaces: Vec<Workspace>,
}

/// Something wrong with a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Where, in words of the configuration.
    pub location: String,
    /// What is wrong there.
    pub message: String,
}

impl Finding {
    /// A finding.
    pub fn new(location: impl Into<String>, message: impl Into<String>) -> Self {
        let (location, message) = (location.into(), message.into());
        Self { location, message }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.location, self.message)
    }
}

/// A checked configuration with its indexes.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    draft: Draft,
    /// Indexes of routes by host, longest prefix first.
    by_host: HashMap<String, Vec<usize>>,
    /// Indexes of workspaces by key.
    by_key: HashMap<String, usize>,
    by_service: BTreeMap<String, usize>,
}

impl Catalog {
    /// Checks a draft: the catalog, or all that is wrong with it.
    pub fn new(draft: Draft) -> Result<Self, Vec<Finding>> {
        let mut findings = Vec::new();
        check_routes(&draft, &mut findings);
        check_keys(&draft, &mut findings);
        if !findings.is_empty() {
            return Err(findings);
        }
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (at, route) in draft.routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(at);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|at| std::cmp::Reverse(draft.routes[*at].prefix.len()));
        }
        let mut by_key = HashMap::new();
        for (at, workspace) in draft.workspaces.iter().enumerate() {
            let keys = workspace.keys.iter().cloned();
            by_key.extend(keys.map(|key| (key, at)));
        }
        let names = draft.services.iter().enumerate();
        let by_service = names.map(|(at, one)| (one.name.clone(), at)).collect();
        Ok(Self {
            draft,
            by_host,
            by_key,
            by_service,
        })
    }

    /// Its version.
    pub fn version(&self) -> u64 {
        self.draft.version
    }

    /// Limits on callers.
    pub fn limits(&self) -> &Limits {
        &self.draft.limits
    }

    /// The route of `host` with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self
            .by_host
            .get(host)?
            .iter()
            .map(|at| &self.draft.routes[*at]);
        routes.into_iter().find(|one| path.starts_with(&one.prefix))
    }

    /// Whether callers need keys.
    pub fn requires_key(&self) -> bool {
        !self.draft.workspaces.is_empty()
    }

    /// The workspace that holds `key`.
    pub fn workspace(&self, key: &str) -> Option<&Workspace> {
        let at = self.by_key.get(key)?;
        Some(&self.draft.workspaces[*at])
    }

    /// The service of that name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let at = self.by_service.get(name)?;
        Some(&self.draft.services[*at])
    }

    /// All services.
    pub fn services(&self) -> &[Service] {
        &self.draft.services
    }
}

fn check_routes(draft: &Draft, findings: &mut Vec<Finding>) {
    let services: HashSet<&str> = draft.services.iter().map(|one| one.name.as_str()).collect();
    let mut places = HashSet::new();
    for route in &draft.routes {
        let mut find = |why: String| {
            findings.push(Finding::new(format!("route {}", route.name), why));
        };
        if route.timeout.is_zero() {
            find("its timeout is 0".to_owned());
        }
        if route.targets.iter().all(|one| one.weight == 0) {
            find("the weights of its services add up to 0".to_owned());
        }
        for target in &route.targets {
            if !services.contains(target.service.as_str()) {
                find(format!("there is no service {}", target.service));
            }
        }
        if !places.insert((&route.host, &route.prefix)) {
            let (host, prefix) = (&route.host, &route.prefix);
            find(format!("another route has host {host} and prefix {prefix}"));
        }
    }
}

fn check_keys(draft: &Draft, findings: &mut Vec<Finding>) {
    let mut holders: HashMap<&str, &str> = HashMap::new();
    for workspace in &draft.workspaces {
        for key in &workspace.keys {
            let holder = holders.insert(key, &workspace.name);
            if let Some(holder) = holder.filter(|one| *one != workspace.name) {
                let place = format!("workspace {}", workspace.name);
                findings.push(Finding::new(place, format!("shares a key with {holder}")));
            }
        }
    }
}
