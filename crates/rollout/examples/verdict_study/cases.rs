//! The cases and the users' request rates.

/// A user's traffic.
#[derive(Debug, Clone, Copy)]
pub(crate) struct User {
    pub(crate) name: &'static str,
    /// Requests an hour, on average over the day.
    pub(crate) per_hour: f64,
    /// Hours from the acceptance of the sheet to the deadline.
    pub(crate) hours: f64,
    /// Seconds between two ticks of the simulated instance.
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
    /// Part of all requests fails.
    Fails(f64),
    /// All requests fail from this minute after the first one on.
    FailsFrom(f64),
    /// Part of the requests fails while the load is over half of the peak.
    FailsUnderLoad(f64),
    /// Part of the requests of one route of six fails.
    FailsOnRoute(f64),
    /// Times to first token are multiplied.
    Slower(f64),
    /// All requests fail from this part of the time to the deadline on, after full share.
    TurnsAt(f64),
}

/// What else goes on, at both versions alike.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Scene {
    Usual,
    /// Four of nine engines are of an older generation, four times slower.
    OldGeneration,
    /// Five times the requests for ten minutes, and times to first token rise accordingly.
    Burst,
}

/// One case.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Case {
    pub(crate) name: &'static str,
    pub(crate) fault: Fault,
    pub(crate) scene: Scene,
}

const fn case(name: &'static str, fault: Fault, scene: Scene) -> Case {
    Case { name, fault, scene }
}

pub(crate) const CASES: [Case; 12] = [
    case("good", Fault::None, Scene::Usual),
    case("good beside slow generation", Fault::None, Scene::OldGeneration),
    case("good in a burst", Fault::None, Scene::Burst),
    case("fails outright", Fault::Fails(1.0), Scene::Usual),
    case("fails 5%", Fault::Fails(0.05), Scene::Usual),
    case("fails 2%", Fault::Fails(0.02), Scene::Usual),
    case("fails from minute ten", Fault::FailsFrom(10.0), Scene::Usual),
    case("fails 30% above half load", Fault::FailsUnderLoad(0.3), Scene::Usual),
    case("fails 50% on one route of six", Fault::FailsOnRoute(0.5), Scene::Usual),
    case("1.5 times slower", Fault::Slower(1.5), Scene::Usual),
    case("3 times slower", Fault::Slower(3.0), Scene::Usual),
    case("fails outright after full share", Fault::TurnsAt(0.75), Scene::Usual),
];
