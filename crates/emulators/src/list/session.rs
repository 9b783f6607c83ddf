//! A connection of a host to the list.

use super::entries::last_of_each;
use super::{Service, ServiceState};
use crate::sockets::is_timeout;
use crate::threads::lock;
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::Duration;
use tackmast_trace::now_us;
use tackmast_wire::list::{self as wire, Frame, State};

/// How often a connection is looked at on which nothing is received.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Bytes that are read at once.
const READ_BYTES: usize = 4096;

/// A frame that a host is to be sent.
struct Reply {
    host: u32,
    frame: Frame,
}

/// A host that follows the list.
struct Follower {
    host: u32,
    /// The version that it was sent last.
    version: u64,
}

/// What is known of a connection.
struct Session {
    follower: Option<Follower>,
    /// The version of the protocol that the host speaks.
    protocol_version: u16,
}

impl Service {
    /// Serves a connection until it ends.
    pub(super) fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(POLL_INTERVAL))?;
        let mut frames = wire::frames();
        let mut buffer = vec![0; READ_BYTES];
        let epoch = lock(&self.state).faults.connection_epoch;
        let mut session = Session { follower: None, protocol_version: 1 };
        while !self.is_stopped() {
            match stream.read(&mut buffer) {
                Ok(0) => return Ok(()),
                Ok(length) => frames.push(&buffer[..length]),
                Err(error) if is_timeout(&error) => {}
                Err(error) => return Err(error),
            }
            if lock(&self.state).faults.connection_epoch != epoch {
                return Ok(());
            }
            let mut replies = Vec::new();
            while let Some(frame) =
                wire::next(&mut frames).map_err(|error| io::Error::other(error.to_string()))?
            {
                if session.on_frame(&lock(&self.state), frame, &mut replies).is_err() {
                    return Ok(());
                }
            }
            if replies.is_empty() {
                replies.extend(session.push_changes(&mut lock(&self.state)));
            }
            for reply in replies {
                self.send(&mut stream, &reply)?;
                if reply.frame == Frame::Failed {
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    /// A host may act on the bytes before the call returns. So an entry that allows more counts from before the bytes are sent, and
    /// an entry that allows less counts from after.
    fn send(&self, stream: &mut TcpStream, reply: &Reply) -> io::Result<()> {
        let (entries, is_complete) = match &reply.frame {
            Frame::Changes { entries, .. } => (last_of_each(entries), false),
            Frame::Complete { entries, .. } => (last_of_each(entries), true),
            _ => (Vec::new(), false),
        };
        let bytes = reply.frame.to_bytes();
        self.note(reply.host, &entries, false, |state| state == State::Ready);
        stream.write_all(&bytes)?;
        self.note(reply.host, &entries, is_complete, |state| state != State::Ready);
        Ok(())
    }
}

/// A frame that no host sends.
struct UnexpectedFrame;

impl Session {
    fn on_frame(
        &mut self,
        state: &ServiceState,
        frame: Frame,
        replies: &mut Vec<Reply>,
    ) -> Result<(), UnexpectedFrame> {
        if state.faults.silent {
            return Ok(());
        }
        let to = state.visible_version();
        let (host, frame) = match frame {
            Frame::Follow { host, version, since, .. } => {
                self.protocol_version = version;
                (host, self.on_follow(state, host, since, to))
            }
            Frame::Fetch { host, version, .. } => {
                self.protocol_version = version;
                (host, self.on_fetch(state, to))
            }
            _ => return Err(UnexpectedFrame),
        };
        replies.push(Reply { host, frame });
        Ok(())
    }

    fn on_follow(&mut self, state: &ServiceState, host: u32, since: u64, to: u64) -> Frame {
        if state.faults.fails {
            return Frame::Failed;
        }
        self.follower = Some(Follower { host, version: to });
        let sent_us = self.sent_us();
        match state.entries.changes_between(since, to) {
            Some(entries) => Frame::Changes { from: since, to, sent_us, entries },
            None => Frame::Complete { to, sent_us, entries: state.entries.complete(to) },
        }
    }

    fn on_fetch(&self, state: &ServiceState, to: u64) -> Frame {
        if state.faults.fails {
            return Frame::Failed;
        }
        Frame::Complete { to, sent_us: self.sent_us(), entries: state.entries.complete(to) }
    }

    /// The changes that a follower has not been sent yet.
    fn push_changes(&mut self, state: &mut ServiceState) -> Option<Reply> {
        let sent_us = self.sent_us();
        let follower = self.follower.as_mut()?;
        let to = state.visible_version();
        let mut from = follower.version;
        if to <= from || state.faults.silent {
            return None;
        }
        let changes = state.entries.changes_between(from, to);
        let mut entries = changes.unwrap_or_else(|| state.entries.complete(to));
        let skipped = (state.faults.skip as usize).min(entries.len());
        state.faults.skip -= skipped as u32;
        entries.drain(..skipped);
        from += skipped as u64;
        follower.version = to;
        Some(Reply { host: follower.host, frame: Frame::Changes { from, to, sent_us, entries } })
    }

    /// The time that a message carries, where the host's version of the protocol has one; else 0.
    fn sent_us(&self) -> u64 {
        if self.protocol_version >= wire::TIMED {
            now_us()
        } else {
            0
        }
    }
}
