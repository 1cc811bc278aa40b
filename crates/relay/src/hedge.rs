//! Carries out two attempts of a slow request at once and takes the first one that answers.

use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::response;
use sesamewind_gateway::event::Dispatch;
use sesamewind_gateway::sse::EventScanner;
use sesamewind_gateway::{AttemptOutcome, Event, Hedge, Step, Ticket};
use tokio::time::sleep;

use crate::attempt::{AttemptEnd, Call, Received};
use crate::driver::{CallerGuard, Driver};
use crate::journal;

/// Result of an attempt, or of the one of two attempts that goes on.
#[derive(Debug)]
pub(crate) struct Attempted {
    /// The request, with the ticket of the attempt.
    pub(crate) call: Call,
    /// The attempt.
    pub(crate) dispatch: Dispatch,
    /// Events that the caller has received.
    pub(crate) scanner: EventScanner,
    /// Result of the attempt.
    pub(crate) received: Received,
    /// Answer of the other attempt, if its target reported a failure.
    pub(crate) failing: Option<(response::Parts, Bytes)>,
}

type FirstAttempt<'a> = Pin<Box<dyn Future<Output = Received> + 'a>>;
type SecondAttempt = Pin<Box<dyn Future<Output = Attempted>>>;

/// How the race of two attempts ended.
enum Race {
    /// The first attempt goes on.
    First(Box<Received>),
    /// The second attempt goes on.
    Second(Box<Attempted>),
}

/// Sends the request to the target of `dispatch`, and to a second one if the gateway decides so while
/// the first one has not begun to answer.
pub(crate) async fn attempt(
    call: Call,
    dispatch: Dispatch,
    mut scanner: EventScanner,
    guard: &mut CallerGuard,
) -> Attempted {
    let Some(delay) = dispatch.hedge_after else {
        return run(call, dispatch, scanner).await;
    };
    match race(&call, &dispatch, &mut scanner, delay).await {
        Race::First(received) => {
            Attempted { call, dispatch, scanner, received: *received, failing: None }
        }
        Race::Second(attempted) => {
            guard.enter_gateway(attempted.call.ticket);
            *attempted
        }
    }
}

async fn race(
    call: &Call,
    dispatch: &Dispatch,
    scanner: &mut EventScanner,
    delay: Duration,
) -> Race {
    let resumed = scanner.last_id().map(str::to_owned);
    let mut first: FirstAttempt<'_> = Box::pin(call.attempt(dispatch, scanner));
    if let Ok(received) = call.driver.timeout(delay, first.as_mut()).await {
        return Race::First(Box::new(received));
    }
    let ticket = call.driver.new_ticket();
    let Some(hedge) = call.hedge(ticket).await else { return Race::First(Box::new(first.await)) };
    journal::hedged(call, &hedge.dispatch, delay);
    let other = Other { driver: Rc::clone(&call.driver), ticket: Some(ticket) };
    let second = call.with_ticket(ticket);
    let scanner = EventScanner::after(resumed.as_deref());
    let second: SecondAttempt = Box::pin(run(second, hedge.dispatch, scanner));
    Pair { call, first, second, other }.race(hedge.overlap).await
}

async fn run(call: Call, dispatch: Dispatch, mut scanner: EventScanner) -> Attempted {
    let received = call.attempt(&dispatch, &mut scanner).await;
    Attempted { call, dispatch, scanner, received, failing: None }
}

/// Two attempts in flight.
struct Pair<'a> {
    call: &'a Call,
    first: FirstAttempt<'a>,
    second: SecondAttempt,
    other: Other,
}

impl Pair<'_> {
    async fn race(mut self, overlap: Option<Duration>) -> Race {
        let overlapped = async {
            match overlap {
                Some(overlap) => sleep(overlap).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            received = self.first.as_mut() => self.first_ended(received).await,
            attempted = self.second.as_mut() => self.second_ended(attempted).await,
            () = overlapped => self.leave_first(None).await,
        }
    }

    async fn first_ended(mut self, received: Received) -> Race {
        match received {
            Received::Failing(head, body) => {
                self.supersede_first(Some(AttemptOutcome::Failing));
                self.await_second(Some((head, body))).await
            }
            Received::Ended(AttemptEnd::Outcome(outcome)) => {
                self.supersede_first(Some(outcome));
                self.await_second(None).await
            }
            received => {
                self.other.end(None);
                journal::hedge_ended(self.call, "lost");
                Race::First(Box::new(received))
            }
        }
    }

    async fn second_ended(mut self, attempted: Attempted) -> Race {
        let outcome = match &attempted.received {
            Received::Stream(..) | Received::Whole(..) => {
                self.other.keep();
                self.supersede_first(None);
                journal::hedge_ended(self.call, "won");
                return Race::Second(Box::new(attempted));
            }
            Received::Failing(..) => AttemptOutcome::Failing,
            Received::Ended(end) => end.outcome(),
        };
        self.other.end(Some(outcome));
        journal::hedge_ended(self.call, "failed");
        Race::First(Box::new(self.first.await))
    }

    /// Cancels the first attempt and waits for the second one.
    async fn leave_first(mut self, failing: Option<(response::Parts, Bytes)>) -> Race {
        self.first = Box::pin(std::future::pending());
        self.supersede_first(None);
        self.await_second(failing).await
    }

    async fn await_second(mut self, failing: Option<(response::Parts, Bytes)>) -> Race {
        let attempted = self.second.await;
        self.other.keep();
        journal::hedge_ended(&attempted.call, "alone");
        Race::Second(Box::new(Attempted { failing, ..attempted }))
    }

    fn supersede_first(&self, outcome: Option<AttemptOutcome>) {
        self.call.driver.handle(Event::Superseded(self.call.ticket, outcome));
    }
}

/// The second attempt's request in the gateway, which ends with this value unless it is kept.
struct Other {
    driver: Rc<Driver>,
    ticket: Option<Ticket>,
}

impl Other {
    /// Leaves the request to the attempt that goes on.
    fn keep(&mut self) {
        self.ticket = None;
    }

    /// Ends the request, whose attempt ended with `outcome` or is cancelled.
    fn end(&mut self, outcome: Option<AttemptOutcome>) {
        if let Some(ticket) = self.ticket.take() {
            self.driver.handle(Event::Superseded(ticket, outcome));
        }
    }
}

impl Drop for Other {
    fn drop(&mut self) {
        self.end(None);
    }
}

impl Call {
    /// Asks the gateway for a second attempt with the ticket `second`.
    async fn hedge(&self, second: Ticket) -> Option<Hedge> {
        let step = self.driver.next_step(self.ticket, Event::Slow(self.ticket, second));
        match step.await {
            Ok(Step::Hedge(hedge)) => Some(hedge),
            Ok(Step::Unhedged(obstacle)) => {
                journal::unhedged(self, obstacle);
                None
            }
            Ok(step) => {
                log::error!(request = self.caller.id.as_str(); "{step:?} for a slow attempt");
                None
            }
            Err(_) => None,
        }
    }

    /// Returns the same request with another ticket.
    fn with_ticket(&self, ticket: Ticket) -> Self {
        Self {
            driver: Rc::clone(&self.driver),
            ticket,
            head: self.head.clone(),
            caller: self.caller.clone(),
            body: self.body.clone(),
            route: self.route.clone(),
            account: self.account.clone(),
            arrived: self.arrived,
            timing: Default::default(),
        }
    }
}
