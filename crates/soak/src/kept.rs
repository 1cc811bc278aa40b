//! Callers that use a connection until the instance closes it.

use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::{sleep, timeout};

use crate::callers::{BODY, CALLER_TIMEOUT, Callers, PAUSE_MS, TIMEOUT_MARGIN, headers, outcome};
use crate::configuration::{FREE_KEY, SPARE_KEY};
use crate::connection::Connection;
use crate::record::{IdleClose, Outcome, RequestKind, Sent};

/// Timeout for opening a connection.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);

/// One in this many pauses is drawn up to [`IDLE_MS`].
const IDLE_ONE_IN: u32 = 10;

/// Longest time for which a caller leaves a connection idle, in milliseconds. It exceeds the short
/// idle limit, so that connections opened under that limit are seen to follow a longer one.
const IDLE_MS: u64 = 3_500;

/// Bounds on the pause between two parts of a request in milliseconds.
const PART_PAUSE_MS: (u64, u64) = (1, 120);

/// First number of these callers; the ids of requests begin with the number.
const FIRST_NUMBER: u64 = 0x8000;

/// How the bytes of a request are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Form {
    /// All at once.
    Whole,
    /// In parts, cut anywhere, with a stated length of the body.
    Parts,
    /// In parts, cut anywhere, with the body in chunks.
    Chunks,
    /// Right behind the request before, without waiting for its answer.
    Pipelined,
}

#[derive(Debug)]
struct Request {
    id: String,
    kind: RequestKind,
}

/// An open connection and what its caller knows.
#[derive(Debug)]
struct Kept<'a> {
    callers: &'a Callers,
    connection: Connection,
    instance: (usize, u32),
    /// Status of the last answer.
    status: u16,
}

impl Callers {
    /// Sends requests until `stopping` is set, on one connection after the other.
    pub async fn call_on_kept_connections(self: Arc<Self>, number: u64, seed: u64) {
        let number = FIRST_NUMBER + number;
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ (number + 1).wrapping_mul(0x9E37_79B9));
        let mut count = 0;
        while !self.is_stopping() {
            let ready = self.rotation.ready();
            let instance = ready[rng.random_range(0..ready.len())];
            let incarnation = self.processes[instance].incarnation();
            let opened = Connection::open(self.processes[instance].callers.addr());
            if let Ok(Ok(connection)) = timeout(OPEN_TIMEOUT, opened).await {
                let instance = (instance, incarnation);
                let mut kept = Kept { callers: &self, connection, instance, status: 0 };
                while !self.is_stopping() && kept.exchange(&mut rng, number, &mut count).await {}
            }
            sleep(Duration::from_millis(rng.random_range(PAUSE_MS.0..PAUSE_MS.1))).await;
        }
    }

    fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }
}

impl Kept<'_> {
    /// Sends one or two requests, reads their answers, and pauses; returns whether the connection
    /// is still open.
    async fn exchange(&mut self, rng: &mut ChaCha8Rng, number: u64, count: &mut u64) -> bool {
        let form = draw_form(rng);
        let requests: Vec<Request> = (0..if form == Form::Pipelined { 2 } else { 1 })
            .map(|_| {
                *count += 1;
                Request { id: format!("{number:04x}{count:08x}"), kind: self.draw_kind(rng) }
            })
            .collect();
        let bytes: String = requests.iter().map(|request| request.text(form)).collect();
        let mut at = Instant::now();
        let sent = self.write(rng, form, bytes.as_bytes()).await;
        let written = Instant::now();
        // The instance may have answered before it closed the connection.
        let mut open = true;
        for request in requests {
            let outcome = if open { self.read(&request, &mut open).await } else { Outcome::Closed };
            let ended = Instant::now();
            self.record(request, (at, written, ended), outcome);
            if open {
                at = ended;
            }
        }
        open && sent.is_ok() && self.idle(rng).await
    }

    /// Leaves the connection idle; returns whether it is still open.
    async fn idle(&mut self, rng: &mut ChaCha8Rng) -> bool {
        let longest = if rng.random_range(0..IDLE_ONE_IN) == 0 { IDLE_MS } else { PAUSE_MS.1 };
        let pause = Duration::from_millis(rng.random_range(PAUSE_MS.0..longest));
        let from = Instant::now();
        if timeout(pause, self.connection.closed()).await.is_err() {
            return true;
        }
        let (instance, status, at) = (self.instance, self.status, Instant::now());
        let close = IdleClose { instance, status, from, at };
        self.callers.record.events().idle_closes.push(close);
        false
    }

    fn draw_kind(&self, rng: &mut ChaCha8Rng) -> RequestKind {
        match rng.random_range(0..10) {
            0 => RequestKind::Moving,
            1 => RequestKind::Revocable,
            _ => self.callers.draw_kind(rng),
        }
    }

    async fn write(&mut self, rng: &mut ChaCha8Rng, form: Form, bytes: &[u8]) -> io::Result<()> {
        if matches!(form, Form::Whole | Form::Pipelined) {
            return self.connection.write(bytes).await;
        }
        let mut rest = bytes;
        while !rest.is_empty() {
            let (part, after) = rest.split_at(rng.random_range(1..=rest.len()));
            self.connection.write(part).await?;
            rest = after;
            if !rest.is_empty() {
                let pause = rng.random_range(PART_PAUSE_MS.0..PART_PAUSE_MS.1);
                sleep(Duration::from_millis(pause)).await;
            }
        }
        Ok(())
    }

    /// Reads the answer to a request; `open` is cleared if it is the last one on the connection.
    async fn read(&mut self, request: &Request, open: &mut bool) -> Outcome {
        let answer = timeout(CALLER_TIMEOUT + TIMEOUT_MARGIN, self.connection.read()).await;
        let (closes, outcome) = match answer {
            Ok(Ok(answer)) => {
                self.status = answer.status;
                let closes = answer.closes() || answer.body.is_none();
                let (status, headers) = (answer.status, &answer.headers);
                (closes, outcome(status, headers, answer.body, &request.id, request.kind))
            }
            Ok(Err(err)) => (true, Outcome::NoAnswer(err.to_string())),
            Err(_) => (true, Outcome::NoAnswer("no answer in time".to_owned())),
        };
        *open = !closes;
        outcome
    }

    fn record(&self, request: Request, times: (Instant, Instant, Instant), outcome: Outcome) {
        let (at, written, ended) = times;
        self.callers.record.events().sent.push(Sent {
            id: request.id,
            kind: request.kind,
            limited: false,
            instance: self.instance,
            at,
            written,
            timeout: CALLER_TIMEOUT,
            ended,
            outcome,
        });
    }
}

impl Request {
    fn text(&self, form: Form) -> String {
        let key = if self.kind == RequestKind::Revocable { SPARE_KEY } else { FREE_KEY };
        let mut text = format!("POST {} HTTP/1.1\r\n", self.kind.path());
        for (name, value) in headers(&self.id, key) {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        let (first, second) = BODY.split_at(BODY.len() / 2);
        text.push_str(&match form {
            Form::Chunks => format!(
                "transfer-encoding: chunked\r\n\r\n{:x}\r\n{first}\r\n{:x}\r\n{second}\r\n0\r\n\r\n",
                first.len(),
                second.len()
            ),
            _ => format!("content-length: {}\r\n\r\n{BODY}", BODY.len()),
        });
        text
    }
}

fn draw_form(rng: &mut ChaCha8Rng) -> Form {
    match rng.random_range(0..10) {
        0..5 => Form::Whole,
        5..7 => Form::Parts,
        7 => Form::Chunks,
        _ => Form::Pipelined,
    }
}
