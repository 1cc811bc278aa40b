//! Tests of the operators' tool against a fake instance on the loopback interface.

mod commands;
mod explain;
mod fake;
mod submission;
mod submit;
