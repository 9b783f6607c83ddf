//! Guards the texts of start errors against unintended changes.

use std::io;
use std::path::{Path, PathBuf};
use tackmast_host::{AdminSocketError, StartError};

fn socket_path() -> PathBuf {
    Path::new("/run/host.admin").into()
}

/// Each start error that the host itself defines has the same text as in earlier builds.
#[test]
fn start_errors_have_the_texts_of_earlier_builds() {
    let denied = || io::Error::other("denied");
    let cases: [(StartError, &str); 6] = [
        (
            StartError::Listen { address: "127.0.0.1:3260".parse().unwrap(), error: denied() },
            "host listen 127.0.0.1:3260: denied; expected a free address of this machine",
        ),
        (
            AdminSocketError::NotASocket { path: socket_path() }.into(),
            "admin socket /run/host.admin: a file that is no socket; expected none, or the socket of an earlier host",
        ),
        (
            AdminSocketError::InUse { path: socket_path() }.into(),
            "admin socket /run/host.admin: another host answers there; expected a socket of this host's own",
        ),
        (
            AdminSocketError::Io { path: socket_path(), error: denied() }.into(),
            "admin socket /run/host.admin: denied",
        ),
        (
            StartError::PlansWithoutConsensus { changes: 3 },
            concat!(
                "agreement: the store keeps 3 changes of plans that one home took; expected none. ",
                "Bring the settings of all hosts to what `plan show` says, move the stores away, ",
                "and start the hosts anew",
            ),
        ),
        (
            StartError::Thread { name: "core".into(), error: denied() },
            "thread core: denied; expected to start it",
        ),
    ];
    for (error, text) in cases {
        assert_eq!(error.to_string(), text);
    }
}
