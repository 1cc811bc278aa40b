//! Tests of real gateway processes against stand-ins of the users' platform.

mod bodies;
mod brittle;
mod crossings;
mod early_answers;
mod evacuation;
mod explain;
mod faults;
mod floods;
mod hedging;
mod late_answers;
mod limits;
mod memory;
mod notices;
mod path;
mod placement;
mod quarantine;
mod reach;
mod rollouts;
mod set_back;
mod silence;
mod state;
mod stops;
mod suspensions;
mod testbed;
mod unanswered;
mod unframed;
