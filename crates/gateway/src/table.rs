//! Active configuration: routes by host and path, services and client accounts.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use sesamewind_protocol::{AccountId, RegionId, Revision, RouteId, ServiceId};

/// What may be repeated after a target has started to run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// Nothing; the request runs at most once.
    Never,
    /// The whole request.
    Whole,
    /// The rest of a stream, after the last event that the caller received.
    Resume,
}

/// Branch of a weighted split.
#[derive(Debug, Clone, PartialEq)]
pub struct Branch {
    /// Service that receives the requests of this branch.
    pub service: ServiceId,
    /// Weight relative to the other branches.
    pub weight: f64,
}

/// A route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name.
    pub name: RouteId,
    /// Host that the route belongs to, in lowercase.
    pub host: String,
    /// Prefix of the path, with a slash at both ends.
    pub prefix: String,
    /// What may be repeated after a failed attempt.
    pub repeat: Repeat,
    /// Whether the response is a stream of events.
    pub stream: bool,
    /// Longest time to keep a caller waiting.
    pub timeout: Duration,
    /// Target time for the response, or for the first event of a stream.
    pub objective: Duration,
    /// Longest acceptable pause between two events of a stream.
    pub pause: Duration,
    /// Urgency; zero is the most urgent.
    pub rank: u8,
    /// Services that take the route's requests; at least one.
    pub split: Vec<Branch>,
    /// Maximum number of targets that may run one request.
    pub attempts: u32,
    /// Whether requests are accepted without a key.
    pub public: bool,
    /// Regions that may have its requests; empty if any may.
    pub homes: Vec<RegionId>,
}

impl Route {
    /// Returns the service for a request at `point`, a split position in `[0, 1)`.
    ///
    /// # Panics
    ///
    /// Panics if the split is empty.
    pub fn service_at(&self, point: f64) -> &ServiceId {
        let total: f64 = self.split.iter().map(|branch| branch.weight).sum();
        let mut left = point * total;
        for branch in &self.split {
            if left < branch.weight {
                return &branch.service;
            }
            left -= branch.weight;
        }
        &self.split.last().expect("a route has a service").service
    }
}

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name.
    pub name: ServiceId,
    /// Maximum number of connections that one target accepts from all instances together.
    pub connections: u32,
    /// Whether its targets are model engines.
    pub model: bool,
    /// What its targets take while they are cold; none if that is not bounded.
    pub cold: Option<ColdStart>,
}

/// What a target takes after its start.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ColdStart {
    /// Time for which a target is cold after a start while requests are sent.
    pub duration: Duration,
    /// Requests a second that a cold target takes from all instances together.
    pub rate: f64,
}

/// Unit in which the usage of a client account is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unit {
    /// Requests.
    Requests,
    /// Tokens of prompt and output together.
    Tokens {
        /// Tokens charged for a request without a token count.
        default: u32,
    },
}

impl Unit {
    /// Returns whether usage in both units adds up.
    pub(crate) fn is_same(self, other: Self) -> bool {
        std::mem::discriminant(&self) == std::mem::discriminant(&other)
    }
}

/// A client account.
#[derive(Debug, Clone, PartialEq)]
pub struct Account {
    /// Name.
    pub name: AccountId,
    /// Keys that identify the account.
    pub keys: Vec<String>,
    /// Urgency of its requests relative to other accounts; zero is the most urgent.
    pub rank: Option<u8>,
    /// Unit in which usage is counted.
    pub unit: Unit,
    /// Units per second over all instances; zero for no limit.
    pub rate: f64,
    /// Units that may be used at once after a period without usage.
    pub burst: f64,
    /// Regions that may have its requests; empty if any may.
    pub homes: Vec<RegionId>,
}

/// Limits on what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time to receive a request head.
    pub head_time: Duration,
    /// Longest time that a connection may stay idle.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16_384,
            body_bytes: 4 << 20,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// An accepted configuration as it was read.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Routing {
    /// Revision.
    pub revision: Revision,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Client accounts; if empty, requests need no key.
    pub accounts: Vec<Account>,
    /// Limits on what a caller may send.
    pub limits: CallerLimits,
}

/// Reason why a request has no route or account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// No route matches the host and path.
    NoRoute,
    /// The key is missing or belongs to no account.
    UnknownKey,
}

impl Rejection {
    /// Returns the reason as written in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
        }
    }
}

/// Route and account of a request.
#[derive(Debug, Clone)]
pub struct Resolved {
    /// The route.
    pub route: Arc<Route>,
    /// The account, unless the route is public or there are no accounts.
    pub account: Option<Arc<Account>>,
}

/// A configuration with indexes for the lookups of each request.
#[derive(Debug, Default)]
pub struct RouteTable {
    /// Revision.
    pub revision: Revision,
    /// Services.
    pub services: Vec<Service>,
    /// Limits on what a caller may send.
    pub limits: CallerLimits,
    accounts: Vec<Arc<Account>>,
    hosts: HashMap<String, Vec<Arc<Route>>>,
    keys: HashMap<String, Arc<Account>>,
}

impl RouteTable {
    /// Builds the indexes of `routing`. Routes without a service are dropped.
    pub fn new(routing: Routing) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routing.routes {
            if !route.split.is_empty() {
                hosts.entry(route.host.to_ascii_lowercase()).or_default().push(Arc::new(route));
            }
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let accounts: Vec<Arc<Account>> = routing.accounts.into_iter().map(Arc::new).collect();
        let keys = accounts
            .iter()
            .flat_map(|account| account.keys.iter().map(|key| (key.clone(), Arc::clone(account))))
            .collect();
        Self {
            revision: routing.revision,
            services: routing.services,
            limits: routing.limits,
            accounts,
            hosts,
            keys,
        }
    }

    /// Returns the client accounts.
    pub fn accounts(&self) -> &[Arc<Account>] {
        &self.accounts
    }

    /// Returns the client account with this name.
    pub fn account(&self, name: &AccountId) -> Option<&Arc<Account>> {
        self.accounts.iter().find(|account| account.name == *name)
    }

    /// Returns the rank of the most urgent route to `service`.
    pub fn top_rank(&self, service: &ServiceId) -> u8 {
        let routes = self.hosts.values().flatten();
        let routes =
            routes.filter(|route| route.split.iter().any(|branch| branch.service == *service));
        routes.map(|route| route.rank).min().unwrap_or(0)
    }

    /// Returns the route on `host` with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the route and account of a request.
    ///
    /// # Errors
    ///
    /// Returns a [`Rejection`] if no route matches or the key is unknown.
    pub fn resolve(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<Resolved, Rejection> {
        let route = Arc::clone(self.route(host, path).ok_or(Rejection::NoRoute)?);
        let account = key.and_then(|key| self.keys.get(key)).map(Arc::clone);
        if account.is_none() && !route.public && !self.accounts.is_empty() {
            return Err(Rejection::UnknownKey);
        }
        Ok(Resolved { route, account })
    }
}
