//! The newest accepted configuration that an instance knows of and the one that it has in force.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use sesamewind_protocol::message::ConfigDigest;
use sesamewind_protocol::{InstanceId, Revision};

/// Key of the table row that points at the accepted configuration.
pub const CONFIG_KEY: &str = "config";

/// An earlier acceptance, kept in the pointer row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submitted {
    /// Revision that was accepted.
    pub revision: u64,
    /// Submission that it came from.
    pub submission: String,
}

/// Content of the table row `config`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRow {
    /// Revision of the accepted configuration, equal to that of the row.
    pub revision: u64,
    /// Hash of its content in the object store, in hexadecimal.
    pub hash: String,
    /// Submission that it came from.
    pub submission: String,
    /// Operator that submitted it.
    #[serde(default)]
    pub author: String,
    /// The acceptances before this one, newest first. By them an operator whose answer was lost
    /// learns of the acceptance after another one has followed.
    #[serde(default)]
    pub earlier: VecDeque<Submitted>,
}

impl ConfigRow {
    /// Acceptances that a row keeps besides its own.
    pub const MAX_EARLIER: usize = 32;

    /// Revision under which `submission` was accepted, as far back as the row tells.
    pub fn accepted(&self, submission: &str) -> Option<Revision> {
        if self.submission == submission {
            return Some(Revision(self.revision));
        }
        let earlier = self.earlier.iter().find(|earlier| earlier.submission == submission)?;
        Some(Revision(earlier.revision))
    }

    /// The row that follows this one.
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

/// Where a configuration can be had.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// The platform's object store.
    Store,
    /// Another instance.
    Peer(InstanceId),
}

/// A content to be fetched.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fetch {
    /// Revision of the configuration.
    pub revision: Revision,
    /// Hash of the content, which the fetched bytes must have.
    pub hash: String,
    /// Where to ask.
    pub source: Source,
}

/// Result of handing over a fetched content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstallOutcome {
    /// The configuration is in force.
    InForce,
    /// A configuration of this or a higher revision is in force already.
    Stale,
}

/// A configuration that is known of but not in force, and the sources still to be asked.
#[derive(Debug)]
struct Wanted {
    digest: ConfigDigest,
    fetching: Option<Source>,
    sources: VecDeque<Source>,
}

/// The configuration in force and the newer one that is being fetched.
///
/// The revision in force only rises, whatever the store or other instances say.
#[derive(Debug, Default)]
pub struct ConfigState {
    in_force: ConfigDigest,
    wanted: Option<Wanted>,
    stale: u64,
    mismatched: u64,
}

impl ConfigState {
    /// Starts with no configuration.
    pub fn new() -> Self {
        Self::default()
    }

    /// The configuration in force; revision zero if there is none.
    pub fn in_force(&self) -> &ConfigDigest {
        &self.in_force
    }

    /// Whether a configuration is in force.
    pub fn is_ready(&self) -> bool {
        self.in_force.revision > Revision(0)
    }

    /// The newest revision known of, whether in force or not.
    pub fn newest(&self) -> Revision {
        let wanted = self.wanted.as_ref().map(|wanted| wanted.digest.revision);
        wanted.unwrap_or_default().max(self.in_force.revision)
    }

    /// Offers of a revision below the one in force: stale reads and instances that lag.
    pub fn stale_offers(&self) -> u64 {
        self.stale
    }

    /// Offers that name another content for a revision already known; the first one stands.
    pub fn mismatched_offers(&self) -> u64 {
        self.mismatched
    }

    /// Hears that `source` holds the configuration `revision` with content `hash`.
    ///
    /// Returns what to fetch when that is new. While a fetch of the same revision is on its way the
    /// source is kept for when it fails.
    pub fn offer(&mut self, revision: Revision, hash: &str, source: Source) -> Option<Fetch> {
        if revision <= self.in_force.revision {
            self.count_rejected(revision, hash);
            return None;
        }
        // A sender that takes this instance to hold the revision already leaves the hash out.
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

    /// Hears that the fetched content of `revision` was read, checked and may be put in force.
    ///
    /// The caller puts it in force only on [`InstallOutcome::InForce`].
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

    /// Hears that `fetch` failed and returns the next source to ask. Without one left the next offer
    /// starts again.
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
    /// Sources kept for one configuration.
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
