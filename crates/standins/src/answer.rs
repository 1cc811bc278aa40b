//! Answers that are derived from the request alone, so that callers can check them. Parameters
//! named `request` are request IDs.

/// Length of one token in characters, including the space that separates tokens.
pub const TOKEN_CHARS: usize = 9;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Result of comparing a received answer with the expected one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Check {
    /// The complete answer to the request.
    Whole,
    /// The start of the answer, with this many complete tokens.
    Partial(u32),
    /// Not the answer to this request; the first wrong token has this index.
    Wrong(u32),
}

/// Returns the FNV hash of `request` and `salt`, with its high bits mixed into the low ones.
fn hash(request: &str, salt: u64) -> u64 {
    let mut hash = FNV_OFFSET;
    for byte in request.bytes().chain(salt.to_le_bytes()) {
        hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    }
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^ (hash >> 33)
}

/// Returns a fraction in `[0, 1)` that depends on `request` alone.
pub fn fraction(request: &str) -> f64 {
    const MANTISSA_BITS: u32 = 53;
    (hash(request, u64::MAX) >> (u64::BITS - MANTISSA_BITS)) as f64 / (1u64 << MANTISSA_BITS) as f64
}

/// Returns token `index` of the answer to `request`.
pub fn token(request: &str, index: u32) -> String {
    format!("{:08x} ", hash(request, u64::from(index)) >> 32)
}

/// Returns tokens `from..to` of the answer to `request`.
pub fn text(request: &str, from: u32, to: u32) -> String {
    (from..to).map(|index| token(request, index)).collect()
}

/// Returns the answer of a plain service to `request` on `path`.
pub fn service_body(request: &str, method: &str, path: &str) -> String {
    format!(
        "{{\"request\":\"{request}\",\"call\":\"{method} {path}\",\"answer\":\"{}\"}}",
        token(request, 0).trim_end()
    )
}

/// Compares `received` with the answer of `tokens` tokens to `request`.
pub fn check(request: &str, tokens: u32, received: &str) -> Check {
    let expected = text(request, 0, tokens);
    if received == expected {
        return Check::Whole;
    }
    let matching = expected.bytes().zip(received.bytes()).take_while(|(a, b)| a == b).count();
    let index = u32::try_from(matching / TOKEN_CHARS).unwrap_or(u32::MAX);
    if matching == received.len() { Check::Partial(index) } else { Check::Wrong(index) }
}
