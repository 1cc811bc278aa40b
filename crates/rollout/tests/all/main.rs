//! Tests of the rollout logic in a simulation of instances, a table service and targets.

mod deadline;
mod halt;
mod leader;
mod model;
mod rules;
mod share;
mod simulation;
