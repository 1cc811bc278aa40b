//! Builds the sheet from rows that have passed all checks.

use std::collections::HashMap;
use std::time::Duration;

use sesamewind_protocol::ServiceId;

use crate::draft::{AccountRow, Draft, RolloutRow, RouteRow, TargetRow, TierRow};
use crate::{Account, Rollout, Route, Service, Sheet, Target, Tier};

/// Builds the sheet from rows without faults.
///
/// Omits a row that lacks a required value, so the caller must check for faults first.
pub(crate) fn build(draft: Draft) -> Sheet {
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
    let mut positions: HashMap<ServiceId, usize> = HashMap::new();
    for row in rows {
        let Some(name) = row.service else { continue };
        let position = match (positions.get(&name), row.class, row.version) {
            (Some(position), ..) => *position,
            (None, Some(class), Some(version)) => {
                positions.insert(name.clone(), services.len());
                services.push(Service { name, class, version, routes: Vec::new() });
                services.len() - 1
            }
            _ => continue,
        };
        let tier = row.tier.and_then(|tier| ranks.get(tier.as_str()).copied());
        if let (Some(name), Some(tier), Some(idempotent)) = (row.route, tier, row.idempotent) {
            services[position].routes.push(Route { name, tier, idempotent });
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
