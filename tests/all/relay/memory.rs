//! Memory for answers that are read whole.

use std::net::SocketAddr;

use sesamewind_relay::memory::{
    AnswerBuffer, AnswerMemory, FREE_TARGET_BYTES, MAX_TARGET_BYTES, MAX_TOTAL_BYTES,
};

/// Size of one part of an answer, in bytes.
const PART: usize = 16_384;

fn address(target: u8) -> SocketAddr {
    ([127, 0, 0, target], 80).into()
}

/// Appends parts until the memory is used up; returns the buffer and its size.
fn fill(memory: &AnswerMemory, target: u8) -> (AnswerBuffer, usize) {
    let mut answer = memory.buffer(address(target));
    let mut size = 0;
    while answer.push(&[0; PART]).is_ok() {
        size += PART;
    }
    (answer, size)
}

/// Guards against targets that fill the memory, and against their keeping out the answers of others.
#[test]
fn answers_are_bounded_for_each_target_and_in_total() {
    let memory = AnswerMemory::default();
    let (first, size) = fill(&memory, 1);
    assert_eq!(size, MAX_TARGET_BYTES);
    assert_eq!(fill(&memory, 1).1, 0);
    let others: Vec<_> = (2..=4).map(|target| fill(&memory, target)).collect();
    assert_eq!(memory.used(), MAX_TOTAL_BYTES);
    let (small, size) = fill(&memory, 5);
    assert_eq!(size, FREE_TARGET_BYTES);
    // The memory is released with the last bytes of an answer.
    drop((others, small));
    let bytes = first.freeze();
    let part = bytes.slice(1..2);
    drop(bytes);
    assert_eq!(memory.used(), MAX_TARGET_BYTES);
    drop(part);
    assert_eq!(memory.used(), 0);
}
