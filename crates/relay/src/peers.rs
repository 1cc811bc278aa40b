//! Periodic exchange of state with the other instances, and the inner listener's requests.
//!
//! Of two instances, the one with the smaller name sends its state and receives the other's in the
//! answer, so that one exchange serves both. An instance that reads the announcement of a peer with
//! a smaller name introduces itself to that peer, which may not have read its announcement yet.

use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt::Display;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body::Body;
use http_body_util::{BodyExt, Collected, Full, Limited};
use rand::RngExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use sesamewind_gateway::Event;
use sesamewind_protocol::codec;
use sesamewind_protocol::placement::{PLACEMENT_PATH, PlacementQuery};
use sesamewind_protocol::relay::{RelayUpdate, RowsReply, RowsRequest};
use sesamewind_protocol::{InstanceId, ZoneId};
use sesamewind_settings::Secret;
use tokio::time::sleep;

use crate::answer::{Answer, AnswerBody};
use crate::callers;
use crate::driver::Driver;
use crate::exchange::Surroundings;
use crate::passing::PASS_PATH;
use crate::placement;
use crate::pool::Pool;
use crate::source::Announcement;
use crate::watched::RequestBody;

/// Path of the exchange on the inner listener.
const EXCHANGE_PATH: &str = "/peers/exchange";

/// Path on the inner listener that serves cached rows of the store.
const ROWS_PATH: &str = "/peers/rows";

/// Path of the metrics on the inner listener.
const METRICS_PATH: &str = "/metrics";

/// Prefix of a bearer token.
const BEARER: &str = "Bearer ";

/// Timeout of a call to a peer.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest pause between failed exchanges, unless the regular interval is longer.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// Time without a successful exchange after which a peer is removed, until it calls or its
/// announcement is read again.
const PEER_TIMEOUT: Duration = Duration::from_secs(20);

/// Number of attempts to introduce this instance to a peer. If all fail, the peer discovers this
/// instance by its announcement.
const INTRODUCTION_ATTEMPTS: u32 = 5;

/// The known peers, and the exchange with them.
#[derive(Debug)]
pub struct Peers {
    driver: Rc<Driver>,
    me: InstanceId,
    token: Secret,
    pool: Pool,
    zone: ZoneId,
    known: RefCell<HashMap<InstanceId, KnownPeer>>,
}

/// Address and availability zone of a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
struct KnownPeer {
    address: SocketAddr,
    zone: ZoneId,
}

impl Peers {
    /// Creates an empty set of peers for the instance `me` in `zone`.
    pub fn new(driver: Rc<Driver>, me: InstanceId, zone: ZoneId, token: Secret) -> Self {
        Self { driver, me, zone, token, pool: Pool::default(), known: RefCell::default() }
    }

    /// Adds the instances that announced themselves in the store.
    pub fn add_announced(self: &Rc<Self>, announced: &[Announcement]) {
        let others = announced.iter().filter(|peer| peer.instance != self.me);
        let others: Vec<_> = others.map(|peer| (&peer.instance, &peer.zone)).collect();
        let now = self.driver.now();
        self.driver.with_gateway_mut(|gateway| gateway.expect_peers(&others, now));
        for peer in announced {
            let known = KnownPeer { address: peer.address, zone: peer.zone.clone() };
            if self.discover(&peer.instance, &known) && peer.instance < self.me {
                let this = Rc::clone(self);
                let name = peer.instance.clone();
                tokio::task::spawn_local(async move { this.introduce(name, known).await });
            }
        }
    }

    /// Calls a peer that is responsible for sending exchanges, so that it discovers this instance.
    async fn introduce(self: Rc<Self>, name: InstanceId, peer: KnownPeer) {
        for failures in 1..=INTRODUCTION_ATTEMPTS {
            let update = self.exchange(&name, peer.address);
            match self.driver.timeout(EXCHANGE_TIMEOUT, update).await {
                Ok(Ok(update)) => return self.receive(&update),
                Ok(Err(err)) => log::debug!("introduction to {name} failed: {err}"),
                Err(_) => log::debug!("introduction to {name} timed out"),
            }
            sleep(self.pause(&name, &peer.zone, failures)).await;
        }
    }

    /// Records a peer and starts exchanges with it if it is new or its address has changed. Returns
    /// whether it is new or changed.
    fn discover(self: &Rc<Self>, name: &InstanceId, peer: &KnownPeer) -> bool {
        if *name == self.me || self.known.borrow().get(name) == Some(peer) {
            return false;
        }
        let address = peer.address;
        self.known.borrow_mut().insert(name.clone(), peer.clone());
        log::info!(event = "peer_met", peer = name.as_str(), address:%; "peer discovered");
        if self.me < *name {
            let this = Rc::clone(self);
            let (name, peer) = (name.clone(), peer.clone());
            tokio::task::spawn_local(async move { this.exchange_with(name, peer).await });
        }
        true
    }

    async fn exchange_with(self: Rc<Self>, name: InstanceId, peer: KnownPeer) {
        let address = peer.address;
        let mut last = self.driver.run_time();
        let mut failures: u32 = 0;
        while self.known.borrow().get(&name) == Some(&peer) {
            let update = self.exchange(&name, address);
            match self.driver.timeout(EXCHANGE_TIMEOUT, update).await {
                Ok(Ok(update)) => {
                    if failures > 0 {
                        log::info!(
                            event = "peer_back",
                            peer = name.as_str(),
                            failures;
                            "peer reachable again"
                        );
                    }
                    last = self.driver.run_time();
                    failures = 0;
                    self.receive(&update);
                }
                outcome => {
                    failures += 1;
                    self.pool.forget(address);
                    if failures == 1 {
                        let err = outcome.map_or_else(
                            |_| "timed out".to_owned(),
                            |result| result.err().unwrap_or_default(),
                        );
                        log::warn!(
                            event = "peer_lost",
                            peer = name.as_str();
                            "exchange failed: {err}"
                        );
                        self.driver.metrics.dependency_lost("peer");
                    }
                    if self.driver.run_time().saturating_sub(last) > PEER_TIMEOUT {
                        self.known.borrow_mut().remove(&name);
                        log::warn!(
                            event = "peer_given_up",
                            peer = name.as_str();
                            "peer removed after timeout"
                        );
                        return;
                    }
                }
            }
            sleep(self.pause(&name, &peer.zone, failures)).await;
        }
    }

    /// Returns the time until the next exchange with the peer `name` in `zone`, after `failures`
    /// consecutive failures.
    fn pause(&self, name: &InstanceId, zone: &ZoneId, failures: u32) -> Duration {
        let known = self.known.borrow();
        let zone_peers = || known.values().filter(|peer| peer.zone == self.zone).count();
        let interval = Surroundings {
            peers: known.len(),
            zone_peers: (*zone == self.zone).then(zone_peers),
            shares_targets: self.driver.with_gateway(|gateway| gateway.shares_targets(name)),
        }
        .interval();
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

    /// Requests rows of the store from the peer at `address`.
    ///
    /// # Errors
    ///
    /// Returns a description of the error if the peer can't be reached or its answer is invalid.
    pub async fn rows(
        &self,
        address: SocketAddr,
        request: RowsRequest,
    ) -> Result<RowsReply, String> {
        let reply = self.call(address, ROWS_PATH, &request);
        let reply = self.driver.timeout(EXCHANGE_TIMEOUT, reply).await;
        reply.unwrap_or_else(|_| Err("timed out".to_owned()))
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

    /// Applies a peer's state, and notes if the peer has newer rows than this instance.
    fn receive(&self, update: &RelayUpdate) {
        self.driver.handle(Event::PeerUpdate(update));
        let address = update.address.parse().ok();
        for topic in self.driver.standing().topics_behind(update) {
            let state = self.driver.topic(topic);
            state.ahead_peer.set(address);
            state.outdated.notify_waiters();
        }
    }

    /// Serves a request on the inner listener.
    pub async fn serve(self: Rc<Self>, request: Request<RequestBody>) -> Answer {
        let (head, body) = request.into_parts();
        match (&head.method, head.uri.path()) {
            (&Method::GET, METRICS_PATH) => {
                respond(StatusCode::OK, self.driver.metrics.render().into())
            }
            (&Method::POST, path @ (EXCHANGE_PATH | ROWS_PATH | PASS_PATH | PLACEMENT_PATH)) => {
                if !self.is_authorized(&head.headers) {
                    log::warn!(event = "peer_unknown"; "request of a peer without a valid token");
                    return respond(StatusCode::UNAUTHORIZED, Bytes::new());
                }
                let connection = body.activity();
                match read(body).await {
                    Ok(bytes) if path == PASS_PATH => {
                        callers::serve_passed(Rc::clone(&self.driver), &bytes, connection).await
                    }
                    Ok(bytes) if path == ROWS_PATH => self.serve_rows(&bytes),
                    Ok(bytes) if path == PLACEMENT_PATH => self.serve_placement(&bytes),
                    Ok(bytes) => self.serve_exchange(&bytes),
                    Err(err) => unreadable(&err),
                }
            }
            _ => respond(StatusCode::NOT_FOUND, Bytes::new()),
        }
    }

    /// Returns whether the head has the token of the peers, which operators' tools send as a bearer
    /// token.
    fn is_authorized(&self, headers: &HeaderMap) -> bool {
        let offered = headers.get(header::AUTHORIZATION).map(HeaderValue::as_bytes);
        let offered = offered.and_then(|bytes| std::str::from_utf8(bytes).ok());
        offered.is_some_and(|offered| {
            self.token.matches(offered.strip_prefix(BEARER).unwrap_or(offered))
        })
    }

    fn serve_placement(&self, bytes: &[u8]) -> Answer {
        let query: PlacementQuery = match serde_json::from_slice(bytes) {
            Ok(query) => query,
            Err(err) => return respond(StatusCode::BAD_REQUEST, err.to_string().into()),
        };
        match placement::explain(&self.driver, query) {
            Ok(placement) => encoded(serde_json::to_vec(&placement)),
            Err((status, text)) => respond(status, text.into()),
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
        encoded(codec::encode(&self.driver.peer_update(&update.from)))
    }

    fn serve_rows(&self, bytes: &[u8]) -> Answer {
        let request: RowsRequest = match codec::decode(bytes) {
            Ok(request) => request,
            Err(err) => return unreadable(&err.to_string()),
        };
        let rows = self.driver.topic(request.topic).cache.borrow().since(request.after);
        encoded(codec::encode(&rows))
    }
}

async fn read<B>(body: B) -> Result<Bytes, String>
where
    B: Body<Data = Bytes, Error = hyper::Error>,
{
    let body = Limited::new(body, codec::MAX_MESSAGE_BYTES).collect().await;
    body.map(Collected::to_bytes).map_err(|err| err.to_string())
}

fn unreadable(err: &str) -> Answer {
    log::warn!(event = "peer_unreadable"; "message of a peer can't be read: {err}");
    respond(StatusCode::BAD_REQUEST, Bytes::new())
}

fn encoded<E: Display>(message: Result<Vec<u8>, E>) -> Answer {
    match message {
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
