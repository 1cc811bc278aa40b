//! MessagePack encoding of the messages between instances, with a limit on their size.
//!
//! Instances of different builds run side by side in a rolling update. A struct is therefore
//! written as a map from the number of a field, in the order of declaration, to its value. It is
//! read in this form, as a map from names, and as an array of all fields.
//!
//! A change of a message keeps to these rules, so that the build before reads it:
//!
//! - A new field comes last in its struct and has `#[serde(default)]`.
//! - A field that is no longer used keeps its place, type and meaning.
//! - Arrays of a fixed length are read with [`read_array`].
//! - A new variant of an enum is sent only once all instances read it.

use std::fmt;
use std::marker::PhantomData;

use serde::de::{DeserializeOwned, IgnoredAny, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize};

use crate::keyed::Keyed;

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
    let mut bytes = Vec::with_capacity(128);
    let mut serializer = rmp_serde::Serializer::new(&mut bytes).with_struct_map();
    Keyed(message).serialize(&mut serializer)?;
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

/// Reads an array of another length than `N` as well: entries that are missing take their default,
/// and further ones are ignored.
///
/// # Errors
///
/// Returns the error of `deserializer` if the value is no sequence of `T`.
pub fn read_array<'de, D, T, const N: usize>(deserializer: D) -> Result<[T; N], D::Error>
where
    D: Deserializer<'de>,
    T: Default + Copy + Deserialize<'de>,
{
    struct Entries<T, const N: usize>(PhantomData<T>);

    impl<'de, T: Default + Copy + Deserialize<'de>, const N: usize> Visitor<'de> for Entries<T, N> {
        type Value = [T; N];

        fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            write!(f, "a sequence of about {N} entries")
        }

        fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<[T; N], A::Error> {
            let mut entries = [T::default(); N];
            for entry in &mut entries {
                let Some(value) = seq.next_element()? else { return Ok(entries) };
                *entry = value;
            }
            while seq.next_element::<IgnoredAny>()?.is_some() {}
            Ok(entries)
        }
    }

    deserializer.deserialize_seq(Entries(PhantomData))
}

fn check_size(bytes: &[u8]) -> Result<(), CodecError> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(CodecError::TooLarge(bytes.len()));
    }
    Ok(())
}
