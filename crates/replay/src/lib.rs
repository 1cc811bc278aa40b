//! Replays a recorded trace against real daemons and reports each stated outcome.
