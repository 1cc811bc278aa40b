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

/// Time without progress of an attempt, while this instance was waiting for it.
#[derive(Debug, Default)]
pub struct Silence {
    length: Duration,
    /// Length at which the gateway was last asked.
    asked: Option<Duration>,
}

impl Silence {
    /// Returns the length at which the gateway is asked; none if it never is.
    fn limit(&self, dispatch: &Dispatch) -> Option<Duration> {
        self.asked.map(|asked| asked + ASK_INTERVAL).or(dispatch.silence_timeout)
    }

    /// Returns the time left until the gateway is asked; none if it never is.
    fn time_left(&self, dispatch: &Dispatch) -> Option<Duration> {
        self.limit(dispatch).map(|limit| limit.saturating_sub(self.length))
    }

    /// Adds a wait from `start` to `now`. What came before the end of a stall, at `stall_end`, is not
    /// counted, since data may have arrived meanwhile.
    fn add(
        &mut self,
        dispatch: &Dispatch,
        start: Instant,
        stall_end: Option<Instant>,
        now: Instant,
    ) {
        if stall_end.is_some()
            && let Some(limit) = self.limit(dispatch)
        {
            self.length = self.length.min(limit.saturating_sub(STALL_WAIT));
        }
        self.length += now.duration_since(stall_end.unwrap_or(start));
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
            let ask_at = silence.time_left(dispatch).map_or(deadline, |left| start + left);
            let part = timeout_at(ask_at.min(deadline), next.as_mut()).await;
            let now = Instant::now();
            self.driver.observe_turn(now);
            let stall_end = self.driver.watchdog.stall_end_after(start);
            silence.add(dispatch, start, stall_end, now);
            match part {
                Ok(part) => return Ok(part),
                Err(_) if now >= deadline => {
                    return Err(AttemptEnd::Outcome(AttemptOutcome::Expired));
                }
                Err(_) if stall_end.is_some() => {}
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
        if let Ok(Step::Dispatch(next)) = step.await {
            return Err(AttemptEnd::Moved(next));
        }
        if silence.asked.replace(silence.length).is_none() {
            journal::target_silent(self, dispatch, silence.length);
        }
        Ok(())
    }
}
