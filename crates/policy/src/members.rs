//! The instances that may hold a request or may have taken its first attempt.
//!
//! A life that vanishes from membership still counts for as long as records are kept: it may be
//! frozen or cut off, and what it dispatched is known to it alone. Only a life that handed its
//! records over before it left need not be asked any more.

use std::collections::BTreeMap;
use std::time::Duration;

use sesamewind_protocol::record::InstanceIncarnation;
use sesamewind_protocol::{Incarnation, InstanceId, Time};

#[derive(Debug)]
struct Member {
    listed: bool,
    reachable: bool,
    /// When it was last listed or heard of.
    seen: Time,
    handed_over: bool,
}

/// Every life of another instance that a lookup may have to reach.
#[derive(Debug)]
pub(crate) struct Members {
    me: InstanceIncarnation,
    keep: Duration,
    lives: BTreeMap<InstanceIncarnation, Member>,
}

impl Members {
    pub(crate) fn new(me: InstanceIncarnation, keep: Duration) -> Self {
        Self { me, keep, lives: BTreeMap::new() }
    }

    pub(crate) fn set_keep(&mut self, keep: Duration) {
        self.keep = keep;
    }

    /// Takes the view of membership.
    pub(crate) fn set(
        &mut self,
        peers: &[InstanceIncarnation],
        reachable: &[InstanceId],
        now: Time,
    ) {
        for member in self.lives.values_mut() {
            member.listed = false;
            member.reachable = false;
        }
        for life in peers {
            if *life == self.me {
                continue;
            }
            self.met(life);
            let member = self.entry(life, now);
            member.listed = true;
            member.reachable = reachable.contains(&life.instance);
        }
        let keep = self.keep;
        self.lives.retain(|_, member| member.listed || now.since(member.seen) < keep);
    }

    /// Notes that `life` spoke to this instance.
    pub(crate) fn heard(&mut self, life: &InstanceIncarnation, now: Time) {
        if *life != self.me {
            self.met(life);
            self.entry(life, now);
        }
    }

    /// Notes that `life` handed its records to this instance and takes no requests any more.
    pub(crate) fn handed_over(&mut self, life: &InstanceIncarnation, now: Time) {
        if *life != self.me {
            self.entry(life, now).handed_over = true;
        }
    }

    /// Whether the records of `life` were handed to this instance.
    pub(crate) fn has_records_of(&self, life: &InstanceIncarnation) -> bool {
        self.lives.get(life).is_some_and(|member| member.handed_over)
    }

    /// Lives whose answer a lookup needs.
    pub(crate) fn must_ask(&self, now: Time) -> impl Iterator<Item = &InstanceIncarnation> {
        let keep = self.keep;
        self.lives
            .iter()
            .filter(move |(_, member)| {
                !member.handed_over && (member.listed || now.since(member.seen) < keep)
            })
            .map(|(life, _)| life)
    }

    /// Lives that membership lists.
    pub(crate) fn listed(&self) -> impl Iterator<Item = &InstanceIncarnation> {
        self.lives.iter().filter(|(_, member)| member.listed).map(|(life, _)| life)
    }

    /// Lives that can be reached.
    pub(crate) fn reachable(&self) -> impl Iterator<Item = &InstanceIncarnation> {
        self.lives.iter().filter(|(_, member)| member.reachable).map(|(life, _)| life)
    }

    /// Drops the stand-in of an instance that was listed and not heard, once it has been.
    fn met(&mut self, life: &InstanceIncarnation) {
        if life.incarnation != Incarnation::default() {
            self.lives.remove(&unheard(life));
        }
    }

    fn entry(&mut self, life: &InstanceIncarnation, now: Time) -> &mut Member {
        let member = self.lives.entry(life.clone()).or_insert(Member {
            listed: false,
            reachable: false,
            seen: now,
            handed_over: false,
        });
        member.seen = now;
        member
    }
}

/// The life under which an instance is listed that was never heard from. It stands for whichever
/// life answers first, so it must not be waited for beside that one. Earlier lives are named by the
/// peers that met them.
fn unheard(life: &InstanceIncarnation) -> InstanceIncarnation {
    InstanceIncarnation { instance: life.instance.clone(), incarnation: Incarnation::default() }
}
