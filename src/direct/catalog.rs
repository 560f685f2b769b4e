//! The validated configuration of an entry without sidecars: routes by host and path prefix,
//! services with their engines, and workspaces with their keys.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::fmt;
use std::time::Duration;

use super::model;
use super::quota;

key! {
    /// Whether a request may be repeated.
    pub enum Kind {
        /// It may run more than once.
        Safe,
        /// It runs at most once.
        Unsafe,
        /// Its response is a stream of events. If the route is resumable, another backend server may
        /// continue after the last event; otherwise it runs at most once.
        Stream,
    }
}

/// A service to which a route sends requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Its share of the requests, relative to the other targets' weights.
    pub weight: u32,
}

/// How requests of a host and path prefix are handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name in logs and metrics.
    pub name: String,
    /// The host of its requests.
    pub host: String,
    /// Prefix of its requests' paths.
    pub prefix: String,
    /// Whether its requests may be repeated.
    pub kind: Kind,
    /// Longest time for a request.
    pub timeout: Duration,
    /// Latency objective for the response, or for the first event of a stream.
    pub objective: Duration,
    /// Objective for the longest pause between events of a stream.
    pub max_pause: Option<Duration>,
    /// Priority of its requests; 0 is the highest.
    pub priority: u8,
    /// Services that serve it. Invariant: not empty, and the weights do not add up to 0.
    pub targets: Vec<Target>,
    /// Most backend servers to which a request that may be repeated is sent.
    pub max_servers: u32,
    /// Whether callers need no key.
    pub public: bool,
    /// Whether another backend server may continue a stream.
    pub resumable: bool,
    /// Regions in which its requests may run. Empty: all.
    pub homes: Vec<String>,
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

    /// The target that is chosen by a random number, from 0 to 1.
    pub fn target(&self, draw: f64) -> Option<&Target> {
        let total: u64 = self
            .targets
            .iter()
            .map(|target| u64::from(target.weight))
            .sum();
        let mut left = (draw * total as f64) as u64;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if left < weight {
                return Some(target);
            }
            left -= weight;
        }
        self.targets.iter().rfind(|target| target.weight > 0)
    }
}

/// A group of equivalent backend servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Connections that each of its backend servers accepts from all entries together.
    pub max_connections: u32,
    /// Time model of its engines. `None`: a service without engines.
    pub engine: Option<model::Engine>,
    /// Rate of requests that each of its backend servers is meant to take while it is cold. `None`: a
    /// cold one takes as many as others.
    pub cold_rate: Option<quota::Rate>,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest request head in bytes.
    pub head_bytes: usize,
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Time to receive a request's head.
    pub head_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Usual limits of HTTP servers; they apply until a configuration is loaded.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A tenant whose callers share their keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: String,
    /// Keys of its callers.
    pub keys: Vec<String>,
    /// Priority of its requests; overrides that of the route.
    pub priority: Option<u8>,
    /// Regions in which its requests may run, if the route allows them. Empty: all.
    pub homes: Vec<String>,
}

/// A configuration that is not validated yet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Draft {
    /// Version of the configuration document.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// Limits on callers.
    pub limits: Limits,
    /// All workspaces. Empty: callers need no keys.
    pub workspaces: Vec<Workspace>,
}

/// An error in a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The part of the configuration that is wrong, such as `route NAME`.
    pub location: String,
    /// What is wrong.
    pub message: String,
}

impl Finding {
    /// Creates a finding.
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

/// A validated configuration with its indexes.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    draft: Draft,
    /// Indexes of routes by host, longest prefix first.
    by_host: HashMap<String, Vec<usize>>,
    /// Indexes of workspaces by key.
    by_key: HashMap<String, usize>,
    /// Indexes of services by name.
    by_service: BTreeMap<String, usize>,
    /// Priority of the most urgent route of each service.
    most_urgent: HashMap<String, u8>,
}

impl Catalog {
    /// Validates a draft. The error lists all findings.
    pub fn new(draft: Draft) -> Result<Self, Vec<Finding>> {
        let mut findings = Vec::new();
        check_routes(&draft, &mut findings);
        check_keys(&draft, &mut findings);
        if !findings.is_empty() {
            return Err(findings);
        }
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in draft.routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(index);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|index| std::cmp::Reverse(draft.routes[*index].prefix.len()));
        }
        let mut by_key = HashMap::new();
        for (index, workspace) in draft.workspaces.iter().enumerate() {
            let keys = workspace.keys.iter().cloned();
            by_key.extend(keys.map(|key| (key, index)));
        }
        let services = draft.services.iter().enumerate();
        let by_service = services
            .map(|(index, service)| (service.name.clone(), index))
            .collect();
        let mut most_urgent: HashMap<String, u8> = HashMap::new();
        for route in &draft.routes {
            for target in &route.targets {
                let least = most_urgent.entry(target.service.clone());
                let least = least.or_insert(route.priority);
                *least = route.priority.min(*least);
            }
        }
        Ok(Self {
            draft,
            by_host,
            by_key,
            by_service,
            most_urgent,
        })
    }

    /// Version of the configuration document.
    pub fn version(&self) -> u64 {
        self.draft.version
    }

    /// Limits on callers.
    pub fn limits(&self) -> &Limits {
        &self.draft.limits
    }

    /// The route of `host` with the longest prefix that matches `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self
            .by_host
            .get(host)?
            .iter()
            .map(|index| &self.draft.routes[*index]);
        routes
            .into_iter()
            .find(|route| path.starts_with(&route.prefix))
    }

    /// Whether callers need keys.
    pub fn requires_key(&self) -> bool {
        !self.draft.workspaces.is_empty()
    }

    /// The workspace of a caller's key.
    pub fn workspace(&self, key: &str) -> Option<&Workspace> {
        let index = self.by_key.get(key)?;
        Some(&self.draft.workspaces[*index])
    }

    /// The service of that name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let index = self.by_service.get(name)?;
        Some(&self.draft.services[*index])
    }

    /// Priority of the most urgent route to a service, 0 first. Routes without a service count as 0.
    pub fn most_urgent(&self, service: &str) -> u8 {
        self.most_urgent.get(service).copied().unwrap_or_default()
    }

    /// All services.
    pub fn services(&self) -> &[Service] {
        &self.draft.services
    }
}

fn check_routes(draft: &Draft, findings: &mut Vec<Finding>) {
    let services: HashSet<&str> = draft
        .services
        .iter()
        .map(|service| service.name.as_str())
        .collect();
    let mut locations = HashSet::new();
    for route in &draft.routes {
        let mut report = |message: String| {
            findings.push(Finding::new(format!("route {}", route.name), message));
        };
        if route.timeout.is_zero() {
            report("its timeout is 0".to_owned());
        }
        if route.targets.iter().all(|target| target.weight == 0) {
            report("the weights of its services add up to 0".to_owned());
        }
        for target in &route.targets {
            if !services.contains(target.service.as_str()) {
                report(format!("there is no service {}", target.service));
            }
        }
        if !locations.insert((&route.host, &route.prefix)) {
            let (host, prefix) = (&route.host, &route.prefix);
            report(format!("another route has host {host} and prefix {prefix}"));
        }
    }
}

fn check_keys(draft: &Draft, findings: &mut Vec<Finding>) {
    let mut holders: HashMap<&str, &str> = HashMap::new();
    for workspace in &draft.workspaces {
        for key in &workspace.keys {
            let holder = holders.insert(key, &workspace.name);
            if let Some(holder) = holder.filter(|holder| *holder != workspace.name) {
                let location = format!("workspace {}", workspace.name);
                findings.push(Finding::new(
                    location,
                    format!("shares a key with {holder}"),
                ));
            }
        }
    }
}
