//! Which endpoint list a new process may serve by.
//!
//! A process starts with the list of its configuration, which may be outdated. Where lists are pushed, the host counts as
//! notified of all that its agent knows from its first moment, so that list may name nodes that have drained for longer
//! than the grace (rule 3). The process serves only after the agent has confirmed or replaced the list; while the agent
//! is unreachable it waits.
//!
//! Where the list is asked for, a host counts as notified of a change only once it was answered, or some time after its
//! last call, so it serves by the list of its configuration until then.

/// Returns whether requests may be sent by the list that a process has. `is_confirmed` is whether an answer of the list
/// service has brought the list of the configuration up to date since the process started.
pub fn may_serve_by_list(lists_are_pushed: bool, is_confirmed: bool) -> bool {
    is_confirmed || !lists_are_pushed
}
