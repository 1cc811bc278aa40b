//! Queue of one service: tiers by rank, with fairness among active accounts within a tier.
//!
//! Each tier separates its two length classes, so that short requests don't wait behind long ones.
//! Within a class, accounts take turns by start-time fair queuing, measured in tokens. Only
//! accounts with waiting requests, or with service received ahead of the others, have state.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use sesamewind_protocol::AccountId;

use crate::event::Ticket;

/// Length class of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Class {
    Short,
    Long,
}

impl Class {
    pub(crate) const ALL: [Class; 2] = [Class::Short, Class::Long];
}

/// Requests of one account in one class.
#[derive(Debug, Default)]
struct Flow {
    tickets: VecDeque<Ticket>,
    /// Virtual time at which the account's next request may start.
    start: u64,
}

/// Fair queue of one class of one tier.
#[derive(Debug, Default)]
struct FairQueue {
    flows: HashMap<AccountId, Flow>,
    order: BTreeSet<(u64, AccountId)>,
    virtual_time: u64,
}

impl FairQueue {
    fn push(&mut self, account: &AccountId, ticket: Ticket, front: bool) {
        let now = self.virtual_time;
        let flow = self.flows.entry(account.clone()).or_default();
        if flow.tickets.is_empty() {
            flow.start = flow.start.max(now);
            self.order.insert((flow.start, account.clone()));
        }
        if front {
            flow.tickets.push_front(ticket);
        } else {
            flow.tickets.push_back(ticket);
        }
    }

    fn head(&self) -> Option<Ticket> {
        let (_, account) = self.order.first()?;
        self.flows.get(account)?.tickets.front().copied()
    }

    /// Removes the head and charges `cost` to its account.
    fn pop(&mut self, cost: u64) -> Option<Ticket> {
        let (start, account) = self.order.pop_first()?;
        self.virtual_time = self.virtual_time.max(start);
        let flow = self.flows.get_mut(&account)?;
        let ticket = flow.tickets.pop_front();
        flow.start = start + cost;
        if !flow.tickets.is_empty() {
            self.order.insert((flow.start, account));
        }
        ticket
    }

    fn remove(&mut self, account: &AccountId, ticket: Ticket) -> bool {
        let Some(flow) = self.flows.get_mut(account) else { return false };
        let Some(at) = flow.tickets.iter().position(|waiting| *waiting == ticket) else {
            return false;
        };
        flow.tickets.remove(at);
        if flow.tickets.is_empty() {
            self.order.remove(&(flow.start, account.clone()));
        }
        true
    }

    /// Removes accounts without waiting requests that are not ahead of the others.
    fn prune(&mut self) {
        let now = self.virtual_time;
        let is_idle = self.order.is_empty();
        self.flows.retain(|_, flow| !flow.tickets.is_empty() || !is_idle && flow.start > now);
    }

    /// Returns the length of the longest flow and its newest request.
    fn newest_of_longest(&self) -> Option<(usize, Ticket)> {
        let length =
            |(account, flow): &(&AccountId, &Flow)| (flow.tickets.len(), (*account).clone());
        let (_, longest) = self.flows.iter().max_by_key(length)?;
        Some((longest.tickets.len(), *longest.tickets.back()?))
    }
}

#[derive(Debug, Default)]
struct TierQueue {
    classes: [FairQueue; 2],
    len: usize,
}

/// Queue of one service.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    tiers: BTreeMap<u8, TierQueue>,
    len: usize,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Returns the number of waiting requests by rank.
    pub(crate) fn lengths(&self) -> BTreeMap<u8, usize> {
        let waiting = self.tiers.iter().filter(|(_, tier)| tier.len > 0);
        waiting.map(|(rank, tier)| (*rank, tier.len)).collect()
    }

    /// Returns the number of waiting requests of tier `rank` and more urgent ones.
    pub(crate) fn waiting_up_to(&self, rank: u8) -> usize {
        self.tiers.range(..=rank).map(|(_, tier)| tier.len).sum()
    }

    /// Returns the most urgent rank from `from` on that has waiting requests.
    pub(crate) fn next_rank(&self, from: u8) -> Option<u8> {
        self.tiers.range(from..).find(|(_, tier)| tier.len > 0).map(|(rank, _)| *rank)
    }

    /// Returns the least urgent rank that has waiting requests.
    pub(crate) fn last_rank(&self) -> Option<u8> {
        self.tiers.iter().rev().find(|(_, tier)| tier.len > 0).map(|(rank, _)| *rank)
    }

    pub(crate) fn push(&mut self, rank: u8, class: Class, account: &AccountId, ticket: Ticket) {
        self.insert(rank, class, account, ticket, false);
    }

    /// Returns a request to the queue that was removed and not served.
    pub(crate) fn push_front(
        &mut self,
        rank: u8,
        class: Class,
        account: &AccountId,
        ticket: Ticket,
    ) {
        self.insert(rank, class, account, ticket, true);
    }

    fn insert(&mut self, rank: u8, class: Class, account: &AccountId, ticket: Ticket, front: bool) {
        let tier = self.tiers.entry(rank).or_default();
        tier.classes[class as usize].push(account, ticket, front);
        tier.len += 1;
        self.len += 1;
    }

    /// Returns the next request of a class of a tier.
    pub(crate) fn head(&self, rank: u8, class: Class) -> Option<Ticket> {
        self.tiers.get(&rank)?.classes[class as usize].head()
    }

    /// Removes the next request of a class of a tier and charges `cost` tokens to its account.
    pub(crate) fn pop(&mut self, rank: u8, class: Class, cost: u64) -> Option<Ticket> {
        let tier = self.tiers.get_mut(&rank)?;
        let ticket = tier.classes[class as usize].pop(cost)?;
        tier.len -= 1;
        self.len -= 1;
        Some(ticket)
    }

    /// Removes a request from anywhere in the queue.
    pub(crate) fn remove(&mut self, rank: u8, class: Class, account: &AccountId, ticket: Ticket) {
        let Some(tier) = self.tiers.get_mut(&rank) else { return };
        if tier.classes[class as usize].remove(account, ticket) {
            tier.len -= 1;
            self.len -= 1;
        }
    }

    /// Returns the request of tier `rank` to shed first: the newest one of the account with the
    /// most waiting requests.
    pub(crate) fn shed_candidate(&self, rank: u8) -> Option<Ticket> {
        let tier = self.tiers.get(&rank)?;
        let longest = tier.classes.iter().filter_map(FairQueue::newest_of_longest);
        longest.max_by_key(|(len, _)| *len).map(|(_, ticket)| ticket)
    }

    /// Removes the state of inactive accounts.
    pub(crate) fn prune(&mut self) {
        for tier in self.tiers.values_mut() {
            tier.classes.iter_mut().for_each(FairQueue::prune);
        }
        self.tiers.retain(|_, tier| tier.classes.iter().any(|class| !class.flows.is_empty()));
    }
}
