//! Sessions of clients with the hosts.

use super::Traffic;
use std::sync::atomic::Ordering;
use std::sync::{PoisonError, RwLock};
use std::time::Duration;
use tackmast_emulators::initiator::{Initiator, Login};
use tackmast_wire::iscsi::Digests;

/// How often closed sessions are opened again.
const LOGIN_INTERVAL: Duration = Duration::from_millis(30);
/// How long a login may take.
const LOGIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Sessions with one host.
pub(super) struct HostSessions {
    host: u32,
    sessions: Vec<RwLock<Option<Initiator>>>,
}

impl HostSessions {
    pub(super) fn new(host: u32, count: u32) -> HostSessions {
        HostSessions { host, sessions: (0..count).map(|_| RwLock::new(None)).collect() }
    }

    /// The session with this index, modulo the number of sessions, if it is open.
    pub(super) fn open_session(&self, index: usize) -> Option<Initiator> {
        let session = &self.sessions[index % self.sessions.len()];
        let session = session.read().unwrap_or_else(PoisonError::into_inner).clone();
        session.filter(Initiator::is_open)
    }

    pub(super) fn log_out(&self) {
        for session in &self.sessions {
            if let Some(initiator) = session.write().unwrap_or_else(PoisonError::into_inner).take() {
                initiator.logout();
            }
        }
    }
}

fn is_open(session: &RwLock<Option<Initiator>>) -> bool {
    session.read().unwrap_or_else(PoisonError::into_inner).as_ref().is_some_and(Initiator::is_open)
}

impl Traffic {
    fn log_in(&self, host: u32) -> Option<Initiator> {
        let addresses = &self.shared.host_addresses;
        let address = *addresses.read().unwrap_or_else(PoisonError::into_inner).get(host as usize)?;
        let login = Login {
            address,
            target: self.shared.settings.host.target.clone(),
            name: format!("iqn.2026-12.org.tackmast:client-{}", self.name),
            digests: Digests { header: self.block.digests, data: self.block.digests },
            deadline_ms: self.block.deadline_ms,
            timeout: LOGIN_TIMEOUT,
        };
        Initiator::login(&login, host, self.replies.sender.clone(), self.shared.recorder.clone()).ok()
    }

    pub(super) fn open_missing_sessions(&self) {
        for host_sessions in &self.sessions {
            for session in host_sessions.sessions.iter().filter(|session| !is_open(session)) {
                if let Some(initiator) = self.log_in(host_sessions.host) {
                    *session.write().unwrap_or_else(PoisonError::into_inner) = Some(initiator);
                }
            }
        }
    }

    pub(super) fn maintain_sessions(&self) {
        while !self.is_closed.load(Ordering::Acquire) {
            std::thread::sleep(LOGIN_INTERVAL);
            if !self.is_over.load(Ordering::Acquire) {
                self.open_missing_sessions();
            }
        }
    }
}
