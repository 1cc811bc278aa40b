//! Real gateway processes between stand-ins of the users' platform.

mod explain;
mod faults;
mod moves;
mod path;
mod state;
mod stops;
mod world;
