//! Exchange of state with the other instances.
//!
//! Of two instances, the one with the smaller name sends its state and gets the other's in the
//! answer, so that one exchange serves both. An instance that reads of a smaller name calls it once,
//! since that one may not have read its announcement yet.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Collected, Full, Limited};
use hyper::body::Incoming;
use rand::RngExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use sesamewind_gateway::{Event, Gateway};
use sesamewind_protocol::codec;
use sesamewind_protocol::relay::{RelayUpdate, RowsReply, RowsRequest, Topic};
use sesamewind_protocol::{InstanceId, ZoneId};
use sesamewind_settings::Secret;
use tokio::time::{Instant, sleep, timeout};

use crate::answer::{Answer, AnswerBody};
use crate::driver::Driver;
use crate::pool::Pool;
use crate::source::Announcement;

/// Path of an exchange on the inner listener.
const EXCHANGE_PATH: &str = "/peers/exchange";

/// Path of the store's rows on the inner listener.
const ROWS_PATH: &str = "/peers/rows";

/// Path of the metrics on the inner listener.
const METRICS_PATH: &str = "/metrics";

/// Interval between two exchanges with one peer while there are few peers.
const INTERVAL: Duration = Duration::from_millis(100);

/// Interval between two exchanges of instances that share targets, where there are many peers.
const SHARED_TARGETS_INTERVAL: Duration = Duration::from_millis(60);

/// Peers up to which [`INTERVAL`] holds. With more, exchanges are made less often in proportion to the
/// peers: half as often as that with those of the own availability zone, and to all for the rest.
const INTERVAL_PEERS: usize = 10;

/// Longest time for an exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest pause after failed exchanges.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// Time without an exchange after which a peer is given up until it calls by itself.
const PEER_TIMEOUT: Duration = Duration::from_secs(20);

/// Calls to a peer that doesn't answer, until it is left to its own reading of announcements.
const INTRODUCTION_ATTEMPTS: u32 = 5;

/// Largest message of a peer, in bytes.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// The other instances' addresses.
#[derive(Debug)]
pub struct Peers {
    driver: Rc<Driver>,
    me: InstanceId,
    token: Secret,
    pool: Pool,
    zone: ZoneId,
    known: RefCell<HashMap<InstanceId, KnownPeer>>,
}

/// Where a peer is.
#[derive(Debug, Clone, PartialEq, Eq)]
struct KnownPeer {
    address: SocketAddr,
    zone: ZoneId,
}

impl Peers {
    /// The peers of the instance `me` in `zone`.
    pub fn new(driver: Rc<Driver>, me: InstanceId, zone: ZoneId, token: Secret) -> Self {
        Self { driver, me, zone, token, pool: Pool::default(), known: RefCell::default() }
    }

    /// Takes instances that announced themselves.
    pub fn add_announced(self: &Rc<Self>, announced: &[Announcement]) {
        let others = announced.iter().filter(|peer| peer.instance != self.me);
        let names: Vec<&InstanceId> = others.map(|peer| &peer.instance).collect();
        let now = self.driver.now();
        self.driver.with_gateway_mut(|gateway| gateway.expect_peers(&names, now));
        for peer in announced {
            let known = KnownPeer { address: peer.address, zone: peer.zone.clone() };
            if self.discover(&peer.instance, &known) && peer.instance < self.me {
                let this = Rc::clone(self);
                let name = peer.instance.clone();
                tokio::task::spawn_local(async move { this.introduce(name, known).await });
            }
        }
    }

    /// Calls a peer that is to send exchanges, so that it knows of this instance.
    async fn introduce(self: Rc<Self>, name: InstanceId, peer: KnownPeer) {
        for failures in 1..=INTRODUCTION_ATTEMPTS {
            match timeout(EXCHANGE_TIMEOUT, self.exchange(&name, peer.address)).await {
                Ok(Ok(update)) => return self.receive(&update),
                Ok(Err(err)) => log::debug!("greeting of {name} failed: {err}"),
                Err(_) => log::debug!("greeting of {name} was not answered in time"),
            }
            sleep(self.pause(&name, &peer.zone, failures)).await;
        }
    }

    /// Starts exchanges with a peer that is new or has moved; true if it is.
    fn discover(self: &Rc<Self>, name: &InstanceId, peer: &KnownPeer) -> bool {
        if *name == self.me || self.known.borrow().get(name) == Some(peer) {
            return false;
        }
        let address = peer.address;
        self.known.borrow_mut().insert(name.clone(), peer.clone());
        log::info!(event = "peer_met", peer = name.as_str(), address:%; "peer known");
        if self.me < *name {
            let this = Rc::clone(self);
            let (name, peer) = (name.clone(), peer.clone());
            tokio::task::spawn_local(async move { this.exchange_with(name, peer).await });
        }
        true
    }

    async fn exchange_with(self: Rc<Self>, name: InstanceId, peer: KnownPeer) {
        let address = peer.address;
        let mut last = Instant::now();
        let mut failures: u32 = 0;
        while self.known.borrow().get(&name) == Some(&peer) {
            match timeout(EXCHANGE_TIMEOUT, self.exchange(&name, address)).await {
                Ok(Ok(update)) => {
                    if failures > 0 {
                        log::info!(event = "peer_back", peer = name.as_str(), failures; "peer back");
                    }
                    last = Instant::now();
                    failures = 0;
                    self.receive(&update);
                }
                outcome => {
                    failures += 1;
                    self.pool.forget(address);
                    if failures == 1 {
                        let err = outcome.map_or_else(
                            |_| "no answer in time".to_owned(),
                            |result| result.err().unwrap_or_default(),
                        );
                        log::warn!(event = "peer_lost", peer = name.as_str(); "exchange failed: {err}");
                        self.driver.metrics.dependency_lost("peer");
                    }
                    if last.elapsed() > PEER_TIMEOUT {
                        self.known.borrow_mut().remove(&name);
                        log::warn!(event = "peer_given_up", peer = name.as_str(); "peer given up");
                        return;
                    }
                }
            }
            sleep(self.pause(&name, &peer.zone, failures)).await;
        }
    }

    /// Time until the next exchange with the peer `name` in `zone`, after so many failures.
    fn pause(&self, name: &InstanceId, zone: &ZoneId, failures: u32) -> Duration {
        let known = self.known.borrow();
        let interval = if self.driver.with_gateway(|gateway| gateway.shares_targets(name)) {
            SHARED_TARGETS_INTERVAL
        } else if known.len() <= INTERVAL_PEERS {
            INTERVAL
        } else if *zone == self.zone {
            let own = known.values().filter(|peer| peer.zone == self.zone).count();
            INTERVAL.mul_f64((2.0 * own as f64 / INTERVAL_PEERS as f64).max(1.0))
        } else {
            INTERVAL.mul_f64(known.len() as f64 / INTERVAL_PEERS as f64)
        };
        let pause = (interval * (1 << failures.min(4))).min(MAX_PAUSE.max(interval));
        pause.mul_f64(rand::rng().random_range(0.9..1.1))
    }

    async fn exchange(
        &self,
        name: &InstanceId,
        address: SocketAddr,
    ) -> Result<RelayUpdate, String> {
        self.call(address, EXCHANGE_PATH, &self.driver.peer_update(name)).await
    }

    /// Rows of the store that the peer at `address` has.
    ///
    /// # Errors
    ///
    /// Returns what went wrong.
    pub async fn rows(
        &self,
        address: SocketAddr,
        request: RowsRequest,
    ) -> Result<RowsReply, String> {
        let reply = timeout(EXCHANGE_TIMEOUT, self.call(address, ROWS_PATH, &request)).await;
        reply.unwrap_or_else(|_| Err("no answer in time".to_owned()))
    }

    async fn call<A: Serialize, B: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        message: &A,
    ) -> Result<B, String> {
        let body = codec::encode(message).map_err(|err| err.to_string())?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(path)
            .header(header::HOST, address.to_string())
            .header(header::AUTHORIZATION, self.token.expose())
            .body(Full::new(Bytes::from(body)))
            .map_err(|err| err.to_string())?;
        let connection = self.pool.get(address, Duration::MAX).await;
        let mut connection = connection.map_err(|err| err.to_string())?;
        let (head, body) = connection.send(request).await.map_err(|err| err.to_string())?;
        if head.status != StatusCode::OK {
            return Err(format!("status {}", head.status));
        }
        let body = read(body).await?;
        self.pool.put(connection);
        codec::decode(&body).map_err(|err| err.to_string())
    }

    /// Takes a peer's state.
    fn receive(&self, update: &RelayUpdate) {
        self.driver.handle(Event::PeerUpdate(update));
        let known = self.driver.with_gateway(Gateway::revision);
        let listed = self.driver.topic(Topic::Targets).cache.borrow().newest();
        let address = update.address.parse().ok();
        if update.revision > known {
            self.driver.topic(Topic::Configuration).ahead_peer.set(address);
            self.driver.outdated.notify_waiters();
        }
        if update.list_version > listed {
            self.driver.topic(Topic::Targets).ahead_peer.set(address);
            self.driver.outdated.notify_waiters();
        }
    }

    /// Serves the inner listener.
    pub async fn serve(self: Rc<Self>, request: Request<Incoming>) -> Answer {
        let (head, body) = request.into_parts();
        match (&head.method, head.uri.path()) {
            (&Method::GET, METRICS_PATH) => {
                respond(StatusCode::OK, self.driver.metrics.render().into())
            }
            (&Method::POST, path @ (EXCHANGE_PATH | ROWS_PATH)) => {
                let offered = head.headers.get(header::AUTHORIZATION).map(HeaderValue::as_bytes);
                let offered = offered.and_then(|bytes| std::str::from_utf8(bytes).ok());
                if !offered.is_some_and(|offered| self.token.matches(offered)) {
                    log::warn!(event = "peer_unknown"; "exchange without the peers' token");
                    return respond(StatusCode::UNAUTHORIZED, Bytes::new());
                }
                match read(body).await {
                    Ok(bytes) if path == ROWS_PATH => self.serve_rows(&bytes),
                    Ok(bytes) => self.serve_exchange(&bytes),
                    Err(err) => unreadable(&err),
                }
            }
            _ => respond(StatusCode::NOT_FOUND, Bytes::new()),
        }
    }

    fn serve_exchange(self: &Rc<Self>, bytes: &[u8]) -> Answer {
        let update: RelayUpdate = match codec::decode(bytes) {
            Ok(update) => update,
            Err(err) => return unreadable(&err.to_string()),
        };
        if let Ok(address) = update.address.parse() {
            self.discover(&update.from, &KnownPeer { address, zone: update.zone.clone() });
        }
        self.receive(&update);
        encoded(&self.driver.peer_update(&update.from))
    }

    fn serve_rows(&self, bytes: &[u8]) -> Answer {
        let request: RowsRequest = match codec::decode(bytes) {
            Ok(request) => request,
            Err(err) => return unreadable(&err.to_string()),
        };
        encoded(&self.driver.topic(request.topic).cache.borrow().since(request.after))
    }
}

async fn read(body: Incoming) -> Result<Bytes, String> {
    let body = Limited::new(body, MAX_MESSAGE_BYTES).collect().await;
    body.map(Collected::to_bytes).map_err(|err| err.to_string())
}

fn unreadable(err: &str) -> Answer {
    log::warn!(event = "peer_unreadable"; "message of a peer: {err}");
    respond(StatusCode::BAD_REQUEST, Bytes::new())
}

fn encoded<T: Serialize>(message: &T) -> Answer {
    match codec::encode(message) {
        Ok(bytes) => respond(StatusCode::OK, bytes.into()),
        Err(err) => {
            log::error!(event = "peer_unwritable"; "answer to a peer could not be encoded: {err}");
            respond(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
        }
    }
}

fn respond(status: StatusCode, body: Bytes) -> Answer {
    let mut answer = Response::new(AnswerBody::Whole(body));
    *answer.status_mut() = status;
    answer
}
