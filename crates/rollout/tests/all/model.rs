//! Model test.
