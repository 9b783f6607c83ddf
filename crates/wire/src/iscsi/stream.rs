//! Units in a byte stream: their padding and digests.

use super::{Pdu, BHS};
use crate::reader::check_len;
use crate::WireError;
use bytes::{Buf, BufMut, BytesMut};

/// Bytes of a digest.
const DIGEST_LEN: usize = 4;

/// Which digests follow the headers and the data.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Digests {
    /// Whether a digest follows the headers.
    pub header: bool,
    /// Whether a digest follows the data.
    pub data: bool,
}

/// Appends the unit with its lengths, padding and digests.
pub fn encode(pdu: &Pdu, digests: Digests, out: &mut BytesMut) {
    let mut head = pdu.head;
    head[4] = (pdu.further.len() / 4) as u8;
    head[5..8].copy_from_slice(&(pdu.data.len() as u32).to_be_bytes()[1..]);
    let start = out.len();
    out.put_slice(&head);
    out.put_slice(&pdu.further);
    if digests.header {
        let sum = crc32c::crc32c(&out[start..]);
        out.put_u32_le(sum);
    }
    if !pdu.data.is_empty() {
        let start = out.len();
        out.put_slice(&pdu.data);
        out.put_bytes(0, padding(pdu.data.len()));
        if digests.data {
            let sum = crc32c::crc32c(&out[start..]);
            out.put_u32_le(sum);
        }
    }
}

/// Bytes that fill so many up to a multiple of four.
fn padding(length: usize) -> usize {
    length.wrapping_neg() & 3
}

/// Cuts a byte stream into units. `max_data` bounds the data of one; further headers are bounded by their length's byte.
pub struct Units {
    received: BytesMut,
    max_data: usize,
    /// Which digests units have from here on.
    pub digests: Digests,
}

impl Units {
    /// Units whose data have at most `max_data` bytes.
    pub fn new(max_data: usize) -> Self {
        Units { received: BytesMut::new(), max_data, digests: Digests::default() }
    }

    /// Takes received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.received.extend_from_slice(bytes);
    }

    /// Bytes received that are not yet a whole unit.
    pub fn partial(&self) -> usize {
        self.received.len()
    }

    /// The next whole unit. After an error the stream can't be followed any further.
    pub fn next_unit(&mut self) -> Result<Option<Pdu>, WireError> {
        let Some(head) = self.received.first_chunk::<BHS>().copied() else { return Ok(None) };
        let lengths = self.lengths(&head)?;
        if self.received.len() < lengths.total() {
            return Ok(None);
        }
        let headers = self.received.split_to(lengths.headers);
        if lengths.header_digest > 0 {
            check_digest("header digest", self.received.get_u32_le(), &headers)?;
        }
        let mut body = self.received.split_to(lengths.padded_data);
        if lengths.data_digest > 0 {
            check_digest("data digest", self.received.get_u32_le(), &body)?;
        }
        body.truncate(lengths.data);
        let further = headers.freeze().slice(BHS..);
        Ok(Some(Pdu { head, further, data: body.freeze() }))
    }

    fn lengths(&self, head: &[u8; BHS]) -> Result<Lengths, WireError> {
        let data = usize::from(head[5]) << 16 | usize::from(head[6]) << 8 | usize::from(head[7]);
        check_len("data segment length", data, self.max_data)?;
        Ok(Lengths {
            headers: BHS + usize::from(head[4]) * 4,
            header_digest: if self.digests.header { DIGEST_LEN } else { 0 },
            data,
            padded_data: data + padding(data),
            data_digest: if self.digests.data && data > 0 { DIGEST_LEN } else { 0 },
        })
    }
}

/// Lengths of a unit's parts in bytes.
struct Lengths {
    headers: usize,
    header_digest: usize,
    data: usize,
    padded_data: usize,
    data_digest: usize,
}

impl Lengths {
    fn total(&self) -> usize {
        self.headers + self.header_digest + self.padded_data + self.data_digest
    }
}

fn check_digest(field: &'static str, found: u32, bytes: &[u8]) -> Result<(), WireError> {
    match crc32c::crc32c(bytes) {
        sum if sum == found => Ok(()),
        expected => Err(WireError::Digest { field, found, expected }),
    }
}
