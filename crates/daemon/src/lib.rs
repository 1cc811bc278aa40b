//! Sockets, threads and actors around the deciding packages.
