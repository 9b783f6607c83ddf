//! Checks that the texts of transport errors stay the same from build to build.

use tackmast_client_core::TransportError;
use tackmast_wire::WireError;

/// Covers each variant of `TransportError`. Each text must stay as earlier builds wrote it.
#[test]
fn transport_errors_have_the_texts_of_earlier_builds() {
    let wire = WireError::Short { field: "key", missing: 3 };
    let cases = [
        (TransportError::Wire(wire), "key: the frame ends 3 bytes early"),
        (
            TransportError::UnexpectedDuringLogin { opcode: 0x25 },
            "operation 0x25 during login; expected its answer",
        ),
        (
            TransportError::DataOutOfOrder { found: 8, expected: 0, length: 512 },
            "data at 8; expected 0 of 512",
        ),
        (
            TransportError::RequestBeyondWrite { length: 512, start: 1024, available: 1024 },
            "asked for 512 bytes at 1024; the write has 1024",
        ),
        (TransportError::RejectedByTarget { reason: 5 }, "rejected: reason 5"),
        (
            TransportError::NoFixedNewstyle,
            "the server knows no fixed newstyle handshake; expected one that does",
        ),
        (
            TransportError::UnexpectedDuringHandshake { message: "Greeting { flags: 3 }".into() },
            "Greeting { flags: 3 } during the handshake",
        ),
        (TransportError::UnknownCookie { cookie: 7 }, "a reply to cookie 7, which is not open"),
        (
            TransportError::ChunkBeyondRead { length: 512, offset: 8, read: 512 },
            "512 bytes at 8; the read has 512",
        ),
        (TransportError::UnknownChunk { kind: 9 }, "chunk of type 9; expected one that was agreed on"),
    ];
    for (error, text) in cases {
        assert_eq!(error.to_string(), text);
    }
}
