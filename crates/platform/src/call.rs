//! A client's request as checked values, and the head that attempts at nodes are sent with.

use crate::settings::Settings;
use bytes::Bytes;
use tackmast::interface::{Effect, PlanId, ShardId, TimeDelta, TrafficClassId};
use tackmast_http::Request;

/// A client's request, checked against the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// The client's name for it; no two open ones have the same.
    pub id: String,
    /// The volume of its path.
    pub volume: u64,
    /// The key of its path.
    pub key: u64,
    /// Its traffic class.
    pub traffic_class: TrafficClassId,
    /// Its plan.
    pub plan: PlanId,
    /// The time until its deadline.
    pub time_left: TimeDelta,
    /// Its size.
    pub units: f64,
    /// The shard that holds its data; none: any node may take it.
    pub shard: Option<ShardId>,
    /// Hosts through which requests of its volume come.
    pub hosts: u32,
    /// What every attempt sends, up to the header fields that are its own.
    pub head: Bytes,
    /// What every attempt sends after its head.
    pub body: Bytes,
}

/// Why a request is refused before it is admitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The status of the answer.
    pub status: u16,
    /// The body of the answer: what was found and what was expected.
    pub why: String,
}

impl Refusal {
    fn bad_request(why: String) -> Self {
        Refusal { status: 400, why }
    }
}

const MAX_TARGET_BYTES: usize = 1024;
const MAX_ID_BYTES: usize = 64;
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 128;
const MAX_BUDGET_MS: u64 = 3_600_000;
const MAX_HOSTS: u32 = 10_000;
/// Characters of a client's words that an error shows.
const MAX_SHOWN_CHARS: usize = 40;

impl Call {
    /// Checks a request. Only what is understood is sent on, written from its value.
    pub fn parse(r: Request, s: &Settings) -> Result<Call, Refusal> {
        check_method(&r)?;
        let (volume, key) = place(&r.target).ok_or_else(|| Refusal {
            status: 404,
            why: format!("path {}: expected a volume and a key, each 16 hex digits", cut(&r.target)),
        })?;
        let id = call_id(&r)?;
        let traffic_class = traffic_class(&r, s)?;
        let plan = plan(&r, s)?;
        let time_left = time_left(&r)?;
        let extent = single(&r, "x-extent")?;
        let (units, shard, hosts) = extent_of(extent, s.max_units).ok_or_else(|| {
            Refusal::bad_request(format!("x-extent {}: expected units, shard and hosts", cut(extent)))
        })?;
        let idempotency_key = idempotency_key(&r, s.traffic_classes[traffic_class].effect)?;
        Ok(Call {
            id: id.to_owned(),
            volume,
            key,
            traffic_class: TrafficClassId(traffic_class as u32),
            plan: PlanId(plan as u32),
            time_left,
            units,
            shard,
            hosts,
            head: head(&r, id, idempotency_key),
            body: r.body.clone(),
        })
    }
}

fn check_method(r: &Request) -> Result<(), Refusal> {
    if r.method != "GET" && r.method != "PUT" {
        let why = format!("method {}: expected GET or PUT", cut(&r.method));
        return Err(Refusal { status: 405, why });
    }
    if r.method == "GET" && !r.body.is_empty() {
        return Err(Refusal::bad_request("body: expected none with GET".to_owned()));
    }
    Ok(())
}

/// The value of a header field that has to be there once.
fn single<'a>(r: &'a Request, name: &'a str) -> Result<&'a str, Refusal> {
    let mut all = r.headers.all(name);
    match (all.next(), all.next()) {
        (Some(value), None) => Ok(value),
        (None, _) => Err(Refusal::bad_request(format!("{name}: not there; expected one"))),
        (_, Some(_)) => Err(Refusal::bad_request(format!("{name}: there more than once; expected one"))),
    }
}

fn call_id(r: &Request) -> Result<&str, Refusal> {
    let id = single(r, "x-call-id")?;
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
    if id.is_empty() || id.len() > MAX_ID_BYTES || !id.bytes().all(is_allowed) {
        let why = format!("x-call-id {}: expected up to {MAX_ID_BYTES} letters and digits", cut(id));
        return Err(Refusal::bad_request(why));
    }
    Ok(id)
}

/// The position of its traffic class in the settings.
fn traffic_class(r: &Request, s: &Settings) -> Result<usize, Refusal> {
    let name = single(r, "x-call-class")?;
    let position = s.traffic_classes.iter().position(|class| class.name == name).ok_or_else(|| {
        Refusal::bad_request(format!("x-call-class {}: expected one of the settings", cut(name)))
    })?;
    if s.traffic_classes[position].writes.is_some_and(|writes| writes != (r.method == "PUT")) {
        let why = format!("method {}: expected PUT where the class writes, else GET", r.method);
        return Err(Refusal::bad_request(why));
    }
    Ok(position)
}

/// The position of its plan in the settings.
fn plan(r: &Request, s: &Settings) -> Result<usize, Refusal> {
    let name = single(r, "x-storage-class")?;
    s.plans.iter().position(|plan| plan.name == name).ok_or_else(|| {
        Refusal::bad_request(format!("x-storage-class {}: expected one of the settings", cut(name)))
    })
}

fn time_left(r: &Request) -> Result<TimeDelta, Refusal> {
    let budget = single(r, "x-budget-ms")?;
    let ms = whole(budget).filter(|ms| *ms <= MAX_BUDGET_MS).ok_or_else(|| {
        Refusal::bad_request(format!("x-budget-ms {}: expected whole milliseconds", cut(budget)))
    })?;
    Ok(TimeDelta::from_secs(ms as f64 / 1e3))
}

fn idempotency_key(r: &Request, effect: Effect) -> Result<Option<&str>, Refusal> {
    let mut keys = r.headers.all("idempotency-key");
    let (key, has_more) = (keys.next(), keys.next().is_some());
    let is_valid = key.is_none_or(|k| !k.is_empty() && k.len() <= MAX_IDEMPOTENCY_KEY_BYTES && is_visible(k));
    let is_needed = matches!(effect, Effect::IdempotentByKey { .. });
    if has_more || !is_valid || (is_needed && key.is_none()) {
        let why = "idempotency-key: expected one, of visible characters, where the class is keyed";
        return Err(Refusal::bad_request(why.to_owned()));
    }
    Ok(key)
}

/// What every attempt sends.
fn head(r: &Request, id: &str, idempotency_key: Option<&str>) -> Bytes {
    let mut text = format!("{} {} HTTP/1.1\r\nX-Call-Id: {id}\r\n", r.method, r.target);
    if let Some(key) = idempotency_key {
        text += &format!("Idempotency-Key: {key}\r\n");
    }
    if r.method == "PUT" {
        text += &format!("Content-Length: {}\r\n", r.body.len());
    }
    Bytes::from(text)
}

/// Volume and key: the last two parts of the path.
fn place(target: &str) -> Option<(u64, u64)> {
    if !target.starts_with('/')
        || target.len() > MAX_TARGET_BYTES
        || !is_visible(target)
        || target.contains('#')
    {
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

fn is_visible(text: &str) -> bool {
    text.bytes().all(|b| b.is_ascii_graphic())
}

fn whole(text: &str) -> Option<u64> {
    let digits = !text.is_empty() && text.len() <= 12 && text.bytes().all(|b| b.is_ascii_digit());
    digits.then(|| text.parse().ok()).flatten()
}

/// `units=2,shard=5,hosts=3`, in any order; unknown names are ignored.
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
            return None; // given twice
        }
    }
    let (units, shard, hosts) = (units?, shard?, hosts?);
    let max_units = if max_units > 0.0 { max_units } else { f64::MAX };
    let good = units.is_finite()
        && units > 0.0
        && units <= max_units
        && shard >= -1
        && (1..=MAX_HOSTS).contains(&hosts);
    let place = u32::try_from(shard).ok().map(ShardId);
    (good && (shard == -1 || place.is_some())).then_some((units, place, hosts))
}

/// As much of a client's words as an error shows.
fn cut(text: &str) -> &str {
    text.char_indices().nth(MAX_SHOWN_CHARS).map_or(text, |(at, _)| &text[..at])
}
