//! Integration tests with real processes.

mod programs;
