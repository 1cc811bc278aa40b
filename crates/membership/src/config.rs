//! The configuration in force at an instance, and the newest accepted one that it knows.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use sesamewind_protocol::message::ConfigDigest;
use sesamewind_protocol::{InstanceId, Revision};

/// Key of the pointer row: the table row that names the accepted configuration.
pub const CONFIG_KEY: &str = "config";

/// An earlier accepted submission, kept in the pointer row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submitted {
    /// Revision under which it was accepted.
    pub revision: u64,
    /// Id of the submission.
    pub submission: String,
}

/// Content of the pointer row, `config`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRow {
    /// Revision of the accepted configuration; equal to the revision of the row.
    pub revision: u64,
    /// Hash of its content in the object store, in hexadecimal.
    pub hash: String,
    /// Id of the submission that it came from.
    pub submission: String,
    /// Operator who submitted it.
    #[serde(default)]
    pub author: String,
    /// The submissions accepted before this one, newest first. An operator whose answer was lost
    /// can still learn from them that the submission was accepted after another one has followed.
    #[serde(default)]
    pub earlier: VecDeque<Submitted>,
}

impl ConfigRow {
    /// Maximum number of earlier submissions kept in a row.
    pub const MAX_EARLIER: usize = 32;

    /// Returns the revision under which `submission` was accepted, if the row still contains it.
    pub fn accepted(&self, submission: &str) -> Option<Revision> {
        if self.submission == submission {
            return Some(Revision(self.revision));
        }
        let earlier = self.earlier.iter().find(|earlier| earlier.submission == submission)?;
        Some(Revision(earlier.revision))
    }

    /// Returns the row that replaces this one when the given submission is accepted.
    pub fn successor(&self, hash: &str, submission: &str, author: &str) -> Self {
        let mut earlier = self.earlier.clone();
        if self.revision > 0 {
            let own = Submitted { revision: self.revision, submission: self.submission.clone() };
            earlier.push_front(own);
        }
        earlier.truncate(Self::MAX_EARLIER);
        Self {
            revision: self.revision + 1,
            hash: hash.to_owned(),
            submission: submission.to_owned(),
            author: author.to_owned(),
            earlier,
        }
    }
}

/// Where the content of a configuration can be fetched.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// The platform's object store.
    Store,
    /// Another instance.
    Peer(InstanceId),
}

/// A request to fetch the content of a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fetch {
    /// Revision of the configuration.
    pub revision: Revision,
    /// Hash that the fetched bytes must have.
    pub hash: String,
    /// Where to fetch it.
    pub source: Source,
}

/// Result of [`ConfigState::install`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstallOutcome {
    /// The configuration is now in force.
    InForce,
    /// This or a higher revision was already in force.
    Stale,
}

/// A configuration that is known but not in force, and the sources that can still be tried.
#[derive(Debug)]
struct Wanted {
    digest: ConfigDigest,
    fetching: Option<Source>,
    sources: VecDeque<Source>,
}

/// The configuration in force and the newer one that is being fetched.
///
/// The revision in force never decreases, whatever the store or other instances offer.
#[derive(Debug, Default)]
pub struct ConfigState {
    in_force: ConfigDigest,
    wanted: Option<Wanted>,
    stale: u64,
    mismatched: u64,
}

impl ConfigState {
    /// Creates a state without a configuration.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the configuration in force; its revision is zero if there is none.
    pub fn in_force(&self) -> &ConfigDigest {
        &self.in_force
    }

    /// Whether a configuration is in force.
    pub fn is_ready(&self) -> bool {
        self.in_force.revision > Revision(0)
    }

    /// Returns the highest known revision, whether in force or not.
    pub fn newest(&self) -> Revision {
        let wanted = self.wanted.as_ref().map(|wanted| wanted.digest.revision);
        wanted.unwrap_or_default().max(self.in_force.revision)
    }

    /// Returns the number of offers of a revision below the one in force. They come from stale
    /// reads and from instances that lag behind.
    pub fn stale_offers(&self) -> u64 {
        self.stale
    }

    /// Returns the number of offers whose hash differs from that first seen for the revision. Such
    /// offers are rejected.
    pub fn mismatched_offers(&self) -> u64 {
        self.mismatched
    }

    /// Records that `source` has the configuration `revision` with content `hash`.
    ///
    /// Returns the fetch to make if the revision is new. While a fetch of the same revision is in
    /// flight, the source is kept and tried if that fetch fails.
    pub fn offer(&mut self, revision: Revision, hash: &str, source: Source) -> Option<Fetch> {
        if revision <= self.in_force.revision {
            self.count_rejected(revision, hash);
            return None;
        }
        // A sender omits the hash if it assumes that this instance already has the revision.
        if hash.is_empty() {
            return None;
        }
        match &mut self.wanted {
            Some(wanted) if revision < wanted.digest.revision => None,
            Some(wanted) if revision == wanted.digest.revision => {
                if hash != wanted.digest.hash {
                    self.mismatched += 1;
                    return None;
                }
                wanted.add(source);
                wanted.next()
            }
            _ => {
                let digest = ConfigDigest { revision, hash: hash.to_owned() };
                let sources = VecDeque::from([source]);
                let wanted = self.wanted.insert(Wanted { digest, fetching: None, sources });
                wanted.next()
            }
        }
    }

    fn count_rejected(&mut self, revision: Revision, hash: &str) {
        if revision < self.in_force.revision {
            self.stale += 1;
        } else if !hash.is_empty() && hash != self.in_force.hash {
            self.mismatched += 1;
        }
    }

    /// Records that the content of `revision` was fetched and checked.
    ///
    /// The caller puts it into force only if this returns [`InstallOutcome::InForce`].
    pub fn install(&mut self, revision: Revision, hash: &str) -> InstallOutcome {
        if revision <= self.in_force.revision {
            return InstallOutcome::Stale;
        }
        self.in_force = ConfigDigest { revision, hash: hash.to_owned() };
        if self.wanted.as_ref().is_some_and(|wanted| wanted.digest.revision <= revision) {
            self.wanted = None;
        }
        InstallOutcome::InForce
    }

    /// Records that `fetch` failed; returns the fetch from the next source.
    ///
    /// If no source is left, the next offer of the revision starts a new fetch.
    pub fn on_fetch_failed(&mut self, fetch: &Fetch) -> Option<Fetch> {
        let wanted = self.wanted.as_mut()?;
        if wanted.digest.revision != fetch.revision || wanted.fetching != Some(fetch.source.clone())
        {
            return None;
        }
        wanted.fetching = None;
        wanted.next()
    }
}

impl Wanted {
    /// Maximum number of sources kept for one configuration.
    const MAX_SOURCES: usize = 8;

    fn add(&mut self, source: Source) {
        let known = self.fetching.as_ref() == Some(&source) || self.sources.contains(&source);
        if !known && self.sources.len() < Self::MAX_SOURCES {
            self.sources.push_back(source);
        }
    }

    fn next(&mut self) -> Option<Fetch> {
        if self.fetching.is_some() {
            return None;
        }
        let source = self.sources.pop_front()?;
        self.fetching = Some(source.clone());
        let ConfigDigest { revision, hash } = self.digest.clone();
        Some(Fetch { revision, hash, source })
    }
}
