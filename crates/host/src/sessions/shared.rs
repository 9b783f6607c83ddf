//! A session's state machine, shared by its reader and its writer.

use crate::lock::lock;
use crate::messages::SessionMessage;
use crossbeam_channel::{Sender, TrySendError};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use tackmast_target::AnySession;

/// Bytes of output that may be pending for a client before its session stops reading input.
const MAX_PENDING_OUTPUT: usize = 1 << 20;

/// State that the threads of a session share.
pub(super) struct SharedSession {
    session: Mutex<AnySession>,
    /// Notified when output was taken, an answer has freed capacity, or the session has ended.
    capacity_freed: Condvar,
    /// Whether a wake message for the writer is queued.
    is_writer_woken: AtomicBool,
    has_ended: AtomicBool,
}

impl SharedSession {
    pub(super) fn new(session: AnySession) -> Self {
        SharedSession {
            session: Mutex::new(session),
            capacity_freed: Condvar::new(),
            is_writer_woken: AtomicBool::new(false),
            has_ended: AtomicBool::new(false),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, AnySession> {
        lock(&self.session)
    }

    /// Wakes the writer, unless a wake message is queued already.
    pub(super) fn wake_writer(&self, writer: &Sender<SessionMessage>) {
        if !self.is_writer_woken.swap(true, Ordering::AcqRel) {
            if let Err(TrySendError::Full(message)) = writer.try_send(SessionMessage::OutputReady) {
                _ = writer.send(message);
            }
        }
    }

    /// Records that the writer takes the pending output now. Output that is added later needs another call of `wake_writer`.
    pub(super) fn on_writer_woken(&self) {
        self.is_writer_woken.store(false, Ordering::Release);
    }

    /// Notifies the reader that the writer has taken output.
    pub(super) fn notify_capacity(&self) {
        self.capacity_freed.notify_all();
    }

    /// Waits until the session can handle more input. Returns whether it had to wait. Without this limit, a client that sends but does
    /// not read would fill the memory with answers, and one that sends without end would fill it with commands.
    pub(super) fn wait_for_capacity(&self) -> bool {
        let mut has_waited = false;
        let mut session = self.lock();
        while is_backed_up(&session) && !self.has_ended.load(Ordering::Acquire) {
            session = self.capacity_freed.wait(session).unwrap_or_else(PoisonError::into_inner);
            has_waited = true;
        }
        has_waited
    }

    /// Records that the reader has ended.
    pub(super) fn on_reader_ended(&self) {
        self.has_ended.store(true, Ordering::Release);
    }

    /// Records that the writer has ended, and wakes the reader if it waits in `wait_for_capacity`. The lock is taken once, so that the
    /// reader either sees the end before it waits, or already waits and is notified. Without it, a reader between its check and its wait
    /// would wait forever.
    pub(super) fn on_writer_ended(&self) {
        self.has_ended.store(true, Ordering::Release);
        drop(self.lock());
        self.capacity_freed.notify_all();
    }
}

fn is_backed_up(session: &AnySession) -> bool {
    session.pending_output() > MAX_PENDING_OUTPUT || session.is_paused()
}
