//! Resends of a request, which read the answer of another attempt.

use std::sync::Arc;

use sesamewind_protocol::Code;

use super::Job;
use crate::answer::{Answer, Ending, Reader};
use crate::problem::Problem;

impl Job {
    /// Copies the answer that a peer holds. Returns `None` if the peer is lost before the end.
    pub(super) async fn attach(&mut self, address: &str) -> Option<Ending> {
        let mut from = 0;
        loop {
            let part = self.context.peers.answer(address, self.key, from).await.ok()?;
            if let Some(head) = part.head {
                self.answer.start(head);
            }
            from += part.chunks.len();
            for chunk in part.chunks {
                self.answer.push(chunk);
            }
            if let Some(ending) = part.ending {
                return Some(ending);
            }
            if self.answer.readers() == 0 {
                return Some(Ending::Problem(Problem::unknown(Code::CallerGone, "")));
            }
        }
    }

    pub(super) async fn copy_local(&mut self, other: Arc<Answer>) -> Ending {
        let mut reader = Reader::new(other);
        match reader.head().await {
            Ok(head) => self.answer.start(head),
            Err(problem) => return Ending::Problem(problem),
        }
        loop {
            match reader.chunks().await {
                Ok(chunks) if chunks.is_empty() => return Ending::Complete,
                Ok(chunks) => chunks.into_iter().for_each(|chunk| self.answer.push(chunk)),
                Err(problem) => return Ending::Problem(problem),
            }
            if self.answer.readers() == 0 {
                return Ending::Problem(Problem::unknown(Code::CallerGone, ""));
            }
        }
    }
}
