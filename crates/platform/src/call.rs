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
    /// Hosts through which clients send requests of its volume.
    pub hosts: u32,
    /// The head that all attempts have in common.
    pub head: Bytes,
    /// The body of each attempt.
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

/// The longest request target.
const MAX_TARGET_BYTES: usize = 1024;
/// The longest `X-Call-Id`.
const MAX_ID_BYTES: usize = 64;
/// The longest `Idempotency-Key`.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 128;
/// The largest `X-Budget-Ms`: one hour.
const MAX_BUDGET_MS: u64 = 3_600_000;
/// The most hosts that `X-Extent` may name.
const MAX_HOSTS: u32 = 10_000;
/// Digits of a number in a header field; more cannot overflow 64 bits.
const MAX_DIGITS: usize = 12;
/// Hex digits of a volume and of a key.
const PATH_ID_DIGITS: usize = 16;
/// The shard number that stands for any shard.
const ANY_SHARD: i64 = -1;
/// Characters of a client's values that an error shows.
const MAX_SHOWN_CHARS: usize = 40;

impl Call {
    /// Checks a request. Only values that are understood reach a node, written anew: a field that the node parses in another way than
    /// this host can't pass.
    pub fn parse(request: Request, settings: &Settings) -> Result<Call, Refusal> {
        check_method(&request)?;
        let (volume, key) = path_ids(&request.target).ok_or_else(|| Refusal {
            status: 404,
            why: format!("path {}: expected a volume and a key, each 16 hex digits", cut(&request.target)),
        })?;
        let id = call_id(&request)?;
        let traffic_class = traffic_class(&request, settings)?;
        let plan = plan(&request, settings)?;
        let time_left = time_left(&request)?;
        let extent = single(&request, "x-extent")?;
        let (units, shard, hosts) = parse_extent(extent, settings.max_units).ok_or_else(|| {
            Refusal::bad_request(format!("x-extent {}: expected units, shard and hosts", cut(extent)))
        })?;
        let idempotency_key = idempotency_key(&request, settings.traffic_classes[traffic_class].effect)?;
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
            head: head(&request, id, idempotency_key),
            body: request.body.clone(),
        })
    }
}

fn check_method(request: &Request) -> Result<(), Refusal> {
    if request.method != "GET" && request.method != "PUT" {
        let why = format!("method {}: expected GET or PUT", cut(&request.method));
        return Err(Refusal { status: 405, why });
    }
    if request.method == "GET" && !request.body.is_empty() {
        return Err(Refusal::bad_request("body: expected none with GET".to_owned()));
    }
    Ok(())
}

/// The value of a header field that must be present once.
fn single<'a>(request: &'a Request, name: &'a str) -> Result<&'a str, Refusal> {
    let mut all = request.headers.all(name);
    match (all.next(), all.next()) {
        (Some(value), None) => Ok(value),
        (None, _) => Err(Refusal::bad_request(format!("{name}: not there; expected one"))),
        (_, Some(_)) => Err(Refusal::bad_request(format!("{name}: there more than once; expected one"))),
    }
}

fn call_id(request: &Request) -> Result<&str, Refusal> {
    let id = single(request, "x-call-id")?;
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    if id.is_empty() || id.len() > MAX_ID_BYTES || !id.bytes().all(is_allowed) {
        let why = format!("x-call-id {}: expected up to {MAX_ID_BYTES} letters and digits", cut(id));
        return Err(Refusal::bad_request(why));
    }
    Ok(id)
}

/// The position of its traffic class in the settings.
fn traffic_class(request: &Request, settings: &Settings) -> Result<usize, Refusal> {
    let name = single(request, "x-call-class")?;
    let position = settings.traffic_classes.iter().position(|class| class.name == name).ok_or_else(|| {
        Refusal::bad_request(format!("x-call-class {}: expected one of the settings", cut(name)))
    })?;
    if settings.traffic_classes[position].writes.is_some_and(|writes| writes != (request.method == "PUT")) {
        let why = format!("method {}: expected PUT where the class writes, else GET", request.method);
        return Err(Refusal::bad_request(why));
    }
    Ok(position)
}

/// The position of its plan in the settings.
fn plan(request: &Request, settings: &Settings) -> Result<usize, Refusal> {
    let name = single(request, "x-storage-class")?;
    settings.plans.iter().position(|plan| plan.name == name).ok_or_else(|| {
        Refusal::bad_request(format!("x-storage-class {}: expected one of the settings", cut(name)))
    })
}

fn time_left(request: &Request) -> Result<TimeDelta, Refusal> {
    let budget = single(request, "x-budget-ms")?;
    let ms = whole(budget).filter(|ms| *ms <= MAX_BUDGET_MS).ok_or_else(|| {
        Refusal::bad_request(format!("x-budget-ms {}: expected whole milliseconds", cut(budget)))
    })?;
    Ok(TimeDelta::from_secs(ms as f64 / 1e3))
}

fn idempotency_key(request: &Request, effect: Effect) -> Result<Option<&str>, Refusal> {
    let mut keys = request.headers.all("idempotency-key");
    let (key, has_more) = (keys.next(), keys.next().is_some());
    let is_valid =
        key.is_none_or(|key| !key.is_empty() && key.len() <= MAX_IDEMPOTENCY_KEY_BYTES && is_visible(key));
    let is_needed = matches!(effect, Effect::IdempotentByKey { .. });
    if has_more || !is_valid || (is_needed && key.is_none()) {
        let why = "idempotency-key: expected one, of visible characters, where the class is keyed";
        return Err(Refusal::bad_request(why.to_owned()));
    }
    Ok(key)
}

/// The head that all attempts of a request have in common.
fn head(request: &Request, id: &str, idempotency_key: Option<&str>) -> Bytes {
    let mut text = format!("{} {} HTTP/1.1\r\nX-Call-Id: {id}\r\n", request.method, request.target);
    if let Some(key) = idempotency_key {
        text += &format!("Idempotency-Key: {key}\r\n");
    }
    if request.method == "PUT" {
        text += &format!("Content-Length: {}\r\n", request.body.len());
    }
    Bytes::from(text)
}

/// Volume and key: the last two parts of the path.
fn path_ids(target: &str) -> Option<(u64, u64)> {
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
    // A node could resolve dots or escapes before them to another path than this host has checked.
    let is_literal = |part: &str| part != "." && part != ".." && !part.contains('%');
    parts.all(is_literal).then_some((volume, key))
}

fn hex16(text: &str) -> Option<u64> {
    let is_hex = text.len() == PATH_ID_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    is_hex.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

fn is_visible(text: &str) -> bool {
    text.bytes().all(|byte| byte.is_ascii_graphic())
}

/// A whole number, without a sign.
fn whole(text: &str) -> Option<u64> {
    let is_number =
        !text.is_empty() && text.len() <= MAX_DIGITS && text.bytes().all(|byte| byte.is_ascii_digit());
    is_number.then(|| text.parse().ok()).flatten()
}

/// `units=2,shard=5,hosts=3`, in any order; unknown names are ignored.
fn parse_extent(text: &str, max_units: f64) -> Option<(f64, Option<ShardId>, u32)> {
    let (mut units, mut shard, mut hosts) = (None, None, None);
    for (name, value) in text.split(',').map(|pair| pair.split_once('=')).collect::<Option<Vec<_>>>()? {
        let is_repeated = match name.trim() {
            "units" => units.replace(value.trim().parse::<f64>().ok()?).is_some(),
            "shard" => shard.replace(value.trim().parse::<i64>().ok()?).is_some(),
            "hosts" => hosts.replace(u32::try_from(whole(value.trim())?).ok()?).is_some(),
            _ => false,
        };
        if is_repeated {
            return None;
        }
    }
    let (units, shard, hosts) = (units?, shard?, hosts?);
    let max_units = if max_units > 0.0 { max_units } else { f64::MAX };
    let is_valid = units.is_finite()
        && units > 0.0
        && units <= max_units
        && shard >= ANY_SHARD
        && (1..=MAX_HOSTS).contains(&hosts);
    let shard_id = u32::try_from(shard).ok().map(ShardId);
    (is_valid && (shard == ANY_SHARD || shard_id.is_some())).then_some((units, shard_id, hosts))
}

/// As much of a client's value as an error shows.
fn cut(text: &str) -> &str {
    text.char_indices().nth(MAX_SHOWN_CHARS).map_or(text, |(at, _)| &text[..at])
}
