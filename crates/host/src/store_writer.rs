//! The thread that writes to the store: the core never waits for a disk.

use crate::messages::Event;
use crate::thread::spawn;
use crate::StartError;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use std::time::Duration;
use tackmast_admin::Answer;
use tackmast_host_core::{PersistBatch, PersistError};
use tackmast_store::Store;

/// Writes that nobody waits for, kept while the disk does not take them; later ones are dropped.
const MAX_UNWRITTEN: usize = 10_000;
/// How long to wait before a failed write is tried again.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// The request number of writes that nobody waits for.
const NO_REQUEST: u64 = 0;

/// What is asked of the store's thread.
pub(crate) enum ToStore {
    /// Write a batch.
    Persist {
        /// By which the core knows the result; `NO_REQUEST`: nobody waits for it.
        request: u64,
        /// What to write.
        batch: PersistBatch,
    },
    /// Read the last lines of the audit log.
    Audit {
        /// How many at most.
        max_lines: usize,
        /// Who waits for them.
        answer_to: Sender<Answer>,
    },
}

struct StoreWriter {
    store: Store,
    core: Sender<Event>,
    /// Writes that nobody waits for and that the disk has not taken, the oldest first.
    unwritten: Vec<PersistBatch>,
}

/// Starts the thread, which ends when nobody can ask it any more.
pub(crate) fn start(store: Store, queued: Receiver<ToStore>, core: Sender<Event>) -> Result<(), StartError> {
    let mut writer = StoreWriter { store, core, unwritten: Vec::new() };
    spawn("store".into(), move || writer.run(&queued))?;
    Ok(())
}

impl StoreWriter {
    fn run(&mut self, queued: &Receiver<ToStore>) {
        loop {
            match self.wait(queued) {
                Ok(message) => self.handle(message),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.write_unwritten();
        }
    }

    fn wait(&self, queued: &Receiver<ToStore>) -> Result<ToStore, RecvTimeoutError> {
        match self.unwritten.is_empty() {
            true => queued.recv().map_err(RecvTimeoutError::from),
            false => queued.recv_timeout(RETRY_INTERVAL),
        }
    }

    fn handle(&mut self, message: ToStore) {
        match message {
            ToStore::Audit { max_lines, answer_to } => {
                _ = answer_to.send(match self.store.audit(max_lines) {
                    Ok(lines) => Answer::Audit(lines),
                    Err(error) => Answer::Error(error.to_string()),
                });
            }
            ToStore::Persist { request: NO_REQUEST, batch } => self.unwritten.push(batch),
            ToStore::Persist { request, batch } => {
                let result = self.store.write(&batch).map_err(|error| PersistError(error.to_string()));
                _ = self.core.send(Event::Persisted { request, result });
            }
        }
    }

    /// Writes what nobody waits for. It must not be lost to a disk that is full for a while, so it is kept and tried again.
    fn write_unwritten(&mut self) {
        while let Some(first) = self.unwritten.first() {
            if let Err(error) = self.store.write(first) {
                let unwritten = self.unwritten.len();
                tracing::warn!(%error, unwritten, "write to the store failed and is tried again");
                self.unwritten.truncate(MAX_UNWRITTEN);
                return;
            }
            self.unwritten.remove(0);
        }
    }
}
