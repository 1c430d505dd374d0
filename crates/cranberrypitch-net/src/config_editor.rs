//! Operator functions on the configuration in the store: check, compare, apply and show its status.

mod base;

use std::sync::Arc;
use std::time::Duration;

use cranberrypitch_core::config::{
    ConfigChange, ConfigEdit, ConfigHead, ConfigText, Deployment, Digest, Problems, ShardCount,
    assemble, diff, split,
};
use cranberrypitch_core::{EditId, Revision};
use derive_more::Display;

use self::base::SKIPPED_REVISIONS;
use crate::config_store::{Error, Result, read_head, read_shard, shard_key};
use crate::config_writes::{expected_version, write_head, write_shard};
use crate::store::{Epoch, Error as StoreError, ExpectedVersion, Store, StoreKey, Version};

/// The options of a [`ConfigEditor`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigEditorOptions {
    /// The limit on the attempts to read back an edit whose outcome is unknown.
    pub max_read_backs: u32,
    /// The delay before each attempt.
    pub read_back_delay: Duration,
    /// The time for which the first edit after a restoration of the store waits for the processes that
    /// write lost edits back.
    pub write_back_wait: Duration,
}

impl Default for ConfigEditorOptions {
    fn default() -> Self {
        Self {
            max_read_backs: 8,
            read_back_delay: Duration::from_millis(250),
            write_back_wait: Duration::from_secs(3),
        }
    }
}

/// Reads and edits the configuration in a store on behalf of an operator.
#[derive(Debug)]
pub struct ConfigEditor<S> {
    store: S,
    options: ConfigEditorOptions,
}

/// The configuration in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CurrentConfig {
    /// The head.
    pub head: ConfigHead,
    /// The text.
    pub text: ConfigText,
}

/// The outcome of an edit.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The edit was accepted and is in force.
    #[display("accepted as revision {revision}")]
    Accepted {
        /// The revision that the edit made.
        revision: Revision,
        /// The number of shards that were written.
        shards_written: usize,
    },
    /// Another edit came first, so nothing changed.
    #[display("revision {current} is in force, and the edit was made on revision {edited}")]
    Conflict {
        /// The revision that the operator edited.
        edited: Revision,
        /// The revision in force.
        current: Revision,
        /// The changes from the text in force to the operator's text; `None` if the text in force could
        /// not be read.
        changes: Option<Vec<ConfigChange>>,
    },
    /// The edit was not accepted, so nothing changed.
    #[display("not accepted, and nothing changed: {_0}")]
    NotAccepted(Error),
    /// It is unknown whether the edit was accepted; it may still come into force.
    #[display("outcome of edit {edit_id} unknown: {error}")]
    Unknown {
        /// The id of the edit, by which it can be found in the status later.
        edit_id: EditId,
        /// The error that prevented a read-back, or that of the write.
        error: Error,
    },
}

/// The state of the configuration in the store.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("revision {revision} by edit {edit_id}, {shards} shards, {} watchers", watchers.len())]
pub struct ConfigStatus {
    /// The revision in force.
    pub revision: Revision,
    /// The id of the edit that made the revision.
    pub edit_id: EditId,
    /// The ids of earlier edits, the latest first.
    pub previous_edits: Vec<EditId>,
    /// The settings of the deployment as a whole.
    pub deployment: Deployment,
    /// The number of shards.
    pub shards: ShardCount,
    /// The keys of the watcher slots that are held.
    pub watchers: Vec<StoreKey>,
}

/// Parses a configuration text. Returns all its problems if it is invalid.
pub fn check(json: &str) -> std::result::Result<ConfigText, Problems> {
    ConfigText::parse(json)
}

impl<S: Store> ConfigEditor<S> {
    /// Returns an editor of the configuration in `store`.
    pub const fn new(store: S, options: ConfigEditorOptions) -> Self {
        Self { store, options }
    }

    /// Returns the configuration in force, or `None` before the first edit.
    pub async fn current(&self) -> Result<Option<CurrentConfig>> {
        self.read_current(None).await
    }

    /// Reads the configuration in force. Shards that are equal in `similar` are not read from the
    /// store, so a comparison takes few calls even if the text is large.
    async fn read_current(&self, similar: Option<&ConfigText>) -> Result<Option<CurrentConfig>> {
        // Each concurrent edit may delete a shard that the older head refers to.
        const MAX_ATTEMPTS: usize = 5;
        let mut outcome = Ok(None);
        for _ in 0..MAX_ATTEMPTS {
            let Some((head, _)) = read_head(&self.store).await? else {
                return Ok(None);
            };
            outcome = self
                .read_text(&head, similar)
                .await
                .map(|text| Some(CurrentConfig { head, text }));
            if !matches!(outcome, Err(Error::ShardMissing { .. })) {
                break;
            }
        }
        outcome
    }

    /// Returns the changes from the configuration in force to `text`.
    pub async fn diff(&self, text: &ConfigText) -> Result<Vec<ConfigChange>> {
        Ok(match self.read_current(Some(text)).await? {
            Some(current) => diff(&current.text, text),
            None => diff(&empty_text(text), text),
        })
    }

    /// Returns the state of the configuration, or `None` before the first edit.
    pub async fn status(&self) -> Result<Option<ConfigStatus>> {
        let Some((head, _)) = read_head(&self.store).await? else {
            return Ok(None);
        };
        let slots = StoreKey::try_new("watch/")?;
        let watchers = self.store.list(&slots).await?.entries;
        Ok(Some(ConfigStatus {
            revision: head.revision,
            edit_id: head.edit_id,
            shards: head.shard_count()?,
            deployment: head.deployment,
            previous_edits: head.previous_edits,
            watchers: watchers.into_iter().map(|e| e.key).collect(),
        }))
    }

    /// Applies a text that was made from revision `edited`, which is 0 before the first edit. `edit_id`
    /// must be unique, because it identifies the edit when its outcome is read back.
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

    /// Writes the new shards. They take effect only with the head, so that after any failure the edit
    /// is not accepted.
    async fn prepare(
        &self,
        text: &ConfigText,
        edited: Revision,
        edit_id: EditId,
    ) -> Result<std::result::Result<PreparedEdit, ApplyOutcome>> {
        let base = base::read_base(&self.store, edited, self.options.write_back_wait).await?;
        let head = &base.head;
        check_deployment(head.as_ref(), text)?;
        if base.revision() != edited {
            return Ok(Err(self.conflict(text, edited, base.revision()).await));
        }
        let edit = ConfigEdit::plan(text, head.as_ref(), edit_id)?;
        let edit = match base.new_epoch {
            Some(_) => edit.skipping_revisions(SKIPPED_REVISIONS),
            None => edit,
        };
        let new_shards = edit.new_shards(head.as_ref());
        for shard in &new_shards {
            write_shard(&self.store, shard).await?;
        }
        let mut obsolete = Vec::new();
        for digest in edit.obsolete_shards(head.as_ref()) {
            obsolete.extend(
                self.store
                    .get(&shard_key(digest))
                    .await?
                    .map(|e| (digest, e.version)),
            );
        }
        Ok(Ok(PreparedEdit {
            head: edit.head,
            expected: expected_version(base.version),
            new_epoch: base.new_epoch,
            shards_written: new_shards.len(),
            obsolete,
        }))
    }

    /// Writes the head. If the outcome of the write is unknown, reads the head back to determine it.
    async fn commit(
        &self,
        text: &ConfigText,
        edited: Revision,
        prepared: PreparedEdit,
    ) -> ApplyOutcome {
        let mut failure = match self.put_head(&prepared).await {
            Ok(()) => return self.finish_accepted(prepared).await,
            Err(Error::Store(StoreError::Conflict { .. })) => {
                return self.conflict_after_write(text, edited).await;
            }
            Err(Error::Store(error)) if !error.has_no_effect() => Error::Store(error),
            Err(error) => return ApplyOutcome::NotAccepted(error),
        };
        for _ in 0..self.options.max_read_backs {
            tokio::time::sleep(self.options.read_back_delay).await;
            match self.read_back(&prepared).await {
                Ok(EditState::Accepted) => return self.finish_accepted(prepared).await,
                Ok(EditState::Superseded) => return self.conflict_after_write(text, edited).await,
                Ok(EditState::Unknown) => break,
                Err(error) => failure = error,
            }
        }
        ApplyOutcome::Unknown {
            edit_id: prepared.head.edit_id,
            error: failure,
        }
    }

    /// Determines the outcome of an edit. While the previous head is in place, the write may still be
    /// in transit, so it is sent again: only one of the two writes can take effect.
    async fn read_back(&self, prepared: &PreparedEdit) -> Result<EditState> {
        let current = read_head(&self.store).await?;
        let version = current.as_ref().map(|(_, version)| *version);
        if expected_version(version) == prepared.expected {
            return match self.put_head(prepared).await {
                Ok(()) => Ok(EditState::Accepted),
                Err(error) => Err(error),
            };
        }
        let Some((head, _)) = current else {
            return Ok(EditState::Unknown);
        };
        let edit = &prepared.head;
        Ok(match head.contains_edit(edit.edit_id, edit.revision) {
            Some(true) => EditState::Accepted,
            Some(false) => EditState::Superseded,
            None => EditState::Unknown,
        })
    }

    async fn put_head(&self, prepared: &PreparedEdit) -> Result<()> {
        write_head(&self.store, &prepared.head, prepared.expected).await
    }

    /// Deletes the obsolete shards. A shard that remains after a failure only takes up space.
    async fn finish_accepted(&self, prepared: PreparedEdit) -> ApplyOutcome {
        if let Some(epoch) = prepared.new_epoch
            && let Err(error) = base::record_epoch(&self.store, epoch).await
        {
            log::debug!("epoch {epoch} not recorded, the next edit skips revisions again: {error}");
        }
        for (digest, version) in prepared.obsolete {
            if let Err(error) = self.store.delete(&shard_key(digest), version).await {
                log::debug!("obsolete shard {digest} not deleted: {error}");
            }
        }
        ApplyOutcome::Accepted {
            revision: prepared.head.revision,
            shards_written: prepared.shards_written,
        }
    }

    async fn conflict_after_write(&self, text: &ConfigText, edited: Revision) -> ApplyOutcome {
        self.conflict(text, edited, edited).await
    }

    /// Returns the conflict with the edit in force, with the differences if its text can be read.
    async fn conflict(&self, text: &ConfigText, edited: Revision, known: Revision) -> ApplyOutcome {
        let in_force = self.read_current(Some(text)).await.ok().flatten();
        ApplyOutcome::Conflict {
            edited,
            current: in_force.as_ref().map_or(known, |c| c.head.revision),
            changes: in_force.map(|c| diff(&c.text, text)),
        }
    }

    async fn read_text(
        &self,
        head: &ConfigHead,
        similar: Option<&ConfigText>,
    ) -> Result<ConfigText> {
        let count = head.shard_count()?;
        let similar = similar.map(|text| split(text, count)).transpose()?;
        let known_shards = similar.unwrap_or_default();
        let mut shards = Vec::with_capacity(head.shards.len());
        for (index, digest) in head.shards.iter().enumerate() {
            let known = known_shards.get(index).filter(|s| s.digest() == *digest);
            shards.push(match known {
                Some(shard) => Arc::clone(shard),
                None => Arc::new(read_shard(&self.store, *digest).await?),
            });
        }
        Ok(assemble(head, &shards)?)
    }
}

/// An edit whose shards are written and whose head is not.
#[derive(Debug)]
struct PreparedEdit {
    head: ConfigHead,
    expected: ExpectedVersion,
    shards_written: usize,
    /// The epoch to record as that of an accepted edit.
    new_epoch: Option<Epoch>,
    /// The shards that the new head no longer refers to, with their versions before the edit.
    obsolete: Vec<(Digest, Version)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EditState {
    Accepted,
    Superseded,
    Unknown,
}

/// Refuses a text for another deployment than the one in the store.
fn check_deployment(head: Option<&ConfigHead>, text: &ConfigText) -> Result<()> {
    let given = &text.deployment.name;
    match head.map(|h| &h.deployment.name) {
        Some(in_force) if in_force != given => Err(Error::DeploymentMismatch {
            in_force: in_force.clone(),
            given: given.clone(),
        }),
        _ => Ok(()),
    }
}

/// Returns a text without services for the same deployment.
fn empty_text(text: &ConfigText) -> ConfigText {
    ConfigText {
        deployment: text.deployment.clone(),
        services: Vec::new(),
    }
}
