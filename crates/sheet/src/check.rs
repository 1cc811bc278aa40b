//! Reads rows by kind and checks them against one another.

use std::collections::HashMap;
use std::fmt::Display;
use std::hash::Hash;
use std::time::Duration;

use sesamewind_protocol::{AccountId, RolloutId, RouteId, ServiceId, TargetId, VersionId, ZoneId};

use crate::row::{Row, shown};
use crate::{
    Account, Fault, FaultCode, Rollout, Route, Service, ServiceClass, Sheet, Target, Tier,
};

/// Rows as read, with names not resolved yet. Wrong cells are `None` and have their fault already.
#[derive(Debug, Default)]
pub(crate) struct Draft {
    tiers: Vec<TierRow>,
    accounts: Vec<AccountRow>,
    routes: Vec<RouteRow>,
    targets: Vec<TargetRow>,
    rollouts: Vec<RolloutRow>,
}

#[derive(Debug)]
struct TierRow {
    row: u64,
    name: Option<String>,
    rank: Option<u8>,
    first_token: Option<u64>,
    total: Option<u64>,
}

#[derive(Debug)]
struct AccountRow {
    row: u64,
    name: Option<AccountId>,
    key_hash: Option<[u8; 32]>,
    tier: Option<String>,
    requests_per_s: Option<f64>,
    tokens_per_s: Option<f64>,
}

#[derive(Debug)]
struct RouteRow {
    row: u64,
    service: Option<ServiceId>,
    class: Option<ServiceClass>,
    version: Option<VersionId>,
    route: Option<RouteId>,
    tier: Option<String>,
    idempotent: Option<bool>,
}

#[derive(Debug)]
struct TargetRow {
    row: u64,
    name: Option<TargetId>,
    service: Option<ServiceId>,
    version: Option<VersionId>,
    zone: Option<ZoneId>,
    address: Option<std::net::SocketAddr>,
}

#[derive(Debug)]
struct RolloutRow {
    row: u64,
    name: Option<RolloutId>,
    service: Option<ServiceId>,
    from: Option<VersionId>,
    to: Option<VersionId>,
    deadline: Option<sesamewind_protocol::Wall>,
    share: Option<f64>,
}

impl Draft {
    /// Reads a row by its kind.
    pub(crate) fn read_row(&mut self, mut row: Row<'_>) {
        let Some(kind) = row.required("kind") else { return };
        match kind {
            "tier" => self.tiers.push(tier_row(&mut row)),
            "account" => self.accounts.push(account_row(&mut row)),
            "service" => {
                let route = self.route_row(&mut row);
                self.routes.push(route);
            }
            "target" => self.targets.push(target_row(&mut row)),
            "rollout" => self.rollouts.push(rollout_row(&mut row)),
            other => {
                let message = format!(
                    "expected tier, account, service, target or rollout, got {}",
                    shown(other)
                );
                row.fault("kind", FaultCode::UnknownKind, message);
                return;
            }
        }
        row.finish(kind);
    }

    /// The first row of a service fixes class and version; later rows may leave them empty.
    fn route_row(&self, row: &mut Row<'_>) -> RouteRow {
        let service = row.name("name").map(ServiceId::new);
        let first = service
            .as_ref()
            .and_then(|service| self.routes.iter().find(|r| r.service.as_ref() == Some(service)));
        let class = match first {
            None => row.required("class"),
            Some(_) => row.optional("class"),
        }
        .and_then(|text| class(row, text));
        let version = match first {
            None => row.name("version"),
            Some(_) => row.optional_name("version").flatten(),
        }
        .map(VersionId::new);
        if let (Some(first), Some(class)) = (first.and_then(|first| first.class), class)
            && first != class
        {
            let message = format!("the service's first row says {:?}", first.as_str());
            row.fault("class", FaultCode::ServiceMismatch, message);
        }
        if let (Some(first), Some(version)) =
            (first.and_then(|first| first.version.as_ref()), &version)
            && first != version
        {
            let message = format!("the service's first row says {:?}", first.as_str());
            row.fault("version", FaultCode::ServiceMismatch, message);
        }
        let class = first.map_or(class, |first| first.class);
        let route = row.route("route").filter(|route| route_fits(row, class, route));
        RouteRow {
            row: row.number(),
            service,
            class,
            version,
            route: route.map(RouteId::new),
            tier: row.name("tier").map(str::to_owned),
            idempotent: row.flag("idempotent"),
        }
    }
}

fn class(row: &mut Row<'_>, text: &str) -> Option<ServiceClass> {
    match text {
        "model" => Some(ServiceClass::Model),
        "plain" => Some(ServiceClass::Plain),
        other => {
            let message = format!("expected model or plain, got {}", shown(other));
            row.fault("class", FaultCode::BadClass, message);
            None
        }
    }
}

/// Whether `route` is a name for a model service, or `METHOD /path` for a plain one.
fn route_fits(row: &mut Row<'_>, class: Option<ServiceClass>, route: &str) -> bool {
    let message = match class {
        Some(ServiceClass::Model) if route.contains([' ', '/']) => {
            "a model service's route is a word such as \"chat\""
        }
        Some(ServiceClass::Plain) if !is_method_path(route) => {
            "a plain service's route has the form \"POST /path\""
        }
        _ => return true,
    };
    row.fault("route", FaultCode::BadRoute, format!("{message}, got {}", shown(route)));
    false
}

fn is_method_path(route: &str) -> bool {
    let Some((method, path)) = route.split_once(' ') else { return false };
    let method_fits = !method.is_empty() && method.bytes().all(|byte| byte.is_ascii_uppercase());
    method_fits && path.starts_with('/') && !path.contains([' ', '?', '#'])
}

fn tier_row(row: &mut Row<'_>) -> TierRow {
    let tier = TierRow {
        row: row.number(),
        name: row.name("name").map(str::to_owned),
        rank: row.rank("rank"),
        first_token: row.millis("first_token_ms"),
        total: row.millis("total_ms"),
    };
    if let (Some(first_token), Some(total)) = (tier.first_token, tier.total)
        && first_token > total
    {
        let message = format!("{first_token} ms exceed total_ms, which is {total}");
        row.fault("first_token_ms", FaultCode::TimeOrder, message);
    }
    tier
}

fn account_row(row: &mut Row<'_>) -> AccountRow {
    AccountRow {
        row: row.number(),
        name: row.name("name").map(AccountId::new),
        key_hash: row.key_hash("key_sha256"),
        tier: row.name("tier").map(str::to_owned),
        requests_per_s: row.optional_rate("requests_per_s").flatten(),
        tokens_per_s: row.optional_rate("tokens_per_s").flatten(),
    }
}

fn target_row(row: &mut Row<'_>) -> TargetRow {
    TargetRow {
        row: row.number(),
        name: row.name("name").map(TargetId::new),
        service: row.name("service").map(ServiceId::new),
        version: row.name("version").map(VersionId::new),
        zone: row.name("zone").map(ZoneId::new),
        address: row.address("address"),
    }
}

fn rollout_row(row: &mut Row<'_>) -> RolloutRow {
    let rollout = RolloutRow {
        row: row.number(),
        name: row.name("name").map(RolloutId::new),
        service: row.name("service").map(ServiceId::new),
        from: row.name("from").map(VersionId::new),
        to: row.name("to").map(VersionId::new),
        deadline: row.deadline("deadline"),
        share: row.share("share"),
    };
    if rollout.from.is_some() && rollout.from == rollout.to {
        row.fault("to", FaultCode::SameVersion, "must differ from column from".to_owned());
    }
    rollout
}

/// Checks the rows against one another and builds the sheet from those without faults.
pub(crate) fn check(draft: Draft, faults: &mut Vec<Fault>) -> Sheet {
    check_unique(&draft, faults);
    check_references(&draft, faults);
    build(draft)
}

fn check_unique(draft: &Draft, faults: &mut Vec<Fault>) {
    let Draft { tiers, accounts, routes, targets, rollouts } = draft;
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
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("this value")
    }
}

/// A service and one of its routes.
#[derive(PartialEq, Eq, Hash)]
struct Pair(ServiceId, RouteId);

impl Display for Pair {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
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
    let tiers: Vec<&str> = draft.tiers.iter().filter_map(|r| r.name.as_deref()).collect();
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
        version(&known.all, target.row, "version", target.version.as_ref(), faults);
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
    if known.is_empty() || known.contains(version) {
        return;
    }
    let known: Vec<&str> = known.iter().map(VersionId::as_str).collect();
    let message = format!("{:?} is not among {known:?}", version.as_str());
    faults.push(Fault::new(row, column, FaultCode::UnknownVersion, message));
}

fn build(draft: Draft) -> Sheet {
    let tiers: Vec<Tier> = draft.tiers.into_iter().filter_map(tier).collect();
    let ranks: HashMap<&str, u8> = tiers.iter().map(|t| (t.name.as_str(), t.rank)).collect();
    let accounts = draft.accounts.into_iter().filter_map(|row| account(row, &ranks)).collect();
    let services = services(draft.routes, &ranks);
    let targets = draft.targets.into_iter().filter_map(target).collect();
    let rollouts = draft.rollouts.into_iter().filter_map(rollout).collect();
    Sheet::new(tiers, accounts, services, targets, rollouts)
}

fn tier(row: TierRow) -> Option<Tier> {
    Some(Tier {
        name: row.name?,
        rank: row.rank?,
        first_token: Duration::from_millis(row.first_token?),
        total: Duration::from_millis(row.total?),
    })
}

fn account(row: AccountRow, ranks: &HashMap<&str, u8>) -> Option<Account> {
    Some(Account {
        name: row.name?,
        key_hash: row.key_hash?,
        tier: *ranks.get(row.tier?.as_str())?,
        requests_per_s: row.requests_per_s,
        tokens_per_s: row.tokens_per_s,
    })
}

fn services(rows: Vec<RouteRow>, ranks: &HashMap<&str, u8>) -> Vec<Service> {
    let mut services: Vec<Service> = Vec::new();
    let mut places: HashMap<ServiceId, usize> = HashMap::new();
    for row in rows {
        let Some(name) = row.service else { continue };
        let place = match (places.get(&name), row.class, row.version) {
            (Some(place), ..) => *place,
            (None, Some(class), Some(version)) => {
                places.insert(name.clone(), services.len());
                services.push(Service { name, class, version, routes: Vec::new() });
                services.len() - 1
            }
            _ => continue,
        };
        let tier = row.tier.and_then(|tier| ranks.get(tier.as_str()).copied());
        if let (Some(name), Some(tier), Some(idempotent)) = (row.route, tier, row.idempotent) {
            services[place].routes.push(Route { name, tier, idempotent });
        }
    }
    services
}

fn target(row: TargetRow) -> Option<Target> {
    Some(Target {
        name: row.name?,
        service: row.service?,
        version: row.version?,
        zone: row.zone?,
        address: row.address?,
    })
}

fn rollout(row: RolloutRow) -> Option<Rollout> {
    Some(Rollout {
        name: row.name?,
        service: row.service?,
        from: row.from?,
        to: row.to?,
        deadline: row.deadline?,
        share: row.share?,
    })
}
