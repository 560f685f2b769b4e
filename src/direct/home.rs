//! Home regions: where a request may run, and where its body may be sent.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::catalog;

/// The homes that bind one request: those of its route, and those of its caller's workspace.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Homes {
    /// Availability zones in regions that both allow. `None`: neither names homes.
    zones: Option<BTreeSet<String>>,
}

impl Homes {
    /// Homes of a request to `route` by a caller of `workspace`. `regions`: the region of each zone.
    /// A zone that it lacks is no home.
    pub fn new(
        route: &catalog::Route,
        workspace: Option<&catalog::Workspace>,
        regions: &BTreeMap<String, String>,
    ) -> Self {
        let of_workspace = workspace.map_or(&[][..], |workspace| &workspace.homes);
        if route.homes.is_empty() && of_workspace.is_empty() {
            return Self::default();
        }
        let is_home =
            |homes: &[String], region: &String| homes.is_empty() || homes.contains(region);
        let zones = regions
            .iter()
            .filter(|(_, region)| is_home(&route.homes, region) && is_home(of_workspace, region));
        Self {
            zones: Some(zones.map(|(zone, _)| zone.clone()).collect()),
        }
    }

    /// Whether the request may be sent to a backend server in `zone`.
    pub fn allow(&self, zone: &str) -> bool {
        self.zones.as_ref().is_none_or(|zones| zones.contains(zone))
    }
}
