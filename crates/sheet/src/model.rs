//! The checked sheet and its lookups.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use sesamewind_protocol::{
    AccountId, RolloutId, RouteId, ServiceId, TargetId, VersionId, WallTime, ZoneId,
};

/// A tier of requests, with its priority and its latency goals.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tier {
    /// Name.
    pub name: String,
    /// Rank, unique in a sheet. 0 is the most urgent.
    pub rank: u8,
    /// Longest time to the first token that the tier aims for.
    pub first_token: Duration,
    /// Longest time to the end of the answer that the tier aims for.
    pub total: Duration,
}

/// A client account.
#[derive(Debug, Clone, PartialEq)]
pub struct Account {
    /// Name.
    pub name: AccountId,
    /// SHA-256 of the account's bearer key.
    pub key_hash: [u8; 32],
    /// Rank of the most urgent tier that the account may use.
    pub tier: u8,
    /// Rate limit in requests a second, if any.
    pub requests_per_s: Option<f64>,
    /// Rate limit in tokens a second, if any.
    pub tokens_per_s: Option<f64>,
}

/// The kind of targets that serve a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceClass {
    /// Model engines, which stream tokens.
    Model,
    /// Plain services, to which requests are passed through.
    Plain,
}

impl ServiceClass {
    /// Returns the class as it is written in the sheet.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Model => "model",
            Self::Plain => "plain",
        }
    }
}

/// A service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Name.
    pub name: ServiceId,
    /// Kind of targets that serve it.
    pub class: ServiceClass,
    /// Version in use.
    pub version: VersionId,
    /// Routes, in the order of the sheet.
    pub routes: Vec<Route>,
}

impl Service {
    /// Returns the route that matches the `route` of a request.
    ///
    /// A model service's routes match by name. A plain service's routes have the form
    /// `METHOD /path` and match by method and the longest prefix of whole path segments. A query in
    /// `route` is ignored. A path that a target could normalize to a different path matches no
    /// route.
    pub fn route(&self, route: &str) -> Option<&Route> {
        match self.class {
            ServiceClass::Model => self.routes.iter().find(|entry| entry.name.as_str() == route),
            ServiceClass::Plain => {
                let route = route.split(['?', '#']).next().unwrap_or(route);
                if is_ambiguous(route) {
                    return None;
                }
                let matching = self.routes.iter().filter(|entry| is_prefix_of(entry, route));
                matching.max_by_key(|entry| entry.name.as_str().len())
            }
        }
    }
}

/// Returns whether `route` has the method of `candidate` and a path at or below its path.
fn is_prefix_of(candidate: &Route, route: &str) -> bool {
    let prefix = candidate.name.as_str();
    let Some(rest) = route.strip_prefix(prefix) else { return false };
    rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/')
}

/// Returns whether a target could normalize the path of `route` to a different path.
///
/// Such a path has empty or dot segments, backslashes, or percent-encoded characters that need no
/// encoding. The normalized path could match another route, which may differ in whether a request
/// can be repeated.
pub(crate) fn is_ambiguous(route: &str) -> bool {
    let path = route.split_once(' ').map_or(route, |(_, path)| path);
    let trimmed = path.strip_prefix('/').unwrap_or(path);
    let trimmed = trimmed.strip_suffix('/').unwrap_or(trimmed);
    let is_empty_or_dots = |segment: &str| matches!(segment, "" | "." | "..");
    if path.contains('\\') || (!trimmed.is_empty() && trimmed.split('/').any(is_empty_or_dots)) {
        return true;
    }
    path.split('%').skip(1).any(|rest| {
        let digits = rest.get(..2).and_then(|digits| u8::from_str_radix(digits, 16).ok());
        digits.is_none_or(|byte| byte.is_ascii_alphanumeric() || b"-._~/\\".contains(&byte))
    })
}

/// A route of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name, or `METHOD /path` for a plain service.
    pub name: RouteId,
    /// Rank of the tier of requests that don't specify one.
    pub tier: u8,
    /// Whether a request can safely be repeated.
    pub idempotent: bool,
}

/// A model engine or one replica of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Name.
    pub name: TargetId,
    /// Service that the target belongs to.
    pub service: ServiceId,
    /// Version that the target starts with.
    pub version: VersionId,
    /// Availability zone.
    pub zone: ZoneId,
    /// IP address and port.
    pub address: SocketAddr,
}

/// A planned rollout of a new version of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Rollout {
    /// Name.
    pub name: RolloutId,
    /// Service.
    pub service: ServiceId,
    /// Old version.
    pub from: VersionId,
    /// New version.
    pub to: VersionId,
    /// Time by which the rollout must be complete.
    pub deadline: WallTime,
    /// Maximum share of requests that the new version receives in the first step, above 0 and at
    /// most 1.
    pub share: f64,
}

/// A checked sheet.
///
/// Apart from the empty default, only [`read`](crate::read) returns one.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Sheet {
    /// Tiers, most urgent first.
    pub tiers: Vec<Tier>,
    /// Client accounts, in the order of the sheet.
    pub accounts: Vec<Account>,
    /// Services, in the order of the sheet.
    pub services: Vec<Service>,
    /// Targets, in the order of the sheet.
    pub targets: Vec<Target>,
    /// Rollouts, in the order of the sheet, at most one for each service.
    pub rollouts: Vec<Rollout>,
    index: Index,
}

/// Positions in the lists of the sheet, so that lookups for each request take constant time.
#[derive(Debug, Clone, Default, PartialEq)]
struct Index {
    accounts: HashMap<[u8; 32], usize>,
    services: HashMap<ServiceId, usize>,
}

impl Sheet {
    pub(crate) fn new(
        mut tiers: Vec<Tier>,
        accounts: Vec<Account>,
        services: Vec<Service>,
        targets: Vec<Target>,
        rollouts: Vec<Rollout>,
    ) -> Self {
        tiers.sort_by_key(|tier| tier.rank);
        let index = Index {
            accounts: accounts.iter().enumerate().map(|(i, row)| (row.key_hash, i)).collect(),
            services: services.iter().enumerate().map(|(i, row)| (row.name.clone(), i)).collect(),
        };
        Self { tiers, accounts, services, targets, rollouts, index }
    }

    /// Returns the account whose bearer key has this SHA-256.
    pub fn account_by_key_hash(&self, hash: &[u8; 32]) -> Option<&Account> {
        self.index.accounts.get(hash).map(|&i| &self.accounts[i])
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &ServiceId) -> Option<&Service> {
        self.index.services.get(name).map(|&i| &self.services[i])
    }

    /// Returns the route that matches a request to `service`. See [`Service::route`].
    pub fn route(&self, service: &ServiceId, route: &str) -> Option<&Route> {
        self.service(service)?.route(route)
    }

    /// Returns the tier with this rank.
    pub fn tier(&self, rank: u8) -> Option<&Tier> {
        self.tiers.iter().find(|tier| tier.rank == rank)
    }

    /// Returns the tier with this name.
    pub fn tier_by_name(&self, name: &str) -> Option<&Tier> {
        self.tiers.iter().find(|tier| tier.name == name)
    }

    /// Returns the targets of a service.
    pub fn targets_of<'a>(&'a self, service: &'a ServiceId) -> impl Iterator<Item = &'a Target> {
        self.targets.iter().filter(move |target| target.service == *service)
    }

    /// Returns the rollout of a service.
    pub fn rollout_of(&self, service: &ServiceId) -> Option<&Rollout> {
        self.rollouts.iter().find(|rollout| rollout.service == *service)
    }
}
