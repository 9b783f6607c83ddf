//! A client's request, as values; and back towards a node from these values alone.

use crate::settings::Settings;
use bytes::Bytes;
use tackmast::interface::{Effect, PlanId, ShardId, TimeDelta, TrafficClassId};
use tackmast_http::Request;

#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// The client's name for it; no two open ones have the same.
    pub id: String,
    pub volume: u64,
    pub key: u64,
    pub traffic_class: TrafficClassId,
    pub plan: PlanId,
    pub left: TimeDelta,
    pub units: f64,
    pub shard: Option<ShardId>,
    pub hosts: u32,
    /// What every attempt says, up to the header fields that are its own.
    pub head: Bytes,
    pub body: Bytes,
}

/// Why a request is turned away unheard: its status, and words for the client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    pub status: u16,
    pub why: String,
}

const LONGEST_TARGET: usize = 1024;
const LONGEST_ID: usize = 64;
const LONGEST_MARK: usize = 128;
const LONGEST_BUDGET_MS: u64 = 3_600_000;
const MAX_HOSTS: u32 = 10_000;

impl Call {
    pub fn of(r: Request, s: &Settings) -> Result<Call, Refusal> {
        let bad = |why: String| Refusal { status: 400, why };
        if r.method != "GET" && r.method != "PUT" {
            return Err(Refusal {
                status: 405,
                why: format!("method {}: expected GET or PUT", cut(&r.method)),
            });
        }
        if r.method == "GET" && !r.body.is_empty() {
            return Err(bad("body: expected none with GET".to_owned()));
        }
        let (volume, key) = place(&r.target).ok_or_else(|| Refusal {
            status: 404,
            why: format!("path {}: expected a volume and a key, each 16 hex digits", cut(&r.target)),
        })?;
        let one = |name: &'static str| -> Result<&str, Refusal> {
            let mut all = r.headers.all(name);
            match (all.next(), all.next()) {
                (Some(value), None) => Ok(value),
                (None, _) => Err(bad(format!("{name}: not there; expected one"))),
                (_, Some(_)) => Err(bad(format!("{name}: there more than once; expected one"))),
            }
        };
        let id = one("x-call-id")?;
        let sound = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
        if id.is_empty() || id.len() > LONGEST_ID || !id.bytes().all(sound) {
            return Err(bad(format!(
                "x-call-id {}: expected up to {LONGEST_ID} letters and digits",
                cut(id)
            )));
        }
        let class = one("x-call-class")?;
        let traffic_class = s.traffic_classes.iter().position(|st| st.name == class);
        let traffic_class = traffic_class
            .ok_or_else(|| bad(format!("x-call-class {}: expected one of the settings", cut(class))))?;
        if s.traffic_classes[traffic_class].writes.is_some_and(|writes| writes != (r.method == "PUT")) {
            return Err(bad(format!("method {}: expected PUT where the class writes, else GET", r.method)));
        }
        let plan = one("x-storage-class")?;
        let plan_at = s.plans.iter().position(|p| p.name == plan);
        let plan = plan_at
            .ok_or_else(|| bad(format!("x-storage-class {}: expected one of the settings", cut(plan))))?;
        let budget = one("x-budget-ms")?;
        let left = whole(budget).filter(|ms| *ms <= LONGEST_BUDGET_MS);
        let left =
            left.ok_or_else(|| bad(format!("x-budget-ms {}: expected whole milliseconds", cut(budget))))?;
        let extent = one("x-extent")?;
        let (units, shard, hosts) = extent_of(extent, s.max_units)
            .ok_or_else(|| bad(format!("x-extent {}: expected units, shard and hosts", cut(extent))))?;
        let mut marks = r.headers.all("idempotency-key");
        let (mark, more) = (marks.next(), marks.next().is_some());
        let good = mark.is_none_or(|m| !m.is_empty() && m.len() <= LONGEST_MARK && visible(m));
        let needed = matches!(s.traffic_classes[traffic_class].effect, Effect::IdempotentByKey { .. });
        if more || !good || (needed && mark.is_none()) {
            return Err(bad(
                "idempotency-key: expected one, of visible characters, where the class is keyed".into(),
            ));
        }
        Ok(Call {
            id: id.to_owned(),
            volume,
            key,
            traffic_class: TrafficClassId(traffic_class as u32),
            plan: PlanId(plan as u32),
            left: TimeDelta::from_secs(left as f64 / 1e3),
            units,
            shard,
            hosts,
            head: head(&r, id, mark),
            body: r.body.clone(),
        })
    }
}

/// What every attempt says. Only what was understood goes on, written from its value.
fn head(r: &Request, id: &str, mark: Option<&str>) -> Bytes {
    let mut text = format!("{} {} HTTP/1.1\r\nX-Call-Id: {id}\r\n", r.method, r.target);
    if let Some(mark) = mark {
        text += &format!("Idempotency-Key: {mark}\r\n");
    }
    if r.method == "PUT" {
        text += &format!("Content-Length: {}\r\n", r.body.len());
    }
    Bytes::from(text)
}

/// Volume and key: the last two parts of the path.
fn place(target: &str) -> Option<(u64, u64)> {
    if !target.starts_with('/') || target.len() > LONGEST_TARGET || !visible(target) || target.contains('#') {
        return None;
    }
    let path = target.split('?').next()?;
    let mut parts = path.rsplit('/');
    let (key, volume) = (hex16(parts.next()?)?, hex16(parts.next()?)?);
    // Parts ahead of them that another reader could resolve differently lead to another place.
    let plain = parts.all(|p| p != "." && p != ".." && !p.contains('%'));
    plain.then_some((volume, key))
}

fn hex16(text: &str) -> Option<u64> {
    let good = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    good.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

fn visible(text: &str) -> bool {
    text.bytes().all(|b| b.is_ascii_graphic())
}

fn whole(text: &str) -> Option<u64> {
    let digits = !text.is_empty() && text.len() <= 12 && text.bytes().all(|b| b.is_ascii_digit());
    digits.then(|| text.parse().ok()).flatten()
}

/// `units=2,shard=5,hosts=3`, in any order; names that are not known are passed over.
fn extent_of(text: &str, max_units: f64) -> Option<(f64, Option<ShardId>, u32)> {
    let (mut units, mut shard, mut hosts) = (None, None, None);
    for (name, value) in text.split(',').map(|pair| pair.split_once('=')).collect::<Option<Vec<_>>>()? {
        let set = match name.trim() {
            "units" => units.replace(value.trim().parse::<f64>().ok()?).is_some(),
            "shard" => shard.replace(value.trim().parse::<i64>().ok()?).is_some(),
            "hosts" => hosts.replace(u32::try_from(whole(value.trim())?).ok()?).is_some(),
            _ => false,
        };
        if set {
            return None; // said twice
        }
    }
    let (units, shard, hosts) = (units?, shard?, hosts?);
    let most = if max_units > 0.0 { max_units } else { f64::MAX };
    let good =
        units.is_finite() && units > 0.0 && units <= most && shard >= -1 && (1..=MAX_HOSTS).contains(&hosts);
    let place = u32::try_from(shard).ok().map(ShardId);
    (good && (shard == -1 || place.is_some())).then_some((units, place, hosts))
}

/// As much of a client's words as an error shows.
fn cut(text: &str) -> &str {
    text.char_indices().nth(40).map_or(text, |(at, _)| &text[..at])
}
