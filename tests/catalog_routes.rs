//! Validation and lookup of the configuration of an entry without sidecars.

use std::time::Duration;

use assert_matches::assert_matches;
use wigeonbarrow::direct::catalog;
use wigeonbarrow::direct::catalog::Catalog;

fn route(name: &str, prefix: &str, targets: &[(&str, u32)]) -> catalog::Route {
    catalog::Route {
        name: name.to_owned(),
        host: "a.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: catalog::Kind::Safe,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(300),
        max_pause: None,
        priority: 1,
        targets: targets
            .iter()
            .map(|(service, weight)| catalog::Target {
                service: (*service).to_owned(),
                weight: *weight,
            })
            .collect(),
        max_servers: 2,
        public: false,
        resumable: false,
        homes: Vec::new(),
    }
}

fn draft(routes: Vec<catalog::Route>) -> catalog::Draft {
    let service = |name: &str| catalog::Service {
        name: name.to_owned(),
        max_connections: 10,
        engine: None,
        cold_rate: None,
    };
    catalog::Draft {
        version: 7,
        routes,
        services: vec![service("one"), service("two")],
        ..catalog::Draft::default()
    }
}

fn workspace(name: &str, keys: &[&str]) -> catalog::Workspace {
    catalog::Workspace {
        name: name.to_owned(),
        keys: keys.iter().map(|key| (*key).to_owned()).collect(),
        priority: None,
        homes: Vec::new(),
    }
}

#[test]
fn longest_prefix_wins() {
    let routes = vec![
        route("short", "/a/", &[("one", 1)]),
        route("long", "/a/b/", &[("two", 1)]),
    ];
    let catalog = Catalog::new(draft(routes)).expect("a sound draft");
    let name = |path: &str| {
        catalog
            .route("a.example", path)
            .map(|route| route.name.clone())
    };
    assert_eq!(name("/a/b/c").as_deref(), Some("long"));
    assert_eq!(name("/a/c").as_deref(), Some("short"));
    assert_eq!(name("/b/"), None);
    assert!(catalog.route("b.example", "/a/").is_none());
}

#[test]
fn targets_chosen_by_weight() {
    let split = route("split", "/", &[("one", 90), ("two", 10)]);
    let at = |draw: f64| split.target(draw).map(|target| target.service.clone());
    assert_eq!(at(0.0).as_deref(), Some("one"));
    assert_eq!(at(0.899).as_deref(), Some("one"));
    assert_eq!(at(0.9).as_deref(), Some("two"));
    assert_eq!(at(0.999).as_deref(), Some("two"));
    let off = route("off", "/", &[("one", 0), ("two", 5)]);
    assert_eq!(
        off.target(0.0).map(|target| target.service.as_str()),
        Some("two")
    );
}

#[test]
fn invalid_drafts_rejected() {
    let mut no_timeout = route("idle", "/", &[("one", 1)]);
    no_timeout.timeout = Duration::ZERO;
    let cases = [
        vec![route("unknown", "/", &[("three", 1)])],
        vec![
            route("first", "/", &[("one", 1)]),
            route("second", "/", &[("two", 1)]),
        ],
        vec![route("weightless", "/", &[("one", 0), ("two", 0)])],
        vec![route("nowhere", "/", &[])],
        vec![no_timeout],
    ];
    for routes in cases {
        let name = routes
            .last()
            .map(|route| route.name.clone())
            .unwrap_or_default();
        let findings = Catalog::new(draft(routes)).expect_err(&name);
        assert!(findings[0].location.contains(&name), "{findings:?}");
    }
}

#[test]
fn key_of_two_workspaces_rejected() {
    let mut shared = draft(Vec::new());
    shared.workspaces = vec![workspace("one", &["k", "l"]), workspace("two", &["k"])];
    assert_matches!(Catalog::new(shared), Err(findings) if findings.len() == 1);
}

#[test]
fn workspace_found_by_any_key() {
    let mut keyed = draft(Vec::new());
    keyed.workspaces = vec![workspace("one", &["k", "l"]), workspace("two", &["m"])];
    let catalog = Catalog::new(keyed).expect("a sound draft");
    let name = |key: &str| {
        catalog
            .workspace(key)
            .map(|workspace| workspace.name.clone())
    };
    assert_eq!(name("l").as_deref(), Some("one"));
    assert_eq!(name("m").as_deref(), Some("two"));
    assert_eq!(name("n"), None);
}
