//! Brittle times of a stand-in target, in which it falls over if it rejects too many requests in a second.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time within which rejections are counted.
const SECOND: Duration = Duration::from_secs(1);

/// Time for which a target that has fallen over serves nothing.
const DOWN_TIME: Duration = Duration::from_secs(3);

/// What a target bears while it is brittle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Brittleness {
    /// Rejections in a second, stated in all answers.
    pub allowed: u32,
    /// Requests beyond its slots that the target lets wait.
    pub waiting: usize,
}

/// How a target takes a request.
#[derive(Debug)]
pub(super) enum Admission {
    /// It runs the request, which has a place until this is dropped.
    Run(Place),
    /// It has no room.
    Rejected,
    /// It has fallen over.
    Down,
}

/// Requests of a target and whether it is brittle.
#[derive(Debug, Clone, Default)]
pub(super) struct Brittle(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    terms: Option<Brittleness>,
    open: usize,
    rejected: VecDeque<Instant>,
    fallen: Option<Instant>,
    falls: usize,
}

/// Place of one request.
#[derive(Debug)]
pub(super) struct Place(Brittle);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.state().open -= 1;
    }
}

impl Brittle {
    pub(super) fn set(&self, terms: Option<Brittleness>) {
        self.state().terms = terms;
    }

    /// Returns what the answers state.
    pub(super) fn stated(&self) -> Option<u32> {
        self.state().terms.map(|terms| terms.allowed)
    }

    pub(super) fn falls(&self) -> usize {
        self.state().falls
    }

    /// Takes a request at a target with `slots`, unless it has no room for it.
    pub(super) fn admit(&self, slots: u32, now: Instant) -> Admission {
        let mut state = self.state();
        if state.fallen.is_some_and(|fallen| now < fallen + DOWN_TIME) {
            return Admission::Down;
        }
        if let Some(terms) = state.terms
            && state.open >= slots as usize + terms.waiting
        {
            state.rejected.retain(|at| now.duration_since(*at) < SECOND);
            state.rejected.push_back(now);
            if state.rejected.len() > terms.allowed as usize {
                state.rejected.clear();
                state.fallen = Some(now);
                state.falls += 1;
            }
            return Admission::Rejected;
        }
        state.open += 1;
        Admission::Run(Place(self.clone()))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
