//! Converts the accepted sheet to the inputs of the scheduler and the rollouts.

use sesamewind_policy as policy;
use sesamewind_rollout::RolloutSpec;
use sesamewind_sheet::{ServiceClass, Sheet};

/// Returns the scheduler's configuration.
pub fn scheduler(sheet: &Sheet, limits: &policy::Limits) -> policy::Config {
    policy::Config {
        tiers: sheet.tiers.iter().map(tier).collect(),
        accounts: sheet.accounts.iter().map(account).collect(),
        services: sheet.services.iter().map(service).collect(),
        targets: sheet.targets.iter().map(target).collect(),
        limits: limits.clone(),
    }
}

fn tier(tier: &sesamewind_sheet::Tier) -> policy::Tier {
    policy::Tier {
        name: tier.name.clone(),
        rank: tier.rank,
        first_token: tier.first_token,
        total: tier.total,
    }
}

fn account(account: &sesamewind_sheet::Account) -> policy::Account {
    policy::Account {
        id: account.name.clone(),
        limits: policy::AccountLimits {
            requests_per_s: account.requests_per_s,
            tokens_per_s: account.tokens_per_s,
        },
    }
}

fn service(service: &sesamewind_sheet::Service) -> policy::Service {
    let kind = match service.class {
        ServiceClass::Model => policy::Kind::Model,
        ServiceClass::Plain => policy::Kind::Plain,
    };
    policy::Service { id: service.name.clone(), kind }
}

fn target(target: &sesamewind_sheet::Target) -> policy::Target {
    policy::Target {
        id: target.name.clone(),
        service: target.service.clone(),
        zone: target.zone.clone(),
    }
}

/// Returns the rollouts of the sheet. Every target of the service has to load the new version.
pub fn rollouts(sheet: &Sheet) -> Vec<RolloutSpec> {
    let spec = |row: &sesamewind_sheet::Rollout| RolloutSpec {
        id: row.name.clone(),
        service: row.service.clone(),
        from: row.from.clone(),
        to: row.to.clone(),
        deadline: row.deadline,
        first_share: row.share,
        targets: sheet.targets_of(&row.service).map(|target| target.name.clone()).collect(),
    };
    sheet.rollouts.iter().map(spec).collect()
}
