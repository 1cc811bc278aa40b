//! What a target states about its request limit, and which of two statements is the later one.

use sesamewind_protocol::Time;

/// A statement of a target, made between `asked` and `heard`.
///
/// Answers overtake each other on different connections, so two statements are in a known order only if
/// one was heard before the request of the other was sent. Of two in no known order, the lower limit
/// holds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Statement {
    /// Requests a second that the target takes from all instances together; none if any number.
    pub(crate) rate: Option<f64>,
    /// When the request was sent whose answer has the statement.
    pub(crate) asked: Time,
    /// When that answer was received.
    pub(crate) heard: Time,
}

impl Statement {
    /// Replaces this statement by a newer or lower one.
    pub(crate) fn update(&mut self, new: Self) {
        if new.heard < self.asked {
            return;
        }
        if new.asked > self.heard {
            *self = new;
        } else if new.bound() < self.bound() {
            *self = Self { asked: self.asked.max(new.asked), ..new };
        } else if new.rate == self.rate {
            self.asked = self.asked.max(new.asked);
            self.heard = self.heard.max(new.heard);
        }
    }

    fn bound(&self) -> f64 {
        self.rate.unwrap_or(f64::INFINITY)
    }
}
