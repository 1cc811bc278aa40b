//! The simulated cases and the users' request rates.

/// A user's traffic.
#[derive(Debug, Clone, Copy)]
pub(crate) struct User {
    pub(crate) name: &'static str,
    /// Requests per hour, averaged over the day.
    pub(crate) per_hour: f64,
    /// Time from the acceptance of the sheet to the deadline, in hours.
    pub(crate) hours: f64,
    /// Time between two ticks of the simulated instance, in seconds.
    pub(crate) tick_s: u64,
}

pub(crate) const USERS: [User; 2] = [
    User { name: "bomba", per_hour: 7200.0, hours: 2.0, tick_s: 5 },
    User { name: "derwent", per_hour: 120.0, hours: 12.0, tick_s: 30 },
];

/// How the new version differs from the old one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Fault {
    None,
    /// This fraction of all requests fails.
    Fails(f64),
    /// All requests fail from this many minutes after the first one.
    FailsFrom(f64),
    /// This fraction of the requests fails while the load is over half of the peak.
    FailsUnderLoad(f64),
    /// This fraction of the requests of one of the six routes fails.
    FailsOnRoute(f64),
    /// Times to first token are multiplied by this factor.
    Slower(f64),
    /// All requests fail after this fraction of the time to the deadline. Full share is reached
    /// earlier.
    FailsFromFraction(f64),
}

/// A condition that affects both versions alike.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Condition {
    Normal,
    /// Four of nine engines are of an older generation and four times slower.
    OldGeneration,
    /// The request rate is five times higher for ten minutes; times to first token rise with it.
    Burst,
}

/// One simulated case.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Case {
    pub(crate) name: &'static str,
    pub(crate) fault: Fault,
    pub(crate) condition: Condition,
}

const fn case(name: &'static str, fault: Fault, condition: Condition) -> Case {
    Case { name, fault, condition }
}

pub(crate) const CASES: [Case; 12] = [
    case("good", Fault::None, Condition::Normal),
    case("good beside slow generation", Fault::None, Condition::OldGeneration),
    case("good in a burst", Fault::None, Condition::Burst),
    case("fails outright", Fault::Fails(1.0), Condition::Normal),
    case("fails 5%", Fault::Fails(0.05), Condition::Normal),
    case("fails 2%", Fault::Fails(0.02), Condition::Normal),
    case("fails from minute ten", Fault::FailsFrom(10.0), Condition::Normal),
    case("fails 30% above half load", Fault::FailsUnderLoad(0.3), Condition::Normal),
    case("fails 50% on one route of six", Fault::FailsOnRoute(0.5), Condition::Normal),
    case("1.5 times slower", Fault::Slower(1.5), Condition::Normal),
    case("3 times slower", Fault::Slower(3.0), Condition::Normal),
    case("fails outright after full share", Fault::FailsFromFraction(0.75), Condition::Normal),
];
