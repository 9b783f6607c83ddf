//! What hosts say to each other: one datagram each, described byte by byte in docs/protocols/peers.md.

use crate::reader::Fields;
use crate::WireError;
use bytes::{BufMut, Bytes, BytesMut};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

const MAGIC: u16 = 0x746d;
pub const VERSION: u8 = 2;
/// Bytes of one datagram, at most.
pub const MAX: usize = 1400;
/// Lines of news in one datagram, and orders, at most: so many fit also where all addresses are of IPv6.
pub const MAX_NEWS: usize = 28;
pub const MAX_ORDERS: usize = 2;
/// Nodes in one datagram that a list takes away, at most.
pub const MAX_STOPS: usize = 18;
/// Bytes of a fleet's name, of an order's target, and of its reason and name, at most.
pub const MAX_NAME: usize = 32;
pub const MAX_TARGET: usize = 64;
pub const MAX_TEXT: usize = 200;
/// Bytes of one piece of a change of plans, at most.
pub const MAX_PIECE: usize = 1200;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Health {
    Alive,
    Suspect,
    Dead,
    /// It said that it leaves.
    Left,
}

/// What is said of one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct News {
    pub slot: u32,
    pub generation: u64,
    pub incarnation: u32,
    pub health: Health,
    pub address: SocketAddr,
    /// The site that it said it stands in.
    pub site: Option<u32>,
    /// Of a suspect: who found that it does not answer.
    pub by: Option<u32>,
}

/// How "none" is written of a site and of who suspects.
const NONE: u32 = u32::MAX;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OrderKind {
    Out,
    Pinned,
    Weight(f32),
}

/// An operator's order as it spreads: named by the host and generation that took it, and its number there.
#[derive(Clone, Debug, PartialEq)]
pub struct SpreadOrder {
    pub slot: u32,
    pub generation: u64,
    pub number: u64,
    pub kind: OrderKind,
    pub target: String,
    pub reason: String,
    pub who: String,
    /// Until its end, and of its whole time; 0 left: it has ended.
    pub left_ms: u64,
    pub whole_ms: u64,
    pub cleared: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Body {
    Ping {
        seq: u32,
    },
    Ack {
        seq: u32,
    },
    /// Ping that host for me.
    PingFor {
        seq: u32,
        slot: u32,
    },
    /// It answered me.
    Vouch {
        seq: u32,
        slot: u32,
    },
    /// It did not answer me either.
    Nay {
        seq: u32,
        slot: u32,
    },
    /// What the sender knows of hosts and of orders, as digests; who knows otherwise says what it knows.
    Digest {
        view: u32,
        orders: u32,
    },
    /// News alone.
    Tell,
    /// Asks for a part of the asked one's rate of a volume's limit, as a share of the whole limit; `using` is the loan that
    /// it acts on, of that generation of the asked one, 0 for none.
    Want {
        seq: u32,
        using: u32,
        of_generation: u64,
        volume: u32,
        share: f32,
    },
    /// A part that the sender leaves unused for that term, which counts from when the want left that it answers, of that
    /// generation of the asking one.
    Loan {
        answers: u32,
        to_generation: u64,
        seq: u32,
        volume: u32,
        share: f32,
        term_ms: u32,
    },
    /// The sender leaves, and will lend all it has of these volumes to who wants it.
    Offer {
        volume: u32,
    },
    /// What this slot has lent in an earlier generation is wanted back; and it is back.
    Recall {
        volume: u32,
    },
    Returned {
        to_generation: u64,
        volume: u32,
    },
    Orders(Vec<SpreadOrder>),
    /// The newest change of plans that the sender goes by: its number, a mark of all up to it, and the time until all have to
    /// go by it.
    Paper {
        number: u64,
        mark: u64,
        left_ms: u32,
    },
    /// Asks for a piece of a change.
    PaperWant {
        number: u64,
        piece: u16,
    },
    PaperPiece {
        number: u64,
        piece: u16,
        pieces: u16,
        bytes: Bytes,
    },
    /// A word on the agreed log (`agree`), whole.
    Agree {
        bytes: Bytes,
    },
    /// A piece of a word that is longer than a datagram, and the wish for one: the receiver asks for each after the first.
    Parcel {
        number: u32,
        pieces: u16,
        piece: u16,
        bytes: Bytes,
    },
    ParcelWant {
        number: u32,
        piece: u16,
    },
    /// The newest version of the node list that the sender held.
    ListWord {
        version: u64,
    },
    /// Asks what a newer list than that takes away.
    ListWant {
        version: u64,
    },
    ListStops {
        version: u64,
        stops: Vec<ListStop>,
    },
}

/// A node that a list says is draining or gone, by the address that the list has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListStop {
    pub address: String,
    pub gone: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Datagram {
    pub fleet: String,
    /// The sender's own word on itself.
    pub me: News,
    pub body: Body,
    pub news: Vec<News>,
}

fn put_text(out: &mut BytesMut, text: &str, most: usize) {
    let mut end = text.len().min(most);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    out.put_u8(end as u8);
    out.put_slice(&text.as_bytes()[..end]);
}

fn put_address(out: &mut BytesMut, a: &SocketAddr) {
    match a.ip() {
        IpAddr::V4(ip) => {
            out.put_u8(4);
            out.put_slice(&ip.octets());
        }
        IpAddr::V6(ip) => {
            out.put_u8(6);
            out.put_slice(&ip.octets());
        }
    }
    out.put_u16(a.port());
}

fn put_piece(out: &mut BytesMut, bytes: &Bytes) {
    let most = bytes.len().min(MAX_PIECE);
    out.put_u16(most as u16);
    out.put_slice(&bytes[..most]);
}

fn one_piece(f: &mut Fields) -> Result<Bytes, WireError> {
    let n = usize::from(f.u16("bytes")?);
    if n > MAX_PIECE {
        let (found, most) = (n as u64, MAX_PIECE as u64);
        return Err(WireError::TooLong { field: "piece", found, most });
    }
    f.bytes("piece", n)
}

/// Which piece of how many.
fn place(f: &mut Fields) -> Result<(u16, u16), WireError> {
    let (pieces, piece) = (f.u16("pieces")?, f.u16("piece")?);
    match piece < pieces {
        true => Ok((pieces, piece)),
        false => {
            let expected = "a number below that of pieces";
            Err(WireError::Value { field: "piece", found: u64::from(piece), expected })
        }
    }
}

fn address(f: &mut Fields) -> Result<SocketAddr, WireError> {
    let ip = match f.u8("address kind")? {
        4 => IpAddr::V4(Ipv4Addr::from(f.u32("address")?)),
        6 => {
            let (high, low) = (f.u64("address")?, f.u64("address")?);
            IpAddr::V6(Ipv6Addr::from(u128::from(high) << 64 | u128::from(low)))
        }
        other => return Err(wrong("address kind", other, "4 or 6")),
    };
    Ok(SocketAddr::new(ip, f.u16("port")?))
}

fn wrong(field: &'static str, found: u8, expected: &'static str) -> WireError {
    WireError::Value { field, found: u64::from(found), expected }
}

/// A share of a whole, from 0 to 1.
fn share(f: &mut Fields) -> Result<f32, WireError> {
    let x = f.amount("share")?;
    match x <= 1.0 {
        true => Ok(x),
        false => Err(WireError::Value {
            field: "share",
            found: u64::from(x.to_bits()),
            expected: "an f32 up to 1",
        }),
    }
}

impl Datagram {
    pub fn to_bytes(&self) -> Bytes {
        let mut out = BytesMut::new();
        out.put_u16(MAGIC);
        out.put_u8(VERSION);
        put_text(&mut out, &self.fleet, MAX_NAME);
        put_news(&mut out, &self.me);
        match &self.body {
            Body::Ping { seq } => {
                out.put_u8(1);
                out.put_u32(*seq);
            }
            Body::Ack { seq } => {
                out.put_u8(2);
                out.put_u32(*seq);
            }
            Body::PingFor { seq, slot } => {
                out.put_u8(3);
                out.put_u32(*seq);
                out.put_u32(*slot);
            }
            Body::Vouch { seq, slot } => {
                out.put_u8(4);
                out.put_u32(*seq);
                out.put_u32(*slot);
            }
            Body::Digest { view, orders } => {
                out.put_u8(5);
                out.put_u32(*view);
                out.put_u32(*orders);
            }
            Body::Tell => out.put_u8(6),
            Body::Want { seq, using, of_generation, volume, share } => {
                out.put_u8(7);
                out.put_u32(*seq);
                out.put_u32(*using);
                out.put_u64(*of_generation);
                out.put_u32(*volume);
                out.put_f32(*share);
            }
            Body::Loan { answers, to_generation, seq, volume, share, term_ms } => {
                out.put_u8(8);
                out.put_u32(*answers);
                out.put_u64(*to_generation);
                out.put_u32(*seq);
                out.put_u32(*volume);
                out.put_f32(*share);
                out.put_u32(*term_ms);
            }
            Body::Offer { volume } => {
                out.put_u8(9);
                out.put_u32(*volume);
            }
            Body::Recall { volume } => {
                out.put_u8(10);
                out.put_u32(*volume);
            }
            Body::Returned { to_generation, volume } => {
                out.put_u8(11);
                out.put_u64(*to_generation);
                out.put_u32(*volume);
            }
            Body::Orders(orders) => {
                out.put_u8(12);
                out.put_u8(orders.len().min(MAX_ORDERS) as u8);
                orders.iter().take(MAX_ORDERS).for_each(|o| put_order(&mut out, o));
            }
            Body::Paper { number, mark, left_ms } => {
                out.put_u8(13);
                out.put_u64(*number);
                out.put_u64(*mark);
                out.put_u32(*left_ms);
            }
            Body::PaperWant { number, piece } => {
                out.put_u8(14);
                out.put_u64(*number);
                out.put_u16(*piece);
            }
            Body::PaperPiece { number, piece, pieces, bytes } => {
                out.put_u8(15);
                out.put_u64(*number);
                out.put_u16(*piece);
                out.put_u16(*pieces);
                put_piece(&mut out, bytes);
            }
            Body::Nay { seq, slot } => {
                out.put_u8(16);
                out.put_u32(*seq);
                out.put_u32(*slot);
            }
            Body::Agree { bytes } => {
                out.put_u8(17);
                put_piece(&mut out, bytes);
            }
            Body::Parcel { number, pieces, piece, bytes } => {
                out.put_u8(18);
                out.put_u32(*number);
                out.put_u16(*pieces);
                out.put_u16(*piece);
                put_piece(&mut out, bytes);
            }
            Body::ParcelWant { number, piece } => {
                out.put_u8(19);
                out.put_u32(*number);
                out.put_u16(*piece);
            }
            Body::ListWord { version } => {
                out.put_u8(20);
                out.put_u64(*version);
            }
            Body::ListWant { version } => {
                out.put_u8(21);
                out.put_u64(*version);
            }
            Body::ListStops { version, stops } => {
                out.put_u8(22);
                out.put_u64(*version);
                out.put_u8(stops.len().min(MAX_STOPS) as u8);
                for s in stops.iter().take(MAX_STOPS) {
                    put_text(&mut out, &s.address, MAX_TARGET);
                    out.put_u8(u8::from(s.gone));
                }
            }
        }
        out.put_u8(self.news.len().min(MAX_NEWS) as u8);
        self.news.iter().take(MAX_NEWS).for_each(|n| put_news(&mut out, n));
        out.freeze()
    }

    pub fn decode(bytes: Bytes) -> Result<Datagram, WireError> {
        if bytes.len() > MAX {
            let (found, most) = (bytes.len() as u64, MAX as u64);
            return Err(WireError::TooLong { field: "datagram", found, most });
        }
        let mut f = Fields(bytes);
        let magic = f.u16("magic")?;
        if magic != MAGIC {
            return Err(WireError::Value { field: "magic", found: u64::from(magic), expected: "0x746d" });
        }
        let version = f.u8("version")?;
        if version != VERSION {
            return Err(wrong("version", version, "2"));
        }
        let fleet = f.text("fleet")?;
        if fleet.len() > MAX_NAME {
            let (found, most) = (fleet.len() as u64, MAX_NAME as u64);
            return Err(WireError::TooLong { field: "fleet", found, most });
        }
        let me = one_news(&mut f)?;
        let body = match f.u8("kind")? {
            1 => Body::Ping { seq: f.u32("number")? },
            2 => Body::Ack { seq: f.u32("number")? },
            3 => Body::PingFor { seq: f.u32("number")?, slot: f.u32("host")? },
            4 => Body::Vouch { seq: f.u32("number")?, slot: f.u32("host")? },
            5 => Body::Digest { view: f.u32("view")?, orders: f.u32("orders")? },
            6 => Body::Tell,
            7 => Body::Want {
                seq: f.u32("number")?,
                using: f.u32("using")?,
                of_generation: f.u64("life")?,
                volume: f.u32("volume")?,
                share: share(&mut f)?,
            },
            8 => Body::Loan {
                answers: f.u32("answers")?,
                to_generation: f.u64("life")?,
                seq: f.u32("number")?,
                volume: f.u32("volume")?,
                share: share(&mut f)?,
                term_ms: f.u32("term")?,
            },
            9 => Body::Offer { volume: f.u32("volume")? },
            10 => Body::Recall { volume: f.u32("volume")? },
            11 => Body::Returned { to_generation: f.u64("life")?, volume: f.u32("volume")? },
            12 => {
                let n = f.u8("orders")?;
                if usize::from(n) > MAX_ORDERS {
                    return Err(wrong("orders", n, "at most 2"));
                }
                Body::Orders((0..n).map(|_| order(&mut f)).collect::<Result<_, _>>()?)
            }
            13 => {
                Body::Paper { number: f.u64("change")?, mark: f.u64("mark")?, left_ms: f.u32("time left")? }
            }
            14 => Body::PaperWant { number: f.u64("change")?, piece: f.u16("piece")? },
            15 => {
                let (number, piece, pieces) = (f.u64("change")?, f.u16("piece")?, f.u16("pieces")?);
                if piece >= pieces {
                    let expected = "a number below that of pieces";
                    return Err(WireError::Value { field: "piece", found: u64::from(piece), expected });
                }
                Body::PaperPiece { number, piece, pieces, bytes: one_piece(&mut f)? }
            }
            16 => Body::Nay { seq: f.u32("number")?, slot: f.u32("host")? },
            17 => Body::Agree { bytes: one_piece(&mut f)? },
            18 => {
                let number = f.u32("number")?;
                let (pieces, piece) = place(&mut f)?;
                Body::Parcel { number, pieces, piece, bytes: one_piece(&mut f)? }
            }
            19 => Body::ParcelWant { number: f.u32("number")?, piece: f.u16("piece")? },
            20 => Body::ListWord { version: f.u64("version")? },
            21 => Body::ListWant { version: f.u64("version")? },
            22 => {
                let (version, n) = (f.u64("version")?, f.u8("nodes")?);
                if usize::from(n) > MAX_STOPS {
                    return Err(wrong("nodes", n, "at most 18"));
                }
                let stops = (0..n).map(|_| list_stop(&mut f)).collect::<Result<_, _>>()?;
                Body::ListStops { version, stops }
            }
            other => return Err(wrong("kind", other, "a kind from 1 to 22")),
        };
        let n = f.u8("news")?;
        if usize::from(n) > MAX_NEWS {
            return Err(wrong("news", n, "at most 28"));
        }
        let news = (0..n).map(|_| one_news(&mut f)).collect::<Result<_, _>>()?;
        f.end("datagram")?;
        Ok(Datagram { fleet, me, body, news })
    }
}

fn put_news(out: &mut BytesMut, n: &News) {
    out.put_u32(n.slot);
    out.put_u64(n.generation);
    out.put_u32(n.incarnation);
    out.put_u8(n.health as u8);
    put_address(out, &n.address);
    out.put_u32(n.site.unwrap_or(NONE));
    if n.health == Health::Suspect {
        out.put_u32(n.by.unwrap_or(NONE));
    }
}

fn one_news(f: &mut Fields) -> Result<News, WireError> {
    let (slot, generation, incarnation) = (f.u32("host")?, f.u64("life")?, f.u32("incarnation")?);
    let health = match f.u8("health")? {
        0 => Health::Alive,
        1 => Health::Suspect,
        2 => Health::Dead,
        3 => Health::Left,
        other => return Err(wrong("health", other, "0 alive, 1 suspect, 2 dead or 3 left")),
    };
    let address = address(f)?;
    let site = Some(f.u32("site")?).filter(|s| *s != NONE);
    let by = match health {
        Health::Suspect => Some(f.u32("suspected by")?).filter(|s| *s != NONE),
        _ => None,
    };
    Ok(News { slot, generation, incarnation, health, address, site, by })
}

fn list_stop(f: &mut Fields) -> Result<ListStop, WireError> {
    let address = f.text("node")?;
    if address.len() > MAX_TARGET {
        let (found, most) = (address.len() as u64, MAX_TARGET as u64);
        return Err(WireError::TooLong { field: "node", found, most });
    }
    match f.u8("gone")? {
        0 => Ok(ListStop { address, gone: false }),
        1 => Ok(ListStop { address, gone: true }),
        other => Err(wrong("gone", other, "0 or 1")),
    }
}

fn put_order(out: &mut BytesMut, o: &SpreadOrder) {
    out.put_u32(o.slot);
    out.put_u64(o.generation);
    out.put_u64(o.number);
    let (kind, weight) = match o.kind {
        OrderKind::Out => (0, 0.0),
        OrderKind::Pinned => (1, 0.0),
        OrderKind::Weight(w) => (2, w),
    };
    out.put_u8(kind);
    out.put_f32(weight);
    put_text(out, &o.target, MAX_TARGET);
    put_text(out, &o.reason, MAX_TEXT);
    put_text(out, &o.who, MAX_TEXT);
    out.put_u64(o.left_ms);
    out.put_u64(o.whole_ms);
    out.put_u8(u8::from(o.cleared));
}

fn order(f: &mut Fields) -> Result<SpreadOrder, WireError> {
    let (slot, generation, number) = (f.u32("host")?, f.u64("life")?, f.u64("order")?);
    let (kind, weight) = (f.u8("order kind")?, share(f)?);
    let kind = match kind {
        0 => OrderKind::Out,
        1 => OrderKind::Pinned,
        2 => OrderKind::Weight(weight),
        other => return Err(wrong("order kind", other, "0 out, 1 pinned or 2 weight")),
    };
    let (target, reason, who) = (f.text("target")?, f.text("reason")?, f.text("who")?);
    let (left_ms, whole_ms) = (f.u64("time left")?, f.u64("whole time")?);
    let cleared = match f.u8("cleared")? {
        0 => false,
        1 => true,
        other => return Err(wrong("cleared", other, "0 or 1")),
    };
    Ok(SpreadOrder { slot, generation, number, kind, target, reason, who, left_ms, whole_ms, cleared })
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn news(n: usize) -> Vec<News> {
        let one = |i: usize| News {
            slot: i as u32,
            generation: i as u64 * 7,
            incarnation: 3,
            health: [Health::Alive, Health::Suspect, Health::Dead, Health::Left][i % 4],
            address: if i.is_multiple_of(5) { "10.0.0.1:7" } else { "[fd00::1]:9" }.parse().unwrap(),
            site: (!i.is_multiple_of(3)).then_some(i as u32),
            by: (i % 4 == 1 && i > 1).then_some(7),
        };
        (0..n).map(one).collect()
    }

    fn order(text: &str) -> SpreadOrder {
        let (target, reason, who) = ("zone:1".into(), text.into(), text.into());
        let kind = OrderKind::Weight(0.5);
        SpreadOrder {
            slot: 1,
            generation: 2,
            number: 3,
            kind,
            target,
            reason,
            who,
            left_ms: 4,
            whole_ms: 5,
            cleared: true,
        }
    }

    #[test]
    fn each_kind_comes_back_as_it_was_and_fits_its_bound() {
        let long = "x".repeat(MAX_TEXT);
        for body in [
            Body::Ping { seq: 1 },
            Body::Ack { seq: 2 },
            Body::PingFor { seq: 3, slot: 4 },
            Body::Nay { seq: 3, slot: 4 },
            Body::Vouch { seq: 5, slot: 6 },
            Body::Digest { view: 7, orders: 8 },
            Body::Tell,
            Body::Want { seq: 9, using: 10, of_generation: 19, volume: 11, share: 0.25 },
            Body::Loan { answers: 12, to_generation: 20, seq: 13, volume: 14, share: 1.0, term_ms: 15 },
            Body::Offer { volume: 16 },
            Body::Recall { volume: 17 },
            Body::Returned { to_generation: 21, volume: 18 },
            Body::Orders(vec![order(&long), order("")]),
            Body::Paper { number: 22, mark: 23, left_ms: 24 },
            Body::PaperWant { number: 25, piece: 26 },
            Body::PaperPiece { number: 27, piece: 28, pieces: 29, bytes: Bytes::from(vec![7; MAX_PIECE]) },
            Body::Agree { bytes: Bytes::from(vec![7; MAX_PIECE]) },
            Body::Parcel { number: 30, pieces: 32, piece: 31, bytes: Bytes::from(vec![7; MAX_PIECE]) },
            Body::ParcelWant { number: 33, piece: 34 },
            Body::ListWord { version: 35 },
            Body::ListWant { version: 36 },
            Body::ListStops {
                version: 37,
                stops: vec![ListStop { address: "x".repeat(MAX_TARGET), gone: true }; MAX_STOPS],
            },
        ] {
            let many = if matches!(
                body,
                Body::Orders(_)
                    | Body::PaperPiece { .. }
                    | Body::Agree { .. }
                    | Body::Parcel { .. }
                    | Body::ListStops { .. }
            ) {
                0
            } else {
                MAX_NEWS
            };
            let d = Datagram { fleet: "f".repeat(MAX_NAME), me: news(2)[1], body, news: news(many) };
            let bytes = d.to_bytes();
            assert!(bytes.len() <= MAX, "{}: {d:?}", bytes.len());
            assert_eq!(Datagram::decode(bytes), Ok(d));
        }
    }

    proptest! {
        #[test]
        fn no_bytes_panic_and_no_cut_passes(bytes in proptest::collection::vec(any::<u8>(), 0..200), cut in 0usize..60) {
            _ = Datagram::decode(Bytes::from(bytes));
            let d = Datagram { fleet: "fleet".into(), me: news(1)[0], body: Body::Orders(vec![order("why")]), news: news(3) };
            let whole = d.to_bytes();
            prop_assert!(Datagram::decode(whole.slice(..whole.len().saturating_sub(cut + 1))).is_err());
        }
    }
}
