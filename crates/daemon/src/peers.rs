//! HTTP client for other instances.

use std::time::Duration;

use bytes::Bytes;
use reqwest::Client;
use serde::Serialize;
use serde::de::DeserializeOwned;
use sesamewind_platform::{ReadError, read_bounded};
use sesamewind_protocol::RequestKey;
use sesamewind_protocol::codec::{self, CodecError, MAX_MESSAGE_BYTES};
use sesamewind_protocol::message::Exchange;
use sesamewind_protocol::record::{Lookup, LookupReply, RecordsCopy, RecordsRequest};
use sesamewind_settings::{Secret, Settings};

use crate::answer::Part;

/// Timeout of connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of an exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(900);

/// Timeout of transferring a configuration, request records or an answer.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);

/// Error of a call to a peer.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// The peer could not be reached, did not answer in time or answered with an error status.
    #[error("peer did not answer, or refused the request")]
    Http(#[from] reqwest::Error),
    /// The answer broke off, or is too large.
    #[error("peer's answer could not be read")]
    Read(#[from] ReadError),
    /// The message could not be encoded, or the answer could not be decoded.
    #[error("message could not be encoded or decoded")]
    Codec(#[from] CodecError),
}

/// Client for other instances.
#[derive(Debug, Clone)]
pub struct PeerClient {
    http: Client,
    token: Secret,
    lookup_timeout: Duration,
}

impl PeerClient {
    /// Creates a client that uses the token and addresses of the settings.
    pub fn new(settings: &Settings) -> Self {
        let http = Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .local_address(settings.listen.source_ip())
            .tcp_nodelay(true)
            .retry(reqwest::retry::never())
            .no_proxy()
            .build()
            .unwrap_or_default();
        Self {
            http,
            token: settings.tokens.peer.clone(),
            lookup_timeout: settings.records.lookup_timeout,
        }
    }

    /// Exchanges state with the peer at `address`. Returns its answer, the bytes sent and the bytes
    /// received.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if there was no valid answer in time.
    pub async fn exchange(
        &self,
        address: &str,
        message: &Exchange,
    ) -> Result<(Exchange, usize, usize), PeerError> {
        let body = codec::encode(message)?;
        let sent = body.len();
        let answer = self.post(address, "/peer/exchange", body, EXCHANGE_TIMEOUT).await?;
        Ok((codec::decode(&answer)?, sent, answer.len()))
    }

    /// Asks the peer at `address` whether it knows a request.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if there was no valid answer in time.
    pub async fn lookup(&self, address: &str, lookup: &Lookup) -> Result<LookupReply, PeerError> {
        self.ask(address, "/peer/lookup", lookup, self.lookup_timeout).await
    }

    /// Requests the request records of the peer at `address`.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if there was no valid answer in time.
    pub async fn records(
        &self,
        address: &str,
        request: &RecordsRequest,
    ) -> Result<RecordsCopy, PeerError> {
        self.ask(address, "/peer/records", request, TRANSFER_TIMEOUT).await
    }

    /// Sends this instance's request records to the peer at `address`.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if the peer did not confirm in time.
    pub async fn hand_over(&self, address: &str, copy: &RecordsCopy) -> Result<(), PeerError> {
        self.ask(address, "/peer/records-copy", copy, TRANSFER_TIMEOUT).await
    }

    /// Fetches a configuration by its hash.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if the peer does not have it or did not answer in time.
    pub async fn configuration(&self, address: &str, hash: &str) -> Result<Bytes, PeerError> {
        let path = format!("/peer/config/{hash}");
        self.get(address, &path, TRANSFER_TIMEOUT).await
    }

    /// Reads the answer of a request that the peer holds, from chunk `from` on.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if the peer does not hold it or did not answer in time.
    pub async fn answer(
        &self,
        address: &str,
        key: RequestKey,
        from: usize,
    ) -> Result<Part, PeerError> {
        let path = format!("/peer/answer/{key}?from={from}");
        let bytes = self.get(address, &path, TRANSFER_TIMEOUT).await?;
        Ok(codec::decode(&bytes)?)
    }

    async fn get(&self, address: &str, path: &str, timeout: Duration) -> Result<Bytes, PeerError> {
        let url = format!("http://{address}{path}");
        let request = self.http.get(url).bearer_auth(self.token.expose()).timeout(timeout);
        let response = request.send().await?.error_for_status()?;
        Ok(read_bounded(response, MAX_MESSAGE_BYTES).await?)
    }

    async fn ask<Q: Serialize, A: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        message: &Q,
        timeout: Duration,
    ) -> Result<A, PeerError> {
        let answer = self.post(address, path, codec::encode(message)?, timeout).await?;
        Ok(codec::decode(&answer)?)
    }

    async fn post(
        &self,
        address: &str,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<Bytes, PeerError> {
        let url = format!("http://{address}{path}");
        let request =
            self.http.post(url).bearer_auth(self.token.expose()).timeout(timeout).body(body);
        let response = request.send().await?.error_for_status()?;
        Ok(read_bounded(response, MAX_MESSAGE_BYTES).await?)
    }
}
