//! MessagePack encoding of the messages between instances, with a limit on their size.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Largest message that an instance accepts from a peer, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// Why a message could not be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// The message exceeds [`MAX_MESSAGE_BYTES`].
    #[error("message of {0} bytes exceeds the limit of {MAX_MESSAGE_BYTES} bytes")]
    TooLarge(usize),
    /// The bytes are not a message of the expected type.
    #[error("message could not be decoded")]
    Decode(#[from] rmp_serde::decode::Error),
    /// The message could not be encoded.
    #[error("message could not be encoded")]
    Encode(#[from] rmp_serde::encode::Error),
}

/// Encodes `message` as MessagePack.
///
/// # Errors
///
/// Returns [`CodecError::TooLarge`] for a message over [`MAX_MESSAGE_BYTES`], and
/// [`CodecError::Encode`] for one that could not be encoded.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, CodecError> {
    let bytes = rmp_serde::to_vec(message)?;
    check_size(&bytes)?;
    Ok(bytes)
}

/// Decodes a message of type `T`.
///
/// # Errors
///
/// Returns [`CodecError::TooLarge`] for input over [`MAX_MESSAGE_BYTES`], and
/// [`CodecError::Decode`] for bytes that are not a message of type `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    check_size(bytes)?;
    Ok(rmp_serde::from_slice(bytes)?)
}

fn check_size(bytes: &[u8]) -> Result<(), CodecError> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(CodecError::TooLarge(bytes.len()));
    }
    Ok(())
}
