//! The checked sheet and lookups in it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use sesamewind_protocol::{
    AccountId, RolloutId, RouteId, ServiceId, TargetId, VersionId, WallTime, ZoneId,
};

/// A class of urgency.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tier {
    /// Name.
    pub name: String,
    /// Rank; 0 is the most urgent. No two tiers of a sheet share one.
    pub rank: u8,
    /// Time to the first token that the tier asks for.
    pub first_token: Duration,
    /// Time to the end of the answer that the tier asks for.
    pub total: Duration,
}

/// A client account.
#[derive(Debug, Clone, PartialEq)]
pub struct Account {
    /// Name.
    pub name: AccountId,
    /// SHA-256 of the bearer key.
    pub key_hash: [u8; 32],
    /// Rank of the most urgent tier that the account may use.
    pub tier: u8,
    /// Limit in requests a second, if there is one.
    pub requests_per_s: Option<f64>,
    /// Limit in tokens a second, if there is one.
    pub tokens_per_s: Option<f64>,
}

/// What serves a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceClass {
    /// Model engines, which stream tokens.
    Model,
    /// Plain services, to which calls are passed through.
    Plain,
}

impl ServiceClass {
    /// The class as it stands in the sheet.
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
    /// What serves it.
    pub class: ServiceClass,
    /// The version in use.
    pub version: VersionId,
    /// Its routes, in the order of the sheet.
    pub routes: Vec<Route>,
}

impl Service {
    /// The route of a request.
    ///
    /// A model service's routes match by name. A plain service's routes have the form
    /// `METHOD /path` and match by method and the longest path prefix that ends at a path segment;
    /// a query in `route` is ignored. A path that a target could read as another one matches none.
    pub fn route(&self, route: &str) -> Option<&Route> {
        match self.class {
            ServiceClass::Model => self.routes.iter().find(|known| known.name.as_str() == route),
            ServiceClass::Plain => {
                let route = route.split(['?', '#']).next().unwrap_or(route);
                if is_ambiguous(route) {
                    return None;
                }
                let covering = self.routes.iter().filter(|known| covers(known, route));
                covering.max_by_key(|known| known.name.as_str().len())
            }
        }
    }
}

/// Whether `route` is at or below the path of `known`, with the same method.
fn covers(known: &Route, route: &str) -> bool {
    let prefix = known.name.as_str();
    let Some(rest) = route.strip_prefix(prefix) else { return false };
    rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/')
}

/// Whether a target could normalize the path of `route` to another one, which another route with
/// another answer to "may it be repeated" would cover: empty and dot segments, backslashes, and
/// escapes of characters that need none.
pub(crate) fn is_ambiguous(route: &str) -> bool {
    let path = route.split_once(' ').map_or(route, |(_, path)| path);
    let inner = path.strip_prefix('/').unwrap_or(path);
    let inner = inner.strip_suffix('/').unwrap_or(inner);
    let odd_segment = |segment: &str| matches!(segment, "" | "." | "..");
    if path.contains('\\') || (!inner.is_empty() && inner.split('/').any(odd_segment)) {
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
    /// Name; for a plain service `METHOD /path`.
    pub name: RouteId,
    /// Rank of the tier of requests that ask for none.
    pub tier: u8,
    /// Whether a request may be repeated without harm.
    pub idempotent: bool,
}

/// A model engine or one replica of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Name.
    pub name: TargetId,
    /// The service that it serves.
    pub service: ServiceId,
    /// The version that it starts with.
    pub version: VersionId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Address.
    pub address: SocketAddr,
}

/// A planned move from one version of a service to another.
#[derive(Debug, Clone, PartialEq)]
pub struct Rollout {
    /// Name.
    pub name: RolloutId,
    /// The service.
    pub service: ServiceId,
    /// The old version.
    pub from: VersionId,
    /// The new version.
    pub to: VersionId,
    /// When the move has to be complete.
    pub deadline: WallTime,
    /// Largest first share of the new version, above 0 and at most 1.
    pub share: f64,
}

/// A checked sheet. It can only be had from [`read`](crate::read), or empty by default.
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
    /// Rollouts, in the order of the sheet; one for a service at most.
    pub rollouts: Vec<Rollout>,
    index: Index,
}

/// Positions in the sheet's lists, for lookups on the request path.
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

    /// The account whose bearer key has this SHA-256.
    pub fn account_by_key_hash(&self, hash: &[u8; 32]) -> Option<&Account> {
        self.index.accounts.get(hash).map(|&i| &self.accounts[i])
    }

    /// The service with this name.
    pub fn service(&self, name: &ServiceId) -> Option<&Service> {
        self.index.services.get(name).map(|&i| &self.services[i])
    }

    /// The route of a request to `service`; see [`Service::route`].
    pub fn route(&self, service: &ServiceId, route: &str) -> Option<&Route> {
        self.service(service)?.route(route)
    }

    /// The tier with this rank.
    pub fn tier(&self, rank: u8) -> Option<&Tier> {
        self.tiers.iter().find(|tier| tier.rank == rank)
    }

    /// The tier with this name.
    pub fn tier_by_name(&self, name: &str) -> Option<&Tier> {
        self.tiers.iter().find(|tier| tier.name == name)
    }

    /// The targets of a service.
    pub fn targets_of<'a>(&'a self, service: &'a ServiceId) -> impl Iterator<Item = &'a Target> {
        self.targets.iter().filter(move |target| target.service == *service)
    }

    /// The rollout of a service.
    pub fn rollout_of(&self, service: &ServiceId) -> Option<&Rollout> {
        self.rollouts.iter().find(|rollout| rollout.service == *service)
    }
}
