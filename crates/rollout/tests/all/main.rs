//! Tests of the rollout decisions on a small world of instances, a table service and targets.

mod brake;
mod deadline;
mod model;
mod rules;
mod share;
mod steward;
mod world;
