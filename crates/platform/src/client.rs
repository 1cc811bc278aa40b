//! The client of the platform: its calls, their retries and the classification of answers.

use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::de::DeserializeOwned;
use serde_json::Value;
use sesamewind_protocol::Time;
use tokio::time::{Instant, sleep, timeout_at};

use crate::counters::Counters;
use crate::transport::{Method, Reply, Request, Transport, TransportError};
use crate::types::{KeyedRow, PutBody, Rows, Stored};
use crate::{
    Backoff, Counts, Guard, HttpTransport, Listing, Options, Permit, Put, Row, StoreError,
};

const OK: u16 = 200;
const NO_CONTENT: u16 = 204;
const CREATED: u16 = 201;
const NOT_FOUND: u16 = 404;
const CONFLICT: u16 = 409;
const TOO_MANY_REQUESTS: u16 = 429;
const SERVICE_UNAVAILABLE: u16 = 503;
const FIRST_SERVER_ERROR: u16 = 500;

/// Client of the platform. Clones share connections, breaker and budget.
#[derive(Clone)]
pub struct Platform {
    shared: Arc<Shared>,
}

impl std::fmt::Debug for Platform {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Platform").field("options", &self.shared.options).finish_non_exhaustive()
    }
}

struct Shared {
    transport: Box<dyn Transport>,
    options: Options,
    start: Instant,
    control: Mutex<Control>,
    counters: Counters,
}

struct Control {
    guard: Guard,
    rng: StdRng,
}

/// Whether a call that may have taken effect can safely be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Idempotency {
    /// Reads, and writes of content under its own hash.
    Idempotent,
    /// Conditional writes; if the answer is lost, the caller reads the row to learn the outcome.
    NotIdempotent,
}

impl Platform {
    /// Creates a client over HTTP; `base_url` has no path, as in `http://127.0.0.1:7000`.
    pub fn new(base_url: &str, options: Options) -> Self {
        let transport = HttpTransport::new(base_url, options.connect);
        Self::with_transport(transport, options)
    }

    /// Creates a client over the given transport.
    pub fn with_transport(transport: impl Transport, options: Options) -> Self {
        let rng = match options.seed {
            Some(seed) => StdRng::seed_from_u64(seed),
            None => StdRng::seed_from_u64(rand::rng().next_u64()),
        };
        let guard = Guard::new(&options, Time::ZERO);
        let shared = Shared {
            transport: Box::new(transport),
            options,
            start: Instant::now(),
            control: Mutex::new(Control { guard, rng }),
            counters: Counters::default(),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Returns the counts of calls since the client was created.
    pub fn counts(&self) -> Counts {
        self.shared.counters.read()
    }

    /// Reads the list of instances and targets.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if the list could not be read within the deadline.
    pub async fn list(&self) -> Result<Listing, StoreError> {
        let reply = self.read("/list".to_owned()).await?;
        parse(&expect_ok(reply)?)
    }

    /// Reads the row under `key`.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if the row could not be read within the deadline.
    pub async fn row(&self, key: &str) -> Result<Option<Row>, StoreError> {
        let reply = self.read(format!("/table/{}", percent_encode(key))).await?;
        if reply.status == NOT_FOUND {
            return Ok(None);
        }
        parse(&expect_ok(reply)?).map(Some)
    }

    /// Reads the rows whose keys start with `prefix`.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if the rows could not be read within the deadline.
    pub async fn rows(&self, prefix: &str) -> Result<Vec<KeyedRow>, StoreError> {
        let reply = self.read(format!("/table?prefix={}", percent_encode(prefix))).await?;
        let rows: Rows = parse(&expect_ok(reply)?)?;
        Ok(rows.rows)
    }

    /// Writes `value` under `key` if the row has revision `expected`; zero means that there must be
    /// no row.
    ///
    /// The write is retried only after an attempt that certainly had no effect.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Unknown`] if the answer was lost: the write may have taken effect or
    /// may still take effect. Returns another [`StoreError`] if the write had no effect.
    pub async fn put_row(
        &self,
        key: &str,
        expected: u64,
        value: &Value,
    ) -> Result<Put, StoreError> {
        let body = serde_json::to_vec(&PutBody { expected, value })
            .map_err(|error| StoreError::Malformed(error.to_string()))?;
        let path = format!("/table/{}", percent_encode(key));
        let request = Request { method: Method::Put, path, body: body.into(), json: true };
        let reply = self.call(request, Idempotency::NotIdempotent).await?;
        match reply.status {
            CONFLICT => unknown_if_malformed(parse(&reply)).map(Put::Conflict),
            _ => {
                let stored: Stored = unknown_if_malformed(parse(&expect_ok(reply)?))?;
                Ok(Put::Stored(stored.revision))
            }
        }
    }

    /// Reads the object under `hash`.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if the object could not be read within the deadline.
    pub async fn object(&self, hash: &str) -> Result<Option<Bytes>, StoreError> {
        let reply = self.read(format!("/objects/{}", percent_encode(hash))).await?;
        if reply.status == NOT_FOUND {
            return Ok(None);
        }
        Ok(Some(expect_ok(reply)?.body))
    }

    /// Writes an object under its hash. The write is idempotent.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if the object was not confirmed as stored within the deadline.
    pub async fn put_object(&self, hash: &str, content: Bytes) -> Result<(), StoreError> {
        let path = format!("/objects/{}", percent_encode(hash));
        let request = Request { method: Method::Put, path, body: content, json: false };
        expect_ok(self.call(request, Idempotency::Idempotent).await?).map(drop)
    }

    async fn read(&self, path: String) -> Result<Reply, StoreError> {
        let request = Request { method: Method::Get, path, body: Bytes::new(), json: false };
        self.call(request, Idempotency::Idempotent).await
    }

    /// Sends `request`, with retries until the deadline where they are safe.
    async fn call(&self, request: Request, idempotency: Idempotency) -> Result<Reply, StoreError> {
        let result = self.attempts(request, idempotency).await;
        self.count(result.as_ref().err());
        result
    }

    async fn attempts(
        &self,
        request: Request,
        idempotency: Idempotency,
    ) -> Result<Reply, StoreError> {
        let options = &self.shared.options;
        let deadline = Instant::now() + options.deadline;
        let mut backoff = Backoff::new(options.backoff);
        let mut lost = None;
        loop {
            let error = match self.attempt(&request, deadline).await {
                Ok(reply) => return Ok(reply),
                Err(AttemptError::Final(error)) => return Err(lost.unwrap_or(error)),
                Err(AttemptError::Retryable(error)) => error,
            };
            if error.may_have_run() {
                if idempotency == Idempotency::NotIdempotent {
                    return Err(error);
                }
                lost.get_or_insert(error.clone());
            }
            let wait = self.with_control(|control| backoff.next(&mut control.rng));
            if Instant::now() + wait >= deadline {
                return Err(lost.unwrap_or(error));
            }
            sleep(wait).await;
            Counters::increment(&self.shared.counters.retries);
        }
    }

    async fn attempt(&self, request: &Request, deadline: Instant) -> Result<Reply, AttemptError> {
        self.permit(deadline).await?;
        let counters = &self.shared.counters;
        Counters::increment(match request.method {
            Method::Get => &counters.reads,
            Method::Put => &counters.writes,
        });
        let limit = deadline.min(Instant::now() + self.shared.options.attempt);
        let result = match timeout_at(limit, self.shared.transport.send(request.clone())).await {
            Ok(Ok(reply)) => classify(reply),
            Ok(Err(TransportError::NotSent(why))) => Err(StoreError::Unavailable(why)),
            Ok(Err(TransportError::NoAnswer(why))) => Err(StoreError::Unknown(why)),
            Err(_) => Err(StoreError::Unknown("attempt timed out".to_owned())),
        };
        self.record(result.as_ref().err());
        result.map_err(AttemptError::Retryable)
    }

    /// Waits until the budget permits a call. An open breaker ends the call at once.
    async fn permit(&self, deadline: Instant) -> Result<(), AttemptError> {
        loop {
            let now = self.now();
            match self.with_control(|control| control.guard.request_permit(now, &mut control.rng)) {
                Permit::Granted => return Ok(()),
                Permit::BreakerOpen => {
                    Counters::increment(&self.shared.counters.stopped);
                    let why = "circuit breaker open until the platform answers a probe";
                    return Err(AttemptError::Final(StoreError::Unavailable(why.to_owned())));
                }
                Permit::Wait(wait) if Instant::now() + wait >= deadline => {
                    return Err(AttemptError::Final(StoreError::RateLimited));
                }
                Permit::Wait(wait) => sleep(wait).await,
            }
        }
    }

    fn record(&self, error: Option<&StoreError>) {
        let answered = !matches!(error, Some(StoreError::Unavailable(_) | StoreError::Unknown(_)));
        let now = self.now();
        self.with_control(|control| control.guard.record(answered, now, &mut control.rng));
    }

    fn count(&self, error: Option<&StoreError>) {
        let counters = &self.shared.counters;
        match error {
            None => {}
            Some(StoreError::Unavailable(_)) => Counters::increment(&counters.unavailable),
            Some(StoreError::Unknown(_)) => Counters::increment(&counters.unknown),
            Some(StoreError::RateLimited) => Counters::increment(&counters.limited),
            Some(StoreError::Refused { .. } | StoreError::Malformed(_)) => {
                Counters::increment(&counters.refused);
            }
        }
    }

    fn now(&self) -> Time {
        let passed = self.shared.start.elapsed();
        Time::ZERO + passed
    }

    fn with_control<T>(&self, f: impl FnOnce(&mut Control) -> T) -> T {
        let mut control = self.shared.control.lock().unwrap_or_else(PoisonError::into_inner);
        f(&mut control)
    }
}

/// Why an attempt failed, and whether the call may be retried.
enum AttemptError {
    /// The call must not be retried.
    Final(StoreError),
    /// A further attempt may succeed.
    Retryable(StoreError),
}

/// Turns statuses that don't depend on the requested row or object into errors.
fn classify(reply: Reply) -> Result<Reply, StoreError> {
    match reply.status {
        TOO_MANY_REQUESTS => Err(StoreError::RateLimited),
        SERVICE_UNAVAILABLE => Err(StoreError::Unavailable("status 503".to_owned())),
        // Other server errors leave open whether the call took effect.
        status if status >= FIRST_SERVER_ERROR => {
            Err(StoreError::Unknown(format!("status {status}")))
        }
        _ => Ok(reply),
    }
}

fn expect_ok(reply: Reply) -> Result<Reply, StoreError> {
    match reply.status {
        OK | CREATED | NO_CONTENT => Ok(reply),
        status => Err(StoreError::Refused { status }),
    }
}

fn parse<T: DeserializeOwned>(reply: &Reply) -> Result<T, StoreError> {
    serde_json::from_slice(&reply.body).map_err(|error| StoreError::Malformed(error.to_string()))
}

/// Reports a malformed answer to a write as unknown: the write may have taken effect.
fn unknown_if_malformed<T>(result: Result<T, StoreError>) -> Result<T, StoreError> {
    result.map_err(|error| match error {
        StoreError::Malformed(why) => StoreError::Unknown(why),
        other => other,
    })
}

/// Percent-encodes all bytes except unreserved characters.
fn percent_encode(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        match byte {
            b'A'..=b'Z' | b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b'~' => {
                encoded.push(char::from(byte));
            }
            _ => encoded.push_str(&format!("%{byte:02X}")),
        }
    }
    encoded
}
