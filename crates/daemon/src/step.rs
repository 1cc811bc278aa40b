//! Steps that the control thread sends to the job of a request.

use std::sync::Arc;

use sesamewind_protocol::VersionId;

use crate::answer::Answer;
use crate::problem::Problem;
use crate::targets::TargetAddress;

/// An instruction of the control thread to a request's job.
#[derive(Debug)]
pub enum Step {
    /// Ask the control thread for permission to write, then send the request to this target.
    Dispatch {
        /// Where to send it.
        at: TargetAddress,
        /// The version that is to serve it.
        version: VersionId,
    },
    /// The permission to write the request.
    Go,
    /// Resume the stream over a new connection.
    Resume,
    /// End the request with this problem. No target is running it.
    Refuse(Problem),
    /// Cancel the request at the target and end it with this problem.
    Cancel(Problem),
    /// Read the answer from the instance that holds this request.
    Attach {
        /// The holder's address for messages between instances.
        address: String,
    },
    /// Read an answer that this instance holds.
    AttachLocal(Arc<Answer>),
}
