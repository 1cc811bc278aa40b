//! One admitted request in an engine.

use tokio::sync::watch;

use super::log::DispatchEnd;

/// Progress of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Progress {
    /// Number of tokens generated.
    pub(crate) produced: u32,
    /// How the stream ended, or that it is running.
    pub(crate) end: DispatchEnd,
}

/// Phase of a stream in the engine, for the load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It waits for a slot of the batch or for its prefill.
    Waiting,
    /// Its prompt is being prefilled.
    Prefill,
    /// Its answer is being generated.
    Decode,
    /// It has ended.
    Ended,
}

impl Phase {
    /// Returns whether the stream occupies a slot of the batch.
    pub(crate) fn is_running(self) -> bool {
        matches!(self, Self::Prefill | Self::Decode)
    }
}

/// A parsed completion request.
#[derive(Debug, Clone)]
pub(crate) struct CompletionRequest {
    pub(crate) request_id: String,
    pub(crate) version: String,
    pub(crate) route: String,
    pub(crate) chat: bool,
    pub(crate) streamed: bool,
    pub(crate) prompt_tokens: u32,
    pub(crate) prefix: Option<String>,
    pub(crate) prefix_tokens: u32,
    pub(crate) output_tokens: u32,
}

/// One admitted request.
#[derive(Debug)]
pub(crate) struct Stream {
    pub(crate) id: u64,
    /// Index of the request's entry in the log.
    pub(crate) log_index: usize,
    pub(crate) request: CompletionRequest,
    pub(crate) progress: watch::Sender<Progress>,
    pub(crate) readers: watch::Sender<u32>,
}

impl Stream {
    pub(crate) fn new(id: u64, log_index: usize, request: CompletionRequest) -> Self {
        let progress = watch::Sender::new(Progress { produced: 0, end: DispatchEnd::Running });
        Self { id, log_index, request, progress, readers: watch::Sender::new(0) }
    }

    /// Ends the stream unless it has already ended.
    pub(crate) fn stop(&self, end: DispatchEnd) {
        self.progress.send_if_modified(|progress| {
            let is_running = progress.end == DispatchEnd::Running;
            if is_running {
                progress.end = end;
            }
            is_running
        });
    }

    /// Raises the number of generated tokens.
    pub(crate) fn produce(&self, produced: u32) {
        self.progress.send_if_modified(|progress| {
            let advanced = progress.end == DispatchEnd::Running && produced > progress.produced;
            if advanced {
                progress.produced = produced;
            }
            advanced
        });
    }

    /// Waits until the stream has ended.
    pub(crate) async fn ended(&self) {
        let mut progress = self.progress.subscribe();
        let _ = progress.wait_for(|progress| progress.end != DispatchEnd::Running).await;
    }
}

/// Counts as one reader of a stream until it is dropped.
#[derive(Debug)]
pub(crate) struct Reader(pub(crate) std::sync::Arc<Stream>);

impl Reader {
    pub(crate) fn new(stream: std::sync::Arc<Stream>) -> Self {
        stream.readers.send_modify(|count| *count += 1);
        Self(stream)
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.0.readers.send_modify(|count| *count -= 1);
    }
}
