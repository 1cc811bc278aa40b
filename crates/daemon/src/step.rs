//! What the control thread tells a request's job to do, and what the job tells back.

use std::sync::Arc;

use sesamewind_protocol::VersionId;

use crate::answer::Answer;
use crate::problem::Problem;
use crate::targets::TargetAddress;

/// An order of the control thread to a request's job.
#[derive(Debug)]
pub enum Step {
    /// Ask for leave to write, then send the request to this target.
    Dispatch {
        /// Where to send it.
        at: TargetAddress,
        /// The version that is to serve it.
        version: VersionId,
    },
    /// The request may be written now.
    Go,
    /// Resume the stream over a new connection.
    Resume,
    /// End the request with this answer; nothing runs for it.
    Refuse(Problem),
    /// Stop what runs at the target, and end the request with this answer.
    Cancel(Problem),
    /// Read the answer of another instance, which holds this request.
    Attach {
        /// The holder's address for messages between instances.
        address: String,
    },
    /// Read an answer that this instance holds.
    AttachLocal(Arc<Answer>),
}
