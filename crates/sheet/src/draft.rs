//! Reads each row according to its kind. The rows are checked against one another afterwards, by
//! `check`.

use std::collections::HashMap;
use std::net::SocketAddr;

use sesamewind_protocol::{
    AccountId, RolloutId, RouteId, ServiceId, TargetId, VersionId, WallTime, ZoneId,
};

use crate::model::is_ambiguous;
use crate::row::{Row, excerpt};
use crate::{FaultCode, ServiceClass};

/// The rows of a sheet by kind, with unresolved names.
///
/// A value is `None` if its cell is empty or invalid. A fault has been added where that isn't
/// allowed.
#[derive(Debug, Default)]
pub(crate) struct Draft {
    pub(crate) tiers: Vec<TierRow>,
    pub(crate) accounts: Vec<AccountRow>,
    pub(crate) routes: Vec<RouteRow>,
    pub(crate) targets: Vec<TargetRow>,
    pub(crate) rollouts: Vec<RolloutRow>,
    /// Position in `routes` of the first row of each service.
    first_rows: HashMap<ServiceId, usize>,
}

/// A row of kind `tier`.
#[derive(Debug)]
pub(crate) struct TierRow {
    pub(crate) row: u64,
    pub(crate) name: Option<String>,
    pub(crate) rank: Option<u8>,
    pub(crate) first_token: Option<u64>,
    pub(crate) total: Option<u64>,
}

/// A row of kind `account`.
#[derive(Debug)]
pub(crate) struct AccountRow {
    pub(crate) row: u64,
    pub(crate) name: Option<AccountId>,
    pub(crate) key_hash: Option<[u8; 32]>,
    pub(crate) tier: Option<String>,
    pub(crate) requests_per_s: Option<f64>,
    pub(crate) tokens_per_s: Option<f64>,
}

/// A row of kind `service`, which names one route.
#[derive(Debug)]
pub(crate) struct RouteRow {
    pub(crate) row: u64,
    pub(crate) service: Option<ServiceId>,
    pub(crate) class: Option<ServiceClass>,
    pub(crate) version: Option<VersionId>,
    pub(crate) route: Option<RouteId>,
    pub(crate) tier: Option<String>,
    pub(crate) idempotent: Option<bool>,
}

/// A row of kind `target`.
#[derive(Debug)]
pub(crate) struct TargetRow {
    pub(crate) row: u64,
    pub(crate) name: Option<TargetId>,
    pub(crate) service: Option<ServiceId>,
    pub(crate) version: Option<VersionId>,
    pub(crate) zone: Option<ZoneId>,
    pub(crate) address: Option<SocketAddr>,
}

/// A row of kind `rollout`.
#[derive(Debug)]
pub(crate) struct RolloutRow {
    pub(crate) row: u64,
    pub(crate) name: Option<RolloutId>,
    pub(crate) service: Option<ServiceId>,
    pub(crate) from: Option<VersionId>,
    pub(crate) to: Option<VersionId>,
    pub(crate) deadline: Option<WallTime>,
    pub(crate) share: Option<f64>,
}

impl Draft {
    /// Reads a row according to its kind.
    pub(crate) fn read_row(&mut self, mut row: Row<'_>) {
        let Some(kind) = row.required("kind") else { return };
        match kind {
            "tier" => self.tiers.push(tier_row(&mut row)),
            "account" => self.accounts.push(account_row(&mut row)),
            "service" => {
                let route = self.route_row(&mut row);
                if let Some(service) = &route.service {
                    self.first_rows.entry(service.clone()).or_insert(self.routes.len());
                }
                self.routes.push(route);
            }
            "target" => self.targets.push(target_row(&mut row)),
            "rollout" => self.rollouts.push(rollout_row(&mut row)),
            other => {
                let message = format!(
                    "expected tier, account, service, target or rollout, got {}",
                    excerpt(other)
                );
                row.add_fault("kind", FaultCode::UnknownKind, message);
                return;
            }
        }
        row.finish(kind);
    }

    /// Reads a row of kind `service`.
    ///
    /// The first row of a service sets its class and version. Later rows may leave them empty, but
    /// must not contradict the first row.
    fn route_row(&self, row: &mut Row<'_>) -> RouteRow {
        let service = row.name("name").map(ServiceId::new);
        let first = service.as_ref().and_then(|service| self.first_rows.get(service));
        let first = first.map(|&position| &self.routes[position]);
        let class = match first {
            None => row.required("class"),
            Some(_) => row.optional("class"),
        }
        .and_then(|text| parse_class(row, text));
        let version = match first {
            None => row.name("version"),
            Some(_) => row.optional_name("version").flatten(),
        }
        .map(VersionId::new);
        if let (Some(first), Some(class)) = (first.and_then(|first| first.class), class)
            && first != class
        {
            let message = format!("the service's first row says {:?}", first.as_str());
            row.add_fault("class", FaultCode::ServiceMismatch, message);
        }
        if let (Some(first), Some(version)) =
            (first.and_then(|first| first.version.as_ref()), &version)
            && first != version
        {
            let message = format!("the service's first row says {:?}", first.as_str());
            row.add_fault("version", FaultCode::ServiceMismatch, message);
        }
        let class = first.map_or(class, |first| first.class);
        let route = row.route("route").filter(|route| check_route(row, class, route));
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

fn parse_class(row: &mut Row<'_>, text: &str) -> Option<ServiceClass> {
    match text {
        "model" => Some(ServiceClass::Model),
        "plain" => Some(ServiceClass::Plain),
        other => {
            let message = format!("expected model or plain, got {}", excerpt(other));
            row.add_fault("class", FaultCode::BadClass, message);
            None
        }
    }
}

/// Adds a fault and returns `false` unless `route` has the form that the class of its service
/// requires: a name for a model service, `METHOD /path` for a plain one.
fn check_route(row: &mut Row<'_>, class: Option<ServiceClass>, route: &str) -> bool {
    let message = match class {
        Some(ServiceClass::Model) if route.contains([' ', '/']) => {
            "a model service's route is a word such as \"chat\""
        }
        Some(ServiceClass::Plain) if !is_method_path(route) => {
            "a plain service's route has the form \"POST /path\""
        }
        _ => return true,
    };
    row.add_fault("route", FaultCode::BadRoute, format!("{message}, got {}", excerpt(route)));
    false
}

fn is_method_path(route: &str) -> bool {
    let Some((method, path)) = route.split_once(' ') else { return false };
    let valid_method = !method.is_empty() && method.bytes().all(|byte| byte.is_ascii_uppercase());
    let valid_path = path.starts_with('/') && !path.contains([' ', '?', '#']);
    valid_method && valid_path && !is_ambiguous(route)
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
        row.add_fault("first_token_ms", FaultCode::TimeOrder, message);
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
        row.add_fault("to", FaultCode::SameVersion, "must differ from column from".to_owned());
    }
    rollout
}
