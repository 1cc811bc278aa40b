//! Identifiers of instances, targets, client accounts and requests.

use std::fmt;
use std::hash::Hasher;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use siphasher::sip128::{Hasher128, SipHasher24};

/// Returns a hash of `text` that is the same on every instance.
pub fn text_hash(text: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(text.as_bytes());
    hasher.finish()
}

/// Returns a hash of several texts that is the same on every instance.
pub fn bytes_hash(texts: &[&[u8]]) -> u64 {
    let mut hasher = SipHasher13::new();
    for text in texts {
        hasher.write_usize(text.len());
        hasher.write(text);
    }
    hasher.finish()
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates the identifier from a name.
            pub fn new(name: impl AsRef<str>) -> Self {
                Self(Arc::from(name.as_ref()))
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self::new(name)
            }
        }
    };
}

/// Identity of a part of a prompt, which other prompts may have as well.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PartId(pub u64);

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

name_type! {
    /// Name of an entry instance, unique in a deployment.
    InstanceId
}
name_type! {
    /// Name of an availability zone.
    ZoneId
}
name_type! {
    /// Name of a region, which contains availability zones.
    RegionId
}
name_type! {
    /// Name of a target: a model engine or one replica of a plain service.
    TargetId
}
name_type! {
    /// Name of a client account.
    AccountId
}
name_type! {
    /// Name of a service, which several targets serve.
    ServiceId
}
name_type! {
    /// Name of a version of a service.
    VersionId
}
name_type! {
    /// Name of a route of a service, such as `quote` or `POST /bookings`.
    RouteId
}
name_type! {
    /// Name of a rollout.
    RolloutId
}

/// One run of an instance or a target under one name; each restart begins a new incarnation.
///
/// The value is the start time in Unix milliseconds, so a later incarnation compares greater.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// Revision of the accepted configuration; zero means none.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Identifies a caller's request across all its attempts: a hash of client account and idempotency
/// key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestKey(pub u64, pub u64);

impl RequestKey {
    /// Derives the key of the request that `account` sent with `idempotency_key`.
    pub fn derive(account: &AccountId, idempotency_key: &str) -> Self {
        let mut hasher = SipHasher24::new();
        hasher.write_usize(account.as_str().len());
        hasher.write(account.as_str().as_bytes());
        hasher.write(idempotency_key.as_bytes());
        let hash = hasher.finish128();
        Self(hash.h1, hash.h2)
    }

    /// Parses a key in the form that `Display` writes; returns `None` if `text` is not one.
    pub fn parse(text: &str) -> Option<Self> {
        const HALF_DIGITS: usize = 16;
        let (high, low) = text.split_at_checked(HALF_DIGITS)?;
        if low.len() != HALF_DIGITS {
            return None;
        }
        let high = u64::from_str_radix(high, 16).ok()?;
        let low = u64::from_str_radix(low, 16).ok()?;
        Some(Self(high, low))
    }

    /// Returns the position of the request in `[0, 1)`, equal on every instance. Positions under
    /// different values of `salt` are independent.
    pub fn position(&self, salt: &str) -> f64 {
        const MANTISSA_BITS: u32 = 53;
        let mut hasher = SipHasher24::new();
        hasher.write_u64(self.0);
        hasher.write_u64(self.1);
        hasher.write(salt.as_bytes());
        let bits = hasher.finish() >> (u64::BITS - MANTISSA_BITS);
        bits as f64 / (1u64 << MANTISSA_BITS) as f64
    }
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}{:016x}", self.0, self.1)
    }
}
