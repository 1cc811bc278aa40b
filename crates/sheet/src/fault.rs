//! Faults found in a sheet, each with its row, column and numbered code.

use std::fmt;

use sesamewind_protocol::operator::SheetFault;

macro_rules! fault_codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $slug:literal;)*) => {
        /// Code of a kind of fault, with a stable number and name.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum FaultCode {
            $($(#[$doc])* $name,)*
        }

        impl FaultCode {
            /// All codes, in ascending order of their numbers.
            pub const ALL: &'static [FaultCode] = &[$(FaultCode::$name,)*];

            /// Returns the number of the code.
            pub fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// Returns the short name of the code.
            pub fn slug(self) -> &'static str {
                match self { $(Self::$name => $slug,)* }
            }
        }
    };
}

fault_codes! {
    /// The sheet exceeds the size limit.
    TooLarge = 2101, "too-large";
    /// A cell is not UTF-8 text.
    NotText = 2102, "not-text";
    /// A cell contains a quote or a control character, for example because a closing quote is
    /// missing.
    Malformed = 2103, "malformed";
    /// The sheet has no row below the header.
    NoRows = 2104, "no-rows";
    /// A column is missing from the header.
    MissingColumn = 2105, "missing-column";
    /// The header names an unknown column.
    UnknownColumn = 2106, "unknown-column";
    /// The header names a column twice.
    DuplicateColumn = 2107, "duplicate-column";
    /// A row has more or fewer cells than the header.
    CellCount = 2108, "cell-count";
    /// A row has an unknown kind.
    UnknownKind = 2109, "unknown-kind";
    /// A cell that the row's kind requires is empty.
    MissingValue = 2110, "missing-value";
    /// A cell that the row's kind does not use is not empty.
    UnexpectedValue = 2111, "unexpected-value";
    /// A name is too long or contains an invalid character.
    BadName = 2112, "bad-name";
    /// A number can't be parsed or is out of range.
    BadNumber = 2113, "bad-number";
    /// A key hash is not 64 hexadecimal digits.
    BadKeyHash = 2114, "bad-key-hash";
    /// An address is not an IP address and port that can be connected to.
    BadAddress = 2115, "bad-address";
    /// A cell is neither `yes` nor `no`.
    BadFlag = 2116, "bad-flag";
    /// A service's class is neither `model` nor `plain`.
    BadClass = 2117, "bad-class";
    /// A route is too long, contains an invalid character or does not have the form that the
    /// service's class requires.
    BadRoute = 2118, "bad-route";
    /// A deadline is neither RFC 3339 in UTC nor Unix milliseconds.
    BadDeadline = 2119, "bad-deadline";
    /// A share is not a number above 0 and at most 1.
    BadShare = 2120, "bad-share";
    /// A tier's time to the first token exceeds its total time.
    TimeOrder = 2121, "time-order";
    /// Two rows of one kind have the same name.
    DuplicateName = 2122, "duplicate-name";
    /// Two tiers have the same rank.
    DuplicateRank = 2123, "duplicate-rank";
    /// Two accounts have the same key.
    DuplicateKey = 2124, "duplicate-key";
    /// Two targets have the same address.
    DuplicateAddress = 2125, "duplicate-address";
    /// Two rows of a service have the same route.
    DuplicateRoute = 2126, "duplicate-route";
    /// A row names a tier that the sheet does not contain.
    UnknownTier = 2127, "unknown-tier";
    /// A row names a service that the sheet does not contain.
    UnknownService = 2128, "unknown-service";
    /// A target's version is neither in use nor part of a rollout of its service, or a rollout that
    /// is not completed starts from a version that is not in use.
    UnknownVersion = 2129, "unknown-version";
    /// A later row of a service contradicts its first row.
    ServiceMismatch = 2130, "service-mismatch";
    /// A rollout's old and new version are the same.
    SameVersion = 2131, "same-version";
    /// A service has two rollouts.
    SecondRollout = 2132, "second-rollout";
}

impl fmt::Display for FaultCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.number(), self.slug())
    }
}

/// A fault found in a sheet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Row number as in a spreadsheet: the header is row 1.
    pub row: u64,
    /// Column name; empty if the fault concerns the whole row.
    pub column: String,
    /// Kind of the fault.
    pub code: FaultCode,
    /// Explanation for the operator.
    pub message: String,
}

impl Fault {
    pub(crate) fn new(row: u64, column: &str, code: FaultCode, message: String) -> Self {
        Self { row, column: column.to_owned(), code, message }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "row {}", self.row)?;
        if !self.column.is_empty() {
            write!(f, ", column {}", self.column)?;
        }
        write!(f, ": {}: {}", self.code, self.message)
    }
}

impl From<&Fault> for SheetFault {
    fn from(fault: &Fault) -> Self {
        Self {
            row: fault.row,
            column: fault.column.clone(),
            code: fault.code.number(),
            message: fault.message.clone(),
        }
    }
}
