//! Answers that follow from the request alone, so that callers can check them.

/// Characters of one token, its separating blank included.
pub const TOKEN_CHARS: usize = 9;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// What a received answer turned out to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Check {
    /// The whole answer to the request.
    Whole,
    /// The beginning of the answer, with this many whole tokens.
    Partial(u32),
    /// Not the answer to this request; the first wrong token has this index.
    Wrong(u32),
}

/// Hash of `request` and `salt`, well mixed.
fn hash(request: &str, salt: u64) -> u64 {
    let mut hash = FNV_OFFSET;
    for byte in request.bytes().chain(salt.to_le_bytes()) {
        hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    }
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^ (hash >> 33)
}

/// Position of `request` in `[0, 1)`.
pub fn position(request: &str) -> f64 {
    const MANTISSA_BITS: u32 = 53;
    (hash(request, u64::MAX) >> (u64::BITS - MANTISSA_BITS)) as f64 / (1u64 << MANTISSA_BITS) as f64
}

/// Token `index` of the answer to `request`.
pub fn token(request: &str, index: u32) -> String {
    format!("{:08x} ", hash(request, u64::from(index)) >> 32)
}

/// Tokens `from..to` of the answer to `request`.
pub fn text(request: &str, from: u32, to: u32) -> String {
    (from..to).map(|index| token(request, index)).collect()
}

/// The answer of a plain service to `request` on `path`.
pub fn service_body(request: &str, method: &str, path: &str) -> String {
    format!(
        "{{\"request\":\"{request}\",\"call\":\"{method} {path}\",\"answer\":\"{}\"}}",
        token(request, 0).trim_end()
    )
}

/// Checks `received` against the answer of `tokens` tokens to `request`.
pub fn check(request: &str, tokens: u32, received: &str) -> Check {
    let want = text(request, 0, tokens);
    if received == want {
        return Check::Whole;
    }
    let same = want.bytes().zip(received.bytes()).take_while(|(a, b)| a == b).count();
    let index = u32::try_from(same / TOKEN_CHARS).unwrap_or(u32::MAX);
    if same == received.len() { Check::Partial(index) } else { Check::Wrong(index) }
}
