//! Waiting for a target that may be silent for a while.

use std::pin::pin;
use std::time::Duration;

use sesamewind_gateway::event::Dispatch;
use sesamewind_gateway::{AttemptOutcome, Event, Step};
use tokio::time::{Instant, timeout_at};

use crate::attempt::{AttemptEnd, Call};
use crate::journal;

/// Time after which the gateway is asked again whether another target can take the request.
const ASK_INTERVAL: Duration = Duration::from_millis(200);

/// Shortest wait for a target after a stall of this instance, in which the data that has arrived
/// meanwhile is read.
const STALL_WAIT: Duration = Duration::from_millis(250);

/// Longest time by which the stalls during one silence postpone the question to the gateway, so that
/// an instance that stalls again and again still asks it.
const MAX_POSTPONED: Duration = Duration::from_millis(500);

/// Time without progress of an attempt, while this instance was waiting for it.
#[derive(Debug, Default)]
pub struct Silence {
    length: Duration,
    /// Length at which the gateway was last asked.
    asked: Option<Duration>,
    /// Time by which the question was postponed.
    postponed: Duration,
}

/// A wait for the next part of an answer.
#[derive(Debug, Clone, Copy)]
pub struct Wait {
    /// Time that the instance ran during the wait.
    pub ran: Duration,
    /// Time since the end of the last stall during the wait; none if there was no stall.
    pub since_stall: Option<Duration>,
}

impl Silence {
    /// Returns the length at which the gateway is asked, if `timeout` is the silence timeout of the
    /// attempt; none if it never is.
    fn limit(&self, timeout: Option<Duration>) -> Option<Duration> {
        self.asked.map(|asked| asked + ASK_INTERVAL).or(timeout)
    }

    /// Returns the time left until the gateway is asked; none if it never is.
    pub fn time_left(&self, timeout: Option<Duration>) -> Option<Duration> {
        self.limit(timeout).map(|limit| limit.saturating_sub(self.length))
    }

    /// Adds a wait. After a stall, data that has arrived meanwhile may not have been read yet, so the
    /// gateway is not asked for a while.
    pub fn add(&mut self, timeout: Option<Duration>, wait: Wait) {
        let Some(since_stall) = wait.since_stall else {
            self.length += wait.ran;
            return;
        };
        self.length += wait.ran.saturating_sub(since_stall);
        if let Some(limit) = self.limit(timeout) {
            let excess = self.length.saturating_sub(limit.saturating_sub(STALL_WAIT));
            let postponed = excess.min(MAX_POSTPONED - self.postponed);
            self.length -= postponed;
            self.postponed += postponed;
        }
        self.length += since_stall;
    }

    /// Records that the gateway is asked. Returns whether that is the first time.
    pub fn ask(&mut self) -> bool {
        self.asked.replace(self.length).is_none()
    }
}

impl Call {
    /// Waits for `next`, the next part of the answer from the target of `dispatch`.
    ///
    /// # Errors
    ///
    /// Returns how the attempt has ended if the request's deadline has passed, or if the target was
    /// silent and another one takes the request.
    pub async fn wait_for<F: Future>(
        &self,
        dispatch: &Dispatch,
        silence: &mut Silence,
        next: F,
    ) -> Result<F::Output, AttemptEnd> {
        let mut next = pin!(next);
        let deadline = self.driver.instant(dispatch.deadline);
        loop {
            let start = Instant::now();
            let left = silence.time_left(dispatch.silence_timeout);
            let ask_at = left.map_or(deadline, |left| start + left);
            let stalled = self.driver.watchdog.stalled();
            let part = timeout_at(ask_at.min(deadline), next.as_mut()).await;
            let now = Instant::now();
            self.driver.observe_turn(now);
            let wait = self.driver.watchdog.wait(start, stalled, now);
            silence.add(dispatch.silence_timeout, wait);
            match part {
                Ok(part) => return Ok(part),
                Err(_) if now >= deadline => {
                    return Err(AttemptEnd::Outcome(AttemptOutcome::Expired));
                }
                Err(_) if silence.time_left(dispatch.silence_timeout) > Some(Duration::ZERO) => {}
                Err(_) => self.ask(dispatch, silence).await?,
            }
        }
    }

    /// Records that the target has made progress.
    pub fn end_silence(&self, dispatch: &Dispatch, silence: &mut Silence) {
        let ended = std::mem::take(silence);
        if ended.asked.is_some() {
            journal::silence_ended(self, dispatch, ended.length);
            self.driver.handle(Event::SilenceEnded(self.ticket));
        }
    }

    /// Asks the gateway whether another target takes the request.
    async fn ask(&self, dispatch: &Dispatch, silence: &mut Silence) -> Result<(), AttemptEnd> {
        let step = self.driver.next_step(self.ticket, Event::Silent(self.ticket));
        match step.await {
            Ok(Step::Wait) | Err(_) => {}
            Ok(next) => return Err(AttemptEnd::Moved(Box::new(next))),
        }
        if silence.ask() {
            journal::target_silent(self, dispatch, silence.length);
        }
        Ok(())
    }
}
