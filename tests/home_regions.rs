//! Home regions of routes and workspaces. Guards against requests and bodies outside of them.

use std::collections::BTreeMap;
use std::time::Duration;

use wigeonbarrow::direct::catalog::Kind;
use wigeonbarrow::direct::catalog::Workspace;
use wigeonbarrow::direct::home::Homes;

#[path = "common/engines.rs"]
mod engines;

fn regions() -> BTreeMap<String, String> {
    let zones = [
        ("n1", "north"),
        ("n2", "north"),
        ("s1", "south"),
        ("e1", "east"),
    ];
    let zones = zones.map(|(zone, region)| (zone.to_owned(), region.to_owned()));
    zones.into_iter().collect()
}

fn names(homes: &[&str]) -> Vec<String> {
    homes.iter().map(|home| (*home).to_owned()).collect()
}

/// Zones to which a request may go whose route and workspace have these homes.
fn allowed(of_route: &[&str], of_workspace: Option<&[&str]>) -> Vec<&'static str> {
    let mut route = engines::route(Kind::Safe, Duration::from_secs(1), None);
    route.homes = names(of_route);
    let workspace = of_workspace.map(|homes| Workspace {
        name: "w".to_owned(),
        keys: Vec::new(),
        priority: None,
        homes: names(homes),
    });
    let homes = Homes::new(&route, workspace.as_ref(), &regions());
    let mut zones = vec!["n1", "n2", "s1", "e1", "unknown"];
    zones.retain(|zone| homes.allow(zone));
    zones
}

#[test]
fn no_homes_bind_nothing() {
    let all = ["n1", "n2", "s1", "e1", "unknown"];
    assert_eq!(allowed(&[], None), all);
    assert_eq!(allowed(&[], Some(&[])), all);
}

#[test]
fn either_binds() {
    assert_eq!(allowed(&["north"], None), ["n1", "n2"]);
    assert_eq!(allowed(&["north"], Some(&[])), ["n1", "n2"]);
    assert_eq!(allowed(&[], Some(&["south", "east"])), ["s1", "e1"]);
}

#[test]
fn both_bind_together() {
    assert_eq!(
        allowed(&["north", "south"], Some(&["south", "east"])),
        ["s1"]
    );
    assert!(allowed(&["north"], Some(&["south"])).is_empty());
}

/// A body must not go to a machine whose region is not known.
#[test]
fn unknown_region_is_no_home() {
    assert!(allowed(&["west"], None).is_empty());
    assert!(!allowed(&["north"], None).contains(&"unknown"));
}
