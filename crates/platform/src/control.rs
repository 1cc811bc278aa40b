//! Performs the calls to the platform that the state machines for leases and submissions request.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use sesamewind_membership::{
    CONFIG_KEY, ConfigRow, LeaseAnswer, LeaseCall, LeaseRow, SubmitAnswer, SubmitCall,
};

use crate::{Platform, Put, Row, StoreError};

/// Reads the pointer row of the accepted configuration; `None` if there is none yet.
///
/// # Errors
///
/// Returns a [`StoreError`] if the row could not be read or parsed.
pub async fn read_config(platform: &Platform) -> Result<Option<ConfigRow>, StoreError> {
    platform.row(CONFIG_KEY).await?.map(parse).transpose()
}

/// Performs a call of the lease state machine and returns its result.
pub async fn call_lease(platform: &Platform, call: &LeaseCall) -> LeaseAnswer {
    match call {
        LeaseCall::Read { key } => match platform.row(key).await {
            Ok(None) => LeaseAnswer::Absent,
            Ok(Some(row)) => lease_row(row),
            // A failed read had no effect, whatever the reason.
            Err(_) => LeaseAnswer::Unavailable,
        },
        LeaseCall::Write { key, expected, row } => {
            match platform.put_row(key, *expected, &to_value(row)).await {
                Ok(Put::Stored(revision)) => LeaseAnswer::Stored { revision },
                Ok(Put::Conflict(row)) if row.revision == 0 => LeaseAnswer::Absent,
                Ok(Put::Conflict(row)) => lease_row(row),
                Err(error) if error.may_have_run() => LeaseAnswer::Unknown,
                Err(_) => LeaseAnswer::Unavailable,
            }
        }
    }
}

fn lease_row(row: Row) -> LeaseAnswer {
    let revision = row.revision;
    match parse::<LeaseRow>(row) {
        Ok(row) => LeaseAnswer::Row { revision, row },
        Err(_) => LeaseAnswer::Unavailable,
    }
}

/// Performs a call of the submission state machine and returns its result. `content` is the
/// submitted content.
pub async fn call_submit(platform: &Platform, call: &SubmitCall, content: &Bytes) -> SubmitAnswer {
    match call {
        SubmitCall::ReadPointer => match read_config(platform).await {
            Ok(row) => SubmitAnswer::Pointer(row),
            Err(_) => SubmitAnswer::Unavailable,
        },
        SubmitCall::PutContent { hash } => match platform.put_object(hash, content.clone()).await {
            Ok(()) => SubmitAnswer::Stored,
            Err(_) => SubmitAnswer::Unavailable,
        },
        SubmitCall::WritePointer { expected, row } => {
            match platform.put_row(CONFIG_KEY, *expected, &to_value(row)).await {
                Ok(Put::Stored(_)) => SubmitAnswer::Stored,
                Ok(Put::Conflict(row)) if row.revision == 0 => SubmitAnswer::Conflict(None),
                Ok(Put::Conflict(row)) => match parse(row) {
                    Ok(row) => SubmitAnswer::Conflict(Some(row)),
                    Err(_) => SubmitAnswer::Unavailable,
                },
                Err(error) if error.may_have_run() => SubmitAnswer::Unknown,
                Err(_) => SubmitAnswer::Unavailable,
            }
        }
    }
}

fn parse<T: DeserializeOwned>(row: Row) -> Result<T, StoreError> {
    serde_json::from_value(row.value).map_err(|error| StoreError::Malformed(error.to_string()))
}

fn to_value<T: Serialize>(content: &T) -> Value {
    serde_json::to_value(content).unwrap_or_default()
}
