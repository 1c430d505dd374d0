//! What operators do with the configuration: check, compare, apply, and look at its state.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cranberrypitch_core::config::{
    ConfigChange, ConfigEdit, ConfigHead, ConfigText, Deployment, Digest, Problems, Shard,
    ShardCount, assemble, diff, split,
};
use cranberrypitch_core::{EditId, Revision};
use derive_more::Display;

use crate::config_store::{Error, Result, head_key, read_head, read_shard, shard_key};
use crate::store::{Error as StoreError, Expected, Put, Store, StoreKey, Version};

/// The options of an [`Operator`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OperatorOptions {
    /// How often an edit with an unknown outcome is read back.
    pub read_backs: u32,
    /// The pause before each of them.
    pub read_back_pause: Duration,
}

impl Default for OperatorOptions {
    fn default() -> Self {
        Self {
            read_backs: 8,
            read_back_pause: Duration::from_millis(250),
        }
    }
}

/// The operator's functions on a store.
#[derive(Debug)]
pub struct Operator<S> {
    store: S,
    options: OperatorOptions,
}

/// The configuration that an operator edits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Current {
    /// The head.
    pub head: ConfigHead,
    /// The text.
    pub text: ConfigText,
}

/// How an edit ended.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The edit is in force from this revision on.
    #[display("accepted as revision {revision}")]
    Accepted {
        /// The revision.
        revision: Revision,
        /// The number of shards that were written.
        shards_written: usize,
    },
    /// Another edit came first, and nothing changed.
    #[display("revision {current} is in force, and the edit was made on revision {edited}")]
    Conflict {
        /// The revision that the operator edited.
        edited: Revision,
        /// The revision in force.
        current: Revision,
        /// What leads from the text in force to the operator's text, if the text could be read.
        changes: Option<Vec<ConfigChange>>,
    },
    /// The edit was not accepted, and nothing changed.
    #[display("not accepted, and nothing changed: {_0}")]
    NotAccepted(Error),
    /// It can't be told whether the edit was accepted; it may still come into force.
    #[display("outcome of edit {edit_id} unknown: {error}")]
    Unknown {
        /// The edit, by which a later look finds out.
        edit_id: EditId,
        /// Why the edit could not be read back.
        error: Error,
    },
}

/// The state of the configuration in the store.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("revision {revision} by edit {edit_id}, {shards} shards, {} watchers", watchers.len())]
pub struct Status {
    /// The revision in force.
    pub revision: Revision,
    /// The edit that made it.
    pub edit_id: EditId,
    /// The edits before it, the latest first.
    pub previous_edits: Vec<EditId>,
    /// What is said about the deployment as a whole.
    pub deployment: Deployment,
    /// The number of shards.
    pub shards: ShardCount,
    /// The keys of the watchers that hold a slot.
    pub watchers: Vec<StoreKey>,
}

/// Reads a text, and returns all its problems when it breaks a rule.
pub fn check(json: &str) -> std::result::Result<ConfigText, Problems> {
    ConfigText::parse(json)
}

impl<S: Store> Operator<S> {
    /// Returns the functions on `store`.
    pub const fn new(store: S, options: OperatorOptions) -> Self {
        Self { store, options }
    }

    /// Returns the configuration in force, or `None` before the first edit.
    pub async fn current(&self) -> Result<Option<Current>> {
        self.read_current(None).await
    }

    /// Reads the configuration in force. Of a text that is `like` it, only the shards that differ are
    /// read, so a comparison costs few calls however large the text is.
    async fn read_current(&self, like: Option<&ConfigText>) -> Result<Option<Current>> {
        // Each edit in between may drop a shard that the older head names.
        const MAX_ATTEMPTS: usize = 5;
        let mut outcome = Ok(None);
        for _ in 0..MAX_ATTEMPTS {
            let Some((head, _)) = read_head(&self.store).await? else {
                return Ok(None);
            };
            outcome = self
                .read_text(&head, like)
                .await
                .map(|text| Some(Current { head, text }));
            if !matches!(outcome, Err(Error::ShardGone { .. })) {
                break;
            }
        }
        outcome
    }

    /// Returns what an edit would change.
    pub async fn diff(&self, text: &ConfigText) -> Result<Vec<ConfigChange>> {
        Ok(match self.read_current(Some(text)).await? {
            Some(current) => diff(&current.text, text),
            None => diff(&empty_text(text), text),
        })
    }

    /// Returns the state of the configuration, or `None` before the first edit.
    pub async fn status(&self) -> Result<Option<Status>> {
        let Some((head, _)) = read_head(&self.store).await? else {
            return Ok(None);
        };
        let slots = StoreKey::try_new("watch/")?;
        let watchers = self.store.list(&slots).await?.entries;
        Ok(Some(Status {
            revision: head.revision,
            edit_id: head.edit_id,
            shards: head.shard_count()?,
            deployment: head.deployment,
            previous_edits: head.previous_edits,
            watchers: watchers.into_iter().map(|e| e.key).collect(),
        }))
    }

    /// Applies a text that was made by editing `edited`, which is 0 before the first edit. `edit_id`
    /// must be new, as it tells this edit from all others.
    pub async fn apply(
        &self,
        text: &ConfigText,
        edited: Revision,
        edit_id: EditId,
    ) -> ApplyOutcome {
        match self.prepare(text, edited, edit_id).await {
            Ok(Ok(prepared)) => self.commit(text, edited, prepared).await,
            Ok(Err(conflict)) => conflict,
            Err(error) => ApplyOutcome::NotAccepted(error),
        }
    }

    /// Writes the shards. Nothing is in force by them, so any failure leaves the edit not accepted.
    async fn prepare(
        &self,
        text: &ConfigText,
        edited: Revision,
        edit_id: EditId,
    ) -> Result<std::result::Result<Prepared, ApplyOutcome>> {
        let current = read_head(&self.store).await?;
        let (head, version) = current.unzip();
        let in_force = head.as_ref().map_or(Revision::default(), |h| h.revision);
        check_deployment(head.as_ref(), text)?;
        if in_force != edited {
            return Ok(Err(self.conflict(text, edited, in_force).await));
        }
        let edit = ConfigEdit::plan(text, head.as_ref(), edit_id)?;
        let new_shards = edit.new_shards(head.as_ref());
        for shard in &new_shards {
            self.write_shard(shard).await?;
        }
        let mut dropped = Vec::new();
        for digest in edit.obsolete_shards(head.as_ref()) {
            dropped.extend(
                self.store
                    .get(&shard_key(digest))
                    .await?
                    .map(|e| (digest, e.version)),
            );
        }
        Ok(Ok(Prepared {
            head: edit.head,
            expected: version.map_or(Expected::Absent, Expected::Version),
            shards_written: new_shards.len(),
            dropped,
        }))
    }

    /// Writes a shard. One that is there already is written anew: that changes its version, so the
    /// edit that dropped it earlier does not delete it any more.
    async fn write_shard(&self, shard: &Arc<Shard>) -> Result<()> {
        const MAX_ATTEMPTS: usize = 8;
        let mut expected = Expected::Absent;
        let mut outcome = Ok(());
        for _ in 0..MAX_ATTEMPTS {
            let put = Put {
                key: shard_key(shard.digest()),
                value: Bytes::copy_from_slice(shard.encoded().as_bytes()),
                expected,
                lease: None,
            };
            match self.store.put(put).await {
                Ok(_) => return Ok(()),
                Err(StoreError::Conflict { current }) => {
                    expected = current.map_or(Expected::Absent, Expected::Version);
                    outcome = Err(StoreError::Conflict { current }.into());
                }
                Err(error @ StoreError::OutcomeUnknown { .. }) => outcome = Err(error.into()),
                Err(error) => return Err(error.into()),
            }
        }
        outcome
    }

    /// Writes the head, and reads back what became of it when the answer is lost.
    async fn commit(
        &self,
        text: &ConfigText,
        edited: Revision,
        prepared: Prepared,
    ) -> ApplyOutcome {
        let mut failure = match self.put_head(&prepared).await {
            Ok(()) => return self.accepted(prepared).await,
            Err(Error::Store(StoreError::Conflict { .. })) => {
                return self.lost_race(text, edited).await;
            }
            Err(Error::Store(error)) if !error.is_not_done() => Error::Store(error),
            Err(error) => return ApplyOutcome::NotAccepted(error),
        };
        for _ in 0..self.options.read_backs {
            tokio::time::sleep(self.options.read_back_pause).await;
            match self.read_back(&prepared).await {
                Ok(Fate::Accepted) => return self.accepted(prepared).await,
                Ok(Fate::LostRace) => return self.lost_race(text, edited).await,
                Ok(Fate::Unknown) => break,
                Err(error) => failure = error,
            }
        }
        ApplyOutcome::Unknown {
            edit_id: prepared.head.edit_id,
            error: failure,
        }
    }

    /// Finds out what became of an edit. As long as the edited head is in place, the write may still
    /// be on its way, so it is sent again: only one of the two can take effect.
    async fn read_back(&self, prepared: &Prepared) -> Result<Fate> {
        let current = read_head(&self.store).await?;
        let version = current.as_ref().map(|(_, version)| *version);
        if version.map_or(Expected::Absent, Expected::Version) == prepared.expected {
            return match self.put_head(prepared).await {
                Ok(()) => Ok(Fate::Accepted),
                Err(error) => Err(error),
            };
        }
        let Some((head, _)) = current else {
            return Ok(Fate::Unknown);
        };
        let edit = &prepared.head;
        Ok(match head.contains_edit(edit.edit_id, edit.revision) {
            Some(true) => Fate::Accepted,
            Some(false) => Fate::LostRace,
            None => Fate::Unknown,
        })
    }

    async fn put_head(&self, prepared: &Prepared) -> Result<()> {
        let put = Put {
            key: head_key(),
            value: prepared.head.encode()?.into(),
            expected: prepared.expected,
            lease: None,
        };
        self.store.put(put).await?;
        Ok(())
    }

    /// Deletes the shards that nothing names any more. What is left behind by a failure does no harm
    /// but takes up space.
    async fn accepted(&self, prepared: Prepared) -> ApplyOutcome {
        for (digest, version) in prepared.dropped {
            if let Err(error) = self.store.delete(&shard_key(digest), version).await {
                log::debug!("shard {digest} stays in the store: {error}");
            }
        }
        ApplyOutcome::Accepted {
            revision: prepared.head.revision,
            shards_written: prepared.shards_written,
        }
    }

    async fn lost_race(&self, text: &ConfigText, edited: Revision) -> ApplyOutcome {
        self.conflict(text, edited, edited).await
    }

    /// Nothing changed by this edit; the difference is shown if the text in force can be read.
    async fn conflict(&self, text: &ConfigText, edited: Revision, known: Revision) -> ApplyOutcome {
        let in_force = self.read_current(Some(text)).await.ok().flatten();
        ApplyOutcome::Conflict {
            edited,
            current: in_force.as_ref().map_or(known, |c| c.head.revision),
            changes: in_force.map(|c| diff(&c.text, text)),
        }
    }

    async fn read_text(&self, head: &ConfigHead, like: Option<&ConfigText>) -> Result<ConfigText> {
        let count = head.shard_count()?;
        let like = like.map(|text| split(text, count)).transpose()?;
        let at_hand = like.unwrap_or_default();
        let mut shards = Vec::with_capacity(head.shards.len());
        for (index, digest) in head.shards.iter().enumerate() {
            let same = at_hand.get(index).filter(|s| s.digest() == *digest);
            shards.push(match same {
                Some(shard) => Arc::clone(shard),
                None => Arc::new(read_shard(&self.store, *digest).await?),
            });
        }
        Ok(assemble(head, &shards)?)
    }
}

#[derive(Debug)]
struct Prepared {
    head: ConfigHead,
    expected: Expected,
    shards_written: usize,
    /// The shards that the new head no longer names, with their versions from before it.
    dropped: Vec<(Digest, Version)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Accepted,
    LostRace,
    Unknown,
}

/// Refuses a text that was meant for another store.
fn check_deployment(head: Option<&ConfigHead>, text: &ConfigText) -> Result<()> {
    let given = &text.deployment.name;
    match head.map(|h| &h.deployment.name) {
        Some(in_force) if in_force != given => Err(Error::OtherDeployment {
            in_force: in_force.clone(),
            given: given.clone(),
        }),
        _ => Ok(()),
    }
}

fn empty_text(like: &ConfigText) -> ConfigText {
    ConfigText {
        deployment: like.deployment.clone(),
        services: Vec::new(),
    }
}
