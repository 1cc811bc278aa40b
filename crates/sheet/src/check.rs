//! Checks rows against one another: names that stand twice and names that nothing has.

use std::collections::{HashMap, HashSet};
use std::fmt::{self, Display};
use std::hash::Hash;

use sesamewind_protocol::{RouteId, ServiceId, VersionId};

use crate::draft::{Draft, RouteRow};
use crate::{Fault, FaultCode};

/// Checks the rows against one another.
pub(crate) fn check(draft: &Draft, faults: &mut Vec<Fault>) {
    check_unique(draft, faults);
    check_references(draft, faults);
}

fn check_unique(draft: &Draft, faults: &mut Vec<Fault>) {
    let Draft { tiers, accounts, routes, targets, rollouts, .. } = draft;
    let name = ("name", FaultCode::DuplicateName);
    unique(tiers.iter().map(|r| (r.row, r.name.as_ref())), name, faults);
    unique(accounts.iter().map(|r| (r.row, r.name.as_ref())), name, faults);
    unique(targets.iter().map(|r| (r.row, r.name.as_ref())), name, faults);
    unique(rollouts.iter().map(|r| (r.row, r.name.as_ref())), name, faults);

    let rank = ("rank", FaultCode::DuplicateRank);
    unique(tiers.iter().map(|r| (r.row, r.rank)), rank, faults);
    let address = ("address", FaultCode::DuplicateAddress);
    unique(targets.iter().map(|r| (r.row, r.address)), address, faults);
    let key = ("key_sha256", FaultCode::DuplicateKey);
    unique(accounts.iter().map(|r| (r.row, r.key_hash.map(Hidden))), key, faults);
    let route = ("route", FaultCode::DuplicateRoute);
    let pair = |r: &RouteRow| Some(Pair(r.service.clone()?, r.route.clone()?));
    unique(routes.iter().map(|r| (r.row, pair(r))), route, faults);
    let service = ("service", FaultCode::SecondRollout);
    unique(rollouts.iter().map(|r| (r.row, r.service.as_ref())), service, faults);
}

/// A value that messages do not show.
#[derive(PartialEq, Eq, Hash)]
struct Hidden([u8; 32]);

impl Display for Hidden {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("this value")
    }
}

/// A service and one of its routes.
#[derive(PartialEq, Eq, Hash)]
struct Pair(ServiceId, RouteId);

impl Display for Pair {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} of {}", self.1, self.0)
    }
}

/// Adds a fault for each value that an earlier row has as well.
fn unique<T: Eq + Hash + Display>(
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

    let versions = versions(draft);
    for target in &draft.targets {
        let Some(known) = service(&versions, target.row, target.service.as_ref(), faults) else {
            continue;
        };
        // A service without a readable version has its fault already.
        if known.in_use.is_some() {
            version(&known.all, target.row, "version", target.version.as_ref(), faults);
        }
    }
    for rollout in &draft.rollouts {
        let Some(known) = service(&versions, rollout.row, rollout.service.as_ref(), faults) else {
            continue;
        };
        // A rollout that is over may stay in the sheet, where the service names the new version.
        let (Some(in_use), Some(to)) = (&known.in_use, &rollout.to) else { continue };
        if in_use != to {
            let in_use = std::slice::from_ref(in_use);
            version(in_use, rollout.row, "from", rollout.from.as_ref(), faults);
        }
    }
}

/// The versions of a service.
#[derive(Debug, Default)]
struct Versions {
    in_use: Option<VersionId>,
    all: Vec<VersionId>,
}

fn versions(draft: &Draft) -> HashMap<&ServiceId, Versions> {
    let mut versions: HashMap<&ServiceId, Versions> = HashMap::new();
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

fn service<'a>(
    versions: &'a HashMap<&ServiceId, Versions>,
    row: u64,
    name: Option<&ServiceId>,
    faults: &mut Vec<Fault>,
) -> Option<&'a Versions> {
    let name = name?;
    let known = versions.get(name);
    if known.is_none() {
        let message = format!("no service is called {:?}", name.as_str());
        faults.push(Fault::new(row, "service", FaultCode::UnknownService, message));
    }
    known
}

fn version(
    known: &[VersionId],
    row: u64,
    column: &str,
    version: Option<&VersionId>,
    faults: &mut Vec<Fault>,
) {
    let Some(version) = version else { return };
    if known.contains(version) {
        return;
    }
    let known: Vec<&str> = known.iter().map(VersionId::as_str).collect();
    let message = format!("{:?} is not among {known:?}", version.as_str());
    faults.push(Fault::new(row, column, FaultCode::UnknownVersion, message));
}
