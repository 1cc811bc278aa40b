//! Peers, targets and leases as state machines without sockets.
