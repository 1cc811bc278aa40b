//! Checks the rows of a sheet against one another: duplicate values and unresolved names.

use std::collections::{HashMap, HashSet};
use std::fmt::{self, Display};
use std::hash::Hash;

use sesamewind_protocol::{RouteId, ServiceId, VersionId};

use crate::draft::{Draft, RouteRow};
use crate::{Fault, FaultCode};

/// Adds a fault for each duplicate value and each unresolved name.
pub(crate) fn check(draft: &Draft, faults: &mut Vec<Fault>) {
    check_unique(draft, faults);
    check_references(draft, faults);
}

fn check_unique(draft: &Draft, faults: &mut Vec<Fault>) {
    let Draft { tiers, accounts, routes, targets, rollouts, .. } = draft;
    let name = ("name", FaultCode::DuplicateName);
    report_duplicates(tiers.iter().map(|r| (r.row, r.name.as_ref())), name, faults);
    report_duplicates(accounts.iter().map(|r| (r.row, r.name.as_ref())), name, faults);
    report_duplicates(targets.iter().map(|r| (r.row, r.name.as_ref())), name, faults);
    report_duplicates(rollouts.iter().map(|r| (r.row, r.name.as_ref())), name, faults);

    let rank = ("rank", FaultCode::DuplicateRank);
    report_duplicates(tiers.iter().map(|r| (r.row, r.rank)), rank, faults);
    let address = ("address", FaultCode::DuplicateAddress);
    report_duplicates(targets.iter().map(|r| (r.row, r.address)), address, faults);
    let key = ("key_sha256", FaultCode::DuplicateKey);
    report_duplicates(accounts.iter().map(|r| (r.row, r.key_hash.map(HiddenHash))), key, faults);
    let route = ("route", FaultCode::DuplicateRoute);
    let service_route = |r: &RouteRow| Some(ServiceRoute(r.service.clone()?, r.route.clone()?));
    report_duplicates(routes.iter().map(|r| (r.row, service_route(r))), route, faults);
    let service = ("service", FaultCode::SecondRollout);
    report_duplicates(rollouts.iter().map(|r| (r.row, r.service.as_ref())), service, faults);
}

/// A key hash that messages do not show.
#[derive(PartialEq, Eq, Hash)]
struct HiddenHash([u8; 32]);

impl Display for HiddenHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("this value")
    }
}

/// A route of a service.
#[derive(PartialEq, Eq, Hash)]
struct ServiceRoute(ServiceId, RouteId);

impl Display for ServiceRoute {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} of {}", self.1, self.0)
    }
}

/// Adds a fault for each value that also occurs in an earlier row.
fn report_duplicates<T: Eq + Hash + Display>(
    values: impl Iterator<Item = (u64, Option<T>)>,
    (column, code): (&str, FaultCode),
    faults: &mut Vec<Fault>,
) {
    let mut first = HashMap::new();
    for (row, value) in values {
        let Some(value) = value else { continue };
        if let Some(earlier) = first.get(&value) {
            let message = format!("row {earlier} has {value} already");
            faults.push(Fault::new(row, column, code, message));
            continue;
        }
        first.insert(value, row);
    }
}

fn check_references(draft: &Draft, faults: &mut Vec<Fault>) {
    let tiers: HashSet<&str> = draft.tiers.iter().filter_map(|r| r.name.as_deref()).collect();
    let accounts = draft.accounts.iter().map(|r| (r.row, r.tier.as_deref()));
    let routes = draft.routes.iter().map(|r| (r.row, r.tier.as_deref()));
    for (row, tier) in accounts.chain(routes) {
        let Some(tier) = tier.filter(|tier| !tiers.contains(tier)) else { continue };
        let message = format!("no tier is called {tier:?}");
        faults.push(Fault::new(row, "tier", FaultCode::UnknownTier, message));
    }

    let versions = service_versions(draft);
    for target in &draft.targets {
        let Some(known) = find_service(&versions, target.row, target.service.as_ref(), faults)
        else {
            continue;
        };
        // A service without a valid version already has a fault.
        if known.in_use.is_some() {
            check_version(&known.all, target.row, "version", target.version.as_ref(), faults);
        }
    }
    for rollout in &draft.rollouts {
        let Some(known) = find_service(&versions, rollout.row, rollout.service.as_ref(), faults)
        else {
            continue;
        };
        // A completed rollout may remain in the sheet. The service then has the new version in use,
        // so the old version isn't checked.
        let (Some(in_use), Some(to)) = (&known.in_use, &rollout.to) else { continue };
        if in_use != to {
            let in_use = std::slice::from_ref(in_use);
            check_version(in_use, rollout.row, "from", rollout.from.as_ref(), faults);
        }
    }
}

/// The versions of a service that the sheet names: the one in use and those of its rollouts.
#[derive(Debug, Default)]
struct ServiceVersions {
    in_use: Option<VersionId>,
    all: Vec<VersionId>,
}

fn service_versions(draft: &Draft) -> HashMap<&ServiceId, ServiceVersions> {
    let mut versions: HashMap<&ServiceId, ServiceVersions> = HashMap::new();
    for route in &draft.routes {
        let Some(service) = &route.service else { continue };
        let known = versions.entry(service).or_default();
        if known.in_use.is_none() {
            known.in_use.clone_from(&route.version);
            known.all.extend(route.version.clone());
        }
    }
    for rollout in &draft.rollouts {
        let Some(known) = rollout.service.as_ref().and_then(|name| versions.get_mut(name)) else {
            continue;
        };
        known.all.extend(rollout.from.iter().chain(&rollout.to).cloned());
    }
    versions
}

fn find_service<'a>(
    versions: &'a HashMap<&ServiceId, ServiceVersions>,
    row: u64,
    name: Option<&ServiceId>,
    faults: &mut Vec<Fault>,
) -> Option<&'a ServiceVersions> {
    let name = name?;
    let known = versions.get(name);
    if known.is_none() {
        let message = format!("no service is called {:?}", name.as_str());
        faults.push(Fault::new(row, "service", FaultCode::UnknownService, message));
    }
    known
}

fn check_version(
    allowed: &[VersionId],
    row: u64,
    column: &str,
    version: Option<&VersionId>,
    faults: &mut Vec<Fault>,
) {
    let Some(version) = version else { return };
    if allowed.contains(version) {
        return;
    }
    let allowed: Vec<&str> = allowed.iter().map(VersionId::as_str).collect();
    let message = format!("{:?} is not among {allowed:?}", version.as_str());
    faults.push(Fault::new(row, column, FaultCode::UnknownVersion, message));
}
