//! Exit codes of the tool, and the failures that lead to them.

use std::process::ExitCode;

/// The exit codes as the help lists them.
pub(crate) const HELP: &str = "\
EXIT CODES:
    0  done; for `sheet submit`: accepted and in force on every known instance
    1  refused: the sheet has faults, another sheet was accepted since, or the token is wrong
    2  usage: an argument, file or variable is missing or wrong
    3  unreachable: no instance or no store could be reached; nothing was accepted
    4  accepted, but not in force on every known instance in time
    5  unknown: the answer to a submission was lost; ask again with its `--submission`
    6  the answer was not understood

ENVIRONMENT:
    SESAMEWIND_ADDRESS  addresses as for --address, separated by commas
    SESAMEWIND_TOKEN    the operators' token, unless --token-file is given";

/// Exit code of the tool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// Done.
    Ok = 0,
    /// Refused because of a faulty sheet, a conflict or a wrong token.
    Refused = 1,
    /// An argument, file or environment variable is missing or wrong.
    Usage = 2,
    /// No instance, or no store, could be reached, or the answer to a read was lost; nothing was
    /// accepted.
    Unreachable = 3,
    /// Accepted, but not in force on every known instance in time.
    NotEverywhere = 4,
    /// The answer to a submission was lost.
    Unknown = 5,
    /// The answer could not be parsed.
    InvalidAnswer = 6,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        ExitCode::from(exit as u8)
    }
}

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// An argument, file or environment variable is missing or wrong.
    #[error("{0}")]
    Usage(String),
    /// The instance refused the call.
    #[error("refused: {0}")]
    Refused(String),
    /// No connection could be made.
    #[error("no instance could be reached at {0}")]
    Unreachable(String),
    /// The connection was lost, or the call timed out, after the request was sent.
    #[error("no complete answer from {0}")]
    Lost(String),
    /// The answer could not be parsed.
    #[error("answer from {0} was not understood")]
    InvalidAnswer(String),
}

impl Failure {
    /// Returns the exit code for the failure.
    pub fn exit(&self) -> Exit {
        match self {
            Self::Usage(_) => Exit::Usage,
            Self::Refused(_) => Exit::Refused,
            Self::Unreachable(_) | Self::Lost(_) => Exit::Unreachable,
            Self::InvalidAnswer(_) => Exit::InvalidAnswer,
        }
    }
}
