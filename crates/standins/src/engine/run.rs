//! Execution of a request in an engine: waiting for a slot, prefill, decode.

use std::sync::{Arc, Weak};
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};

use super::core::Core;
use super::log::DispatchEnd;
use super::stream::{Phase, Stream};
use crate::clock::wall_now;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
const MAX_SAMPLES: usize = 1_200;
const PREFILL_SLICE: Duration = Duration::from_millis(20);
const CHUNK_INTERVAL: Duration = Duration::from_millis(10);

/// Samples the engine's load periodically for delayed reports, until the engine is dropped.
pub(crate) async fn sample_load(core: Weak<Core>) {
    loop {
        let Some(core) = core.upgrade() else { return };
        if !core.options.report_lag.is_zero() {
            let report = core.measure();
            let mut state = core.state();
            state.samples.push_back((Instant::now(), report));
            if state.samples.len() > MAX_SAMPLES {
                state.samples.pop_front();
            }
        }
        drop(core);
        sleep(SAMPLE_INTERVAL).await;
    }
}

/// Runs `stream` until it is complete, stopped, or abandoned by all its readers.
pub(crate) async fn serve(core: Arc<Core>, stream: Arc<Stream>) {
    tokio::select! {
        () = process(&core, &stream) => stream.stop(DispatchEnd::Complete),
        () = stream.ended() => {}
        () = abandoned(&core, &stream) => stream.stop(DispatchEnd::Abandoned),
    }
    finish(&core, &stream);
}

async fn abandoned(core: &Core, stream: &Stream) {
    let mut readers = stream.readers.subscribe();
    loop {
        if readers.wait_for(|count| *count == 0).await.is_err() {
            return;
        }
        let returned =
            timeout(core.options.abandon_after, readers.wait_for(|count| *count > 0)).await;
        if returned.is_err() {
            return;
        }
    }
}

async fn process(core: &Core, stream: &Stream) {
    let _slot = core.slots.acquire().await;
    prefill(core, stream).await;
    decode(core, stream).await;
}

async fn prefill(core: &Core, stream: &Stream) {
    let _turn = core.prefill.lock().await;
    let req = &stream.request;
    let mut left = {
        let mut state = core.state();
        let hit = match &req.prefix {
            Some(prefix) => state.cache.lookup(prefix, req.prefix_tokens.min(req.prompt_tokens)),
            None => 0,
        };
        state.log.dispatches[stream.log_index].cache_hit = hit;
        req.prompt_tokens - hit
    };
    set_phase(core, stream, Phase::Prefill, left);
    while left > 0 {
        let rate = prefill_rate(core, stream);
        let slice = (rate * PREFILL_SLICE.as_secs_f64()).max(1.0).min(f64::from(left));
        // Counted before the pause, so that a slice cancelled during it counts as spent.
        core.state().log.dispatches[stream.log_index].prefill_spent += slice as u32;
        pause(slice.trunc() / rate).await;
        left -= slice as u32;
        set_phase(core, stream, Phase::Prefill, left);
    }
    let mut state = core.state();
    if let Some(prefix) = &req.prefix {
        state.cache.insert(prefix, req.prefix_tokens, Instant::now());
    }
}

async fn decode(core: &Core, stream: &Stream) {
    let total = stream.request.output_tokens;
    set_phase(core, stream, Phase::Decode, 0);
    core.state().log.dispatches[stream.log_index].first_token = Some(wall_now());
    let mut produced = 1.0_f64.min(f64::from(total));
    stream.produce(produced as u32);
    let mut last = Instant::now();
    while (produced as u32) < total {
        let rate = decode_rate(core, stream);
        let next = (produced.floor() + 1.0 - produced) / rate;
        let remaining = (f64::from(total) - produced) / rate;
        pause(next.max(CHUNK_INTERVAL.as_secs_f64()).min(remaining)).await;
        let now = Instant::now();
        let generated =
            if rate.is_finite() { now.duration_since(last).as_secs_f64() * rate } else { f64::MAX };
        produced = (produced + generated).min(f64::from(total));
        last = now;
        stream.produce(produced as u32);
    }
}

fn prefill_rate(core: &Core, stream: &Stream) -> f64 {
    let slowness = core.slowness(&core.state(), stream);
    core.options.prefill_tokens_per_s / slowness
}

fn decode_rate(core: &Core, stream: &Stream) -> f64 {
    let state = core.state();
    let others = state.running.saturating_sub(1) as f64;
    let batch_slowdown = 1.0 + others / core.options.batch_knee;
    core.options.decode_tokens_per_s / batch_slowdown / core.slowness(&state, stream)
}

async fn pause(seconds: f64) {
    if seconds > 0.0 {
        sleep(Duration::from_secs_f64(seconds)).await;
    }
}

fn set_phase(core: &Core, stream: &Stream, phase: Phase, to_prefill: u32) {
    core.state().set_phase(stream.id, phase, to_prefill);
}

fn finish(core: &Core, stream: &Stream) {
    let progress = *stream.progress.borrow();
    let mut state = core.state();
    state.set_phase(stream.id, Phase::Ended, 0);
    if let Some(loaded) = state.versions.get_mut(&stream.request.version) {
        loaded.running = loaded.running.saturating_sub(1);
    }
    let entry = &mut state.log.dispatches[stream.log_index];
    entry.end = progress.end;
    entry.produced = progress.produced;
    entry.ended = Some(wall_now());
    state.finished.push_back((Instant::now(), stream.id));
}
