//! Exchange of state with the other instances.
//!
//! Of two instances, the one with the smaller name sends its state and gets the other's in the
//! answer, so that one exchange serves both.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use rand::RngExt;
use sesamewind_gateway::{Event, Gateway};
use sesamewind_protocol::InstanceId;
use sesamewind_protocol::codec;
use sesamewind_protocol::relay::RelayNews;
use sesamewind_settings::Secret;
use tokio::time::{Instant, sleep, timeout};

use crate::answer::{Answer, AnswerBody};
use crate::driver::Driver;
use crate::pool::Pool;
use crate::source::Announcement;

/// Path of an exchange on the inner listener.
const EXCHANGE_PATH: &str = "/peers/exchange";

/// Path of the metrics on the inner listener.
const METRICS_PATH: &str = "/metrics";

/// Interval between two exchanges with one peer while there are few peers.
const INTERVAL: Duration = Duration::from_millis(100);

/// Peers up to which [`INTERVAL`] holds; with more, exchanges with each are made less often, so
/// that an instance's cost stays the same.
const INTERVAL_PEERS: usize = 10;

/// Longest time for an exchange.
const EXCHANGE_TIME: Duration = Duration::from_millis(500);

/// Longest pause after failed exchanges.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// Time without an exchange after which a peer is given up until it calls by itself.
const GIVE_UP_TIME: Duration = Duration::from_secs(20);

/// Largest message of a peer, in bytes.
const MESSAGE_BYTES: usize = 1 << 20;

/// The other instances' addresses.
#[derive(Debug)]
pub struct Peers {
    driver: Rc<Driver>,
    me: InstanceId,
    token: Secret,
    pool: Pool,
    known: RefCell<HashMap<InstanceId, SocketAddr>>,
}

impl Peers {
    /// The peers of the instance `me`.
    pub fn new(driver: Rc<Driver>, me: InstanceId, token: Secret) -> Self {
        Self { driver, me, token, pool: Pool::default(), known: RefCell::default() }
    }

    /// Takes instances that announced themselves.
    pub fn learn(self: &Rc<Self>, announced: &[Announcement]) {
        for peer in announced {
            self.meet(&peer.instance, peer.address);
        }
    }

    /// Starts exchanges with a peer that is new or has moved.
    fn meet(self: &Rc<Self>, name: &InstanceId, address: SocketAddr) {
        if *name == self.me || self.known.borrow().get(name) == Some(&address) {
            return;
        }
        self.known.borrow_mut().insert(name.clone(), address);
        log::info!(event = "peer_met", peer = name.as_str(), address:%; "peer known");
        if self.me < *name {
            let this = Rc::clone(self);
            let name = name.clone();
            tokio::task::spawn_local(async move { this.exchange_with(name, address).await });
        }
    }

    async fn exchange_with(self: Rc<Self>, name: InstanceId, address: SocketAddr) {
        let mut last = Instant::now();
        let mut failures: u32 = 0;
        while self.known.borrow().get(&name) == Some(&address) {
            match timeout(EXCHANGE_TIME, self.exchange(&name, address)).await {
                Ok(Ok(news)) => {
                    if failures > 0 {
                        log::info!(event = "peer_back", peer = name.as_str(), failures; "peer back");
                    }
                    last = Instant::now();
                    failures = 0;
                    self.hear(&news);
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
                    if last.elapsed() > GIVE_UP_TIME {
                        self.known.borrow_mut().remove(&name);
                        log::warn!(event = "peer_given_up", peer = name.as_str(); "peer given up");
                        return;
                    }
                }
            }
            sleep(self.pause(failures)).await;
        }
    }

    fn pause(&self, failures: u32) -> Duration {
        let peers = self.known.borrow().len().max(1);
        let factor = peers.div_ceil(INTERVAL_PEERS).max(1);
        let interval = INTERVAL * u32::try_from(factor).unwrap_or(u32::MAX);
        let pause = (interval * (1 << failures.min(4))).min(LONGEST_PAUSE.max(interval));
        pause.mul_f64(rand::rng().random_range(0.9..1.1))
    }

    async fn exchange(&self, name: &InstanceId, address: SocketAddr) -> Result<RelayNews, String> {
        let news = self.driver.news(name);
        let body = codec::encode(&news).map_err(|err| err.to_string())?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(EXCHANGE_PATH)
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
        let body =
            Limited::new(body, MESSAGE_BYTES).collect().await.map_err(|err| err.to_string())?;
        self.pool.put(connection);
        codec::decode(&body.to_bytes()).map_err(|err| err.to_string())
    }

    /// Takes a peer's state.
    fn hear(&self, news: &RelayNews) {
        self.driver.tell(Event::News(news));
        let known = self.driver.look(Gateway::revision);
        if news.revision > known || news.listed > self.driver.listed.get() {
            self.driver.behind.notify_waiters();
        }
    }

    /// Serves the inner listener.
    pub async fn serve(self: Rc<Self>, request: Request<Incoming>) -> Answer {
        let (head, body) = request.into_parts();
        match (&head.method, head.uri.path()) {
            (&Method::GET, METRICS_PATH) => {
                text(StatusCode::OK, self.driver.metrics.render().into())
            }
            (&Method::POST, EXCHANGE_PATH) => {
                let offered = head.headers.get(header::AUTHORIZATION).map(HeaderValue::as_bytes);
                let offered = offered.and_then(|bytes| std::str::from_utf8(bytes).ok());
                if !offered.is_some_and(|offered| self.token.matches(offered)) {
                    log::warn!(event = "peer_unknown"; "exchange without the peers' token");
                    return text(StatusCode::UNAUTHORIZED, Bytes::new());
                }
                self.answer(body).await
            }
            _ => text(StatusCode::NOT_FOUND, Bytes::new()),
        }
    }

    async fn answer(self: &Rc<Self>, body: Incoming) -> Answer {
        let body = match Limited::new(body, MESSAGE_BYTES).collect().await {
            Ok(body) => body.to_bytes(),
            Err(err) => {
                log::warn!(event = "peer_unreadable"; "message of a peer could not be read: {err}");
                return text(StatusCode::BAD_REQUEST, Bytes::new());
            }
        };
        let news: RelayNews = match codec::decode(&body) {
            Ok(news) => news,
            Err(err) => {
                log::warn!(event = "peer_unreadable"; "message of a peer: {err}");
                return text(StatusCode::BAD_REQUEST, Bytes::new());
            }
        };
        if let Ok(address) = news.address.parse() {
            self.meet(&news.from, address);
        }
        self.hear(&news);
        let own = self.driver.news(&news.from);
        match codec::encode(&own) {
            Ok(bytes) => text(StatusCode::OK, bytes.into()),
            Err(err) => {
                log::error!(event = "peer_unwritable"; "own state could not be encoded: {err}");
                text(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
            }
        }
    }
}

fn text(status: StatusCode, body: Bytes) -> Answer {
    let mut answer = Response::new(AnswerBody::Whole(body));
    *answer.status_mut() = status;
    answer
}
