//! A transport that answers from a script.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

use sesamewind_platform::{Reply, ReplyFuture, Request, Transport, TransportError};

/// What the transport does with one request.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Act {
    /// Answers.
    Reply(u16, &'static str),
    /// Fails before anything was sent.
    NotSent,
    /// Closes the connection after the request was sent.
    NoAnswer,
    /// Never answers.
    Hang,
}

/// A transport that answers from a script and records the requests. The last act is repeated.
#[derive(Debug, Clone, Default)]
pub(crate) struct ScriptedTransport {
    acts: Arc<Mutex<VecDeque<Act>>>,
    sent: Arc<Mutex<Vec<Request>>>,
}

impl ScriptedTransport {
    pub(crate) fn new(acts: &[Act]) -> Self {
        let script = Self::default();
        script.acts.lock().unwrap().extend(acts);
        script
    }

    pub(crate) fn sent(&self) -> Vec<Request> {
        self.sent.lock().unwrap().clone()
    }

    fn next(&self) -> Act {
        let mut acts = self.acts.lock().unwrap();
        if acts.len() > 1 { acts.pop_front().unwrap() } else { acts[0] }
    }
}

impl Transport for ScriptedTransport {
    fn send(&self, request: Request) -> ReplyFuture {
        self.sent.lock().unwrap().push(request);
        let act = self.next();
        Box::pin(async move {
            match act {
                Act::Reply(status, body) => Ok(Reply { status, body: body.into() }),
                Act::NotSent => Err(TransportError::NotSent("refused".to_owned())),
                Act::NoAnswer => Err(TransportError::NoAnswer("reset".to_owned())),
                Act::Hang => std::future::pending().await,
            }
        })
    }
}
