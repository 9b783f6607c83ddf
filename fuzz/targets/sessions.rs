//! A session of either protocol, fed with anything: it must not panic, and never take two answers to one command. The
//! first byte chooses the protocol and how the rest is cut.
#![no_main]

use bytes::Bytes;
use libfuzzer_sys::fuzz_target;
use std::sync::Arc;
use tackmast_target::{AnySession, Event, IscsiSession, NbdSession, Offer, Verdict, Work};
use tackmast_wire::scsi::Unit;

fuzz_target!(|input: &[u8]| {
    let Some((first, rest)) = input.split_first() else { return };
    let offer = Arc::new(Offer {
        target_name: "iqn.test:pool".into(),
        max_segment: 8192,
        first_burst: 4096,
        max_burst: 8192,
        window: 8,
        max_command: 32 << 10,
        min_deadline_ms: 50,
        max_deadline_ms: 5000,
    });
    let unit = Unit { lun: 0, name: "museum".into(), blocks: 1000, block_bytes: 512, max_blocks: 32 };
    let units = Arc::new(vec![unit]);
    let mut session = match first & 1 {
        0 => AnySession::Iscsi(IscsiSession::new(offer, units, 1)),
        _ => AnySession::Nbd(NbdSession::new(offer, units, 1)),
    };
    let piece = 1 + usize::from(first >> 1);
    for bytes in rest.chunks(piece) {
        let taken = session.handle_bytes(bytes);
        while let Some(e) = session.poll_event() {
            if let Event::Submit { command, work, .. } = e {
                let data = match work {
                    Work::Read { blocks } => Bytes::from(vec![1; blocks as usize * 512]),
                    Work::Write { data } => {
                        assert!(data.len() <= 32 << 10);
                        Bytes::new()
                    }
                };
                session.answer(command, Verdict::Done { data });
                assert!(!session.answer(command, Verdict::Failed), "answered twice");
            }
        }
        _ = session.poll_transmit();
        if taken.is_err() || session.is_over() {
            return;
        }
    }
});
