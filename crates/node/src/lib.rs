//! All decisions of one instance behind one event interface.
