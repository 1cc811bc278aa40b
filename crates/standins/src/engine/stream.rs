//! One admitted request inside an engine.

use tokio::sync::watch;

use super::log::DispatchEnd;

/// How far a stream has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Progress {
    /// Tokens generated.
    pub(crate) produced: u32,
    /// How it ended.
    pub(crate) end: DispatchEnd,
}

/// Where a stream stands inside the engine, for the load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Waits for a place in the batch or for its prefill.
    Waiting,
    /// Its prompt is taken in.
    Prefill,
    /// Its answer is generated.
    Decode,
    /// It has ended.
    Over,
}

impl Phase {
    /// Whether the stream takes a place in the batch.
    pub(crate) fn runs(self) -> bool {
        matches!(self, Self::Prefill | Self::Decode)
    }
}

/// What the caller asked for.
#[derive(Debug, Clone)]
pub(crate) struct Ask {
    pub(crate) request: String,
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
    pub(crate) entry: usize,
    pub(crate) ask: Ask,
    pub(crate) progress: watch::Sender<Progress>,
    pub(crate) readers: watch::Sender<u32>,
}

impl Stream {
    pub(crate) fn new(id: u64, entry: usize, ask: Ask) -> Self {
        let progress = watch::Sender::new(Progress { produced: 0, end: DispatchEnd::Running });
        Self { id, entry, ask, progress, readers: watch::Sender::new(0) }
    }

    /// Ends the stream unless it has ended already.
    pub(crate) fn stop(&self, end: DispatchEnd) {
        self.progress.send_if_modified(|progress| {
            let runs = progress.end == DispatchEnd::Running;
            if runs {
                progress.end = end;
            }
            runs
        });
    }

    /// Raises the number of generated tokens.
    pub(crate) fn produce(&self, produced: u32) {
        self.progress.send_if_modified(|progress| {
            let more = progress.end == DispatchEnd::Running && produced > progress.produced;
            if more {
                progress.produced = produced;
            }
            more
        });
    }

    /// Waits until the stream has ended.
    pub(crate) async fn ended(&self) {
        let mut progress = self.progress.subscribe();
        let _ = progress.wait_for(|progress| progress.end != DispatchEnd::Running).await;
    }
}

/// Counts one reader of a stream while it lives.
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
