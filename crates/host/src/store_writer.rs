//! The thread that accesses the store, so that the core thread never blocks on a disk.

use crate::messages::Event;
use crate::thread::spawn;
use crate::StartError;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use std::time::Duration;
use tackmast_admin::Answer;
use tackmast_host_core::{PersistBatch, PersistError};
use tackmast_store::Store;

/// Maximum number of unacknowledged writes to keep while writing to the disk fails; later ones are dropped.
const MAX_UNWRITTEN: usize = 10_000;
/// How long to wait before a failed write is retried.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Request number of writes whose result is not reported.
const NO_REQUEST: u64 = 0;

/// A request to the store's thread.
pub(crate) enum StoreRequest {
    /// Write a batch.
    Persist {
        /// Number under which the result is reported to the core; with `NO_REQUEST` it is not reported, and a failed write is retried.
        request: u64,
        /// The batch.
        batch: PersistBatch,
    },
    /// Read the last lines of the audit log.
    Audit {
        /// Maximum number of lines.
        max_lines: usize,
        /// Receiver of the lines, or of the error.
        answer_to: Sender<Answer>,
    },
}

struct StoreWriter {
    store: Store,
    core: Sender<Event>,
    /// Unreported batches that are not on disk yet, the oldest first.
    unwritten: Vec<PersistBatch>,
}

/// Starts the store's thread, which ends when all senders of `queued` are dropped.
pub(crate) fn start(
    store: Store,
    queued: Receiver<StoreRequest>,
    core: Sender<Event>,
) -> Result<(), StartError> {
    let mut writer = StoreWriter { store, core, unwritten: Vec::new() };
    spawn("store".into(), move || writer.run(&queued))?;
    Ok(())
}

impl StoreWriter {
    fn run(&mut self, queued: &Receiver<StoreRequest>) {
        loop {
            match self.wait(queued) {
                Ok(message) => self.handle(message),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.write_unwritten();
        }
    }

    fn wait(&self, queued: &Receiver<StoreRequest>) -> Result<StoreRequest, RecvTimeoutError> {
        match self.unwritten.is_empty() {
            true => queued.recv().map_err(RecvTimeoutError::from),
            false => queued.recv_timeout(RETRY_INTERVAL),
        }
    }

    fn handle(&mut self, message: StoreRequest) {
        match message {
            StoreRequest::Audit { max_lines, answer_to } => {
                _ = answer_to.send(match self.store.audit(max_lines) {
                    Ok(lines) => Answer::Audit(lines),
                    Err(error) => Answer::Error(error.to_string()),
                });
            }
            StoreRequest::Persist { request: NO_REQUEST, batch } => self.unwritten.push(batch),
            StoreRequest::Persist { request, batch } => {
                let result = self.store.write(&batch).map_err(|error| PersistError(error.to_string()));
                _ = self.core.send(Event::Persisted { request, result });
            }
        }
    }

    /// Writes the unreported batches. Batches that fail are kept and retried, so that a disk that is full for a while loses none of them.
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
