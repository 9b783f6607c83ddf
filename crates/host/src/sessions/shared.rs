//! A session's state machine between its reader and its writer.

use crate::lock::lock;
use crate::messages::SessionMessage;
use crossbeam_channel::{Sender, TrySendError};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use tackmast_target::AnySession;

/// Output of one session that may wait for its client before no more of its input is read, in bytes.
const MAX_PENDING_OUTPUT: usize = 1 << 20;

/// What the threads of a session share.
pub(super) struct SharedSession {
    session: Mutex<AnySession>,
    /// Notified when output was taken, an answer has made capacity, or the session has ended.
    drained: Condvar,
    /// Whether the writer was woken and has not looked yet.
    is_writer_woken: AtomicBool,
    has_ended: AtomicBool,
}

impl SharedSession {
    pub(super) fn new(session: AnySession) -> Self {
        SharedSession {
            session: Mutex::new(session),
            drained: Condvar::new(),
            is_writer_woken: AtomicBool::new(false),
            has_ended: AtomicBool::new(false),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, AnySession> {
        lock(&self.session)
    }

    /// Wakes the writer, unless it was woken and has not looked yet.
    pub(super) fn wake_writer(&self, writer: &Sender<SessionMessage>) {
        if !self.is_writer_woken.swap(true, Ordering::AcqRel) {
            if let Err(TrySendError::Full(message)) = writer.try_send(SessionMessage::OutputReady) {
                _ = writer.send(message);
            }
        }
    }

    /// The writer looks at the output now: output that is added from here on needs a new call of `wake_writer`.
    pub(super) fn on_writer_woken(&self) {
        self.is_writer_woken.store(false, Ordering::Release);
    }

    /// The writer has taken output.
    pub(super) fn notify_drained(&self) {
        self.drained.notify_all();
    }

    /// Waits until the session takes input again; false: it takes it already. A client that sends but does not read would otherwise
    /// fill the memory with answers, and one that sends without end with commands.
    pub(super) fn wait_until_drained(&self) -> bool {
        let mut has_waited = false;
        let mut session = self.lock();
        while is_backed_up(&session) && !self.has_ended.load(Ordering::Acquire) {
            session = self.drained.wait(session).unwrap_or_else(PoisonError::into_inner);
            has_waited = true;
        }
        has_waited
    }

    /// The reader has ended.
    pub(super) fn on_reader_ended(&self) {
        self.has_ended.store(true, Ordering::Release);
    }

    /// The writer has ended. The reader may wait in `wait_until_drained`: the lock is taken once, so that the reader either sees the
    /// end before it waits, or waits already and is notified. Without it a reader between the two would wait forever.
    pub(super) fn on_writer_ended(&self) {
        self.has_ended.store(true, Ordering::Release);
        drop(self.lock());
        self.drained.notify_all();
    }
}

fn is_backed_up(session: &AnySession) -> bool {
    session.pending_output() > MAX_PENDING_OUTPUT || session.is_paused()
}
