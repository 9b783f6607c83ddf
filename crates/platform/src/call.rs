//! Validates a client's request and builds the head that its attempts have in common.

use crate::settings::Settings;
use bytes::Bytes;
use tackmast::interface::{Effect, PlanId, ShardId, TimeDelta, TrafficClassId};
use tackmast_http::Request;

/// A client's request that was checked against the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// The id that the client chose (`X-Call-Id`). [`Call::parse`] does not check that no other request in flight has it.
    pub id: String,
    /// The volume, from the path.
    pub volume: u64,
    /// The key, from the path.
    pub key: u64,
    /// The traffic class (`X-Call-Class`), by its number in the settings.
    pub traffic_class: TrafficClassId,
    /// The plan (`X-Storage-Class`), by its number in the settings.
    pub plan: PlanId,
    /// The time until the deadline (`X-Budget-Ms`), at most one hour.
    pub time_left: TimeDelta,
    /// The size of the request in units.
    pub units: f64,
    /// The shard that holds the data; `None` where any node may serve the request.
    pub shard: Option<ShardId>,
    /// The number of hosts through which clients send requests of this volume.
    pub hosts: u32,
    /// The part of the head that all attempts have in common; [`attempt_head`](crate::attempt_head) completes it.
    pub head: Bytes,
    /// The body, which all attempts have in common.
    pub body: Bytes,
}

/// The answer to a request that is not valid. No node gets such a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The HTTP status of the answer.
    pub status: u16,
    /// The body of the answer, which says what was found and what was expected.
    pub why: String,
}

impl Refusal {
    fn bad_request(why: String) -> Self {
        Refusal { status: 400, why }
    }
}

/// Maximum length of a request target, in bytes.
const MAX_TARGET_BYTES: usize = 1024;
/// Maximum length of an `X-Call-Id`, in bytes.
const MAX_ID_BYTES: usize = 64;
/// Maximum length of an `Idempotency-Key`, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 128;
/// Maximum `X-Budget-Ms`, which is one hour.
const MAX_BUDGET_MS: u64 = 3_600_000;
/// Maximum number of hosts in `X-Extent`.
const MAX_HOSTS: u32 = 10_000;
/// Maximum number of digits of an integer in a header field; 12 digits can't overflow 64 bits.
const MAX_DIGITS: usize = 12;
/// Number of hex digits of a volume and of a key in a path.
const PATH_ID_DIGITS: usize = 16;
/// The shard number with which a client says that any node may serve its request.
const ANY_SHARD: i64 = -1;
/// Maximum number of characters of a client's value that an error shows.
const MAX_SHOWN_CHARS: usize = 40;

impl Call {
    /// Checks a request. The head of its attempts is built anew from the checked values only. So no field can reach a node that the
    /// node might parse differently from this host.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if the method, the path or a header field is not valid, or if the settings have no such class or plan.
    pub fn parse(request: Request, settings: &Settings) -> Result<Call, Refusal> {
        check_method(&request)?;
        let (volume, key) = path_ids(&request.target).ok_or_else(|| Refusal {
            status: 404,
            why: format!(
                "path {}: expected a volume and a key, each 16 hex digits",
                shorten(&request.target)
            ),
        })?;
        let id = call_id(&request)?;
        let traffic_class = traffic_class(&request, settings)?;
        let plan = plan(&request, settings)?;
        let time_left = time_left(&request)?;
        let extent = single_value(&request, "x-extent")?;
        let (units, shard, hosts) = parse_extent(extent, settings.max_units).ok_or_else(|| {
            Refusal::bad_request(format!("x-extent {}: expected units, shard and hosts", shorten(extent)))
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
        let why = format!("method {}: expected GET or PUT", shorten(&request.method));
        return Err(Refusal { status: 405, why });
    }
    if request.method == "GET" && !request.body.is_empty() {
        return Err(Refusal::bad_request("body: expected none with GET".to_owned()));
    }
    Ok(())
}

/// Returns the value of a header field that must be present exactly once.
fn single_value<'a>(request: &'a Request, name: &'a str) -> Result<&'a str, Refusal> {
    let mut all = request.headers.all(name);
    match (all.next(), all.next()) {
        (Some(value), None) => Ok(value),
        (None, _) => Err(Refusal::bad_request(format!("{name}: not there; expected one"))),
        (_, Some(_)) => Err(Refusal::bad_request(format!("{name}: there more than once; expected one"))),
    }
}

fn call_id(request: &Request) -> Result<&str, Refusal> {
    let id = single_value(request, "x-call-id")?;
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    if id.is_empty() || id.len() > MAX_ID_BYTES || !id.bytes().all(is_allowed) {
        let why = format!("x-call-id {}: expected up to {MAX_ID_BYTES} letters and digits", shorten(id));
        return Err(Refusal::bad_request(why));
    }
    Ok(id)
}

/// Returns the number of the request's traffic class. Its method must fit whether the class writes.
fn traffic_class(request: &Request, settings: &Settings) -> Result<usize, Refusal> {
    let name = single_value(request, "x-call-class")?;
    let position = settings.traffic_classes.iter().position(|class| class.name == name).ok_or_else(|| {
        Refusal::bad_request(format!("x-call-class {}: expected one of the settings", shorten(name)))
    })?;
    if settings.traffic_classes[position].writes.is_some_and(|writes| writes != (request.method == "PUT")) {
        let why = format!("method {}: expected PUT where the class writes, else GET", request.method);
        return Err(Refusal::bad_request(why));
    }
    Ok(position)
}

/// Returns the number of the request's plan.
fn plan(request: &Request, settings: &Settings) -> Result<usize, Refusal> {
    let name = single_value(request, "x-storage-class")?;
    settings.plans.iter().position(|plan| plan.name == name).ok_or_else(|| {
        Refusal::bad_request(format!("x-storage-class {}: expected one of the settings", shorten(name)))
    })
}

fn time_left(request: &Request) -> Result<TimeDelta, Refusal> {
    let budget = single_value(request, "x-budget-ms")?;
    let ms = parse_integer(budget).filter(|ms| *ms <= MAX_BUDGET_MS).ok_or_else(|| {
        Refusal::bad_request(format!("x-budget-ms {}: expected whole milliseconds", shorten(budget)))
    })?;
    Ok(TimeDelta::from_secs(ms as f64 / 1e3))
}

/// Returns the idempotency key, which is required where requests of the class are idempotent by key.
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

/// Returns the part of the head that all attempts of a request have in common.
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

/// Returns volume and key, which are the last two segments of the path.
fn path_ids(target: &str) -> Option<(u64, u64)> {
    if !target.starts_with('/')
        || target.len() > MAX_TARGET_BYTES
        || !is_visible(target)
        || target.contains('#')
    {
        return None;
    }
    let path = target.split('?').next()?;
    let mut segments = path.rsplit('/');
    let (key, volume) = (parse_hex_id(segments.next()?)?, parse_hex_id(segments.next()?)?);
    // A node could resolve dot segments or percent-encoding before them to another path than the one checked here.
    let is_literal = |segment: &str| segment != "." && segment != ".." && !segment.contains('%');
    segments.all(is_literal).then_some((volume, key))
}

fn parse_hex_id(text: &str) -> Option<u64> {
    let is_hex = text.len() == PATH_ID_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    is_hex.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

/// Returns whether all characters are visible ASCII characters; a space is not.
fn is_visible(text: &str) -> bool {
    text.bytes().all(|byte| byte.is_ascii_graphic())
}

/// Parses an integer of up to 12 digits without a sign.
fn parse_integer(text: &str) -> Option<u64> {
    let is_number =
        !text.is_empty() && text.len() <= MAX_DIGITS && text.bytes().all(|byte| byte.is_ascii_digit());
    is_number.then(|| text.parse().ok()).flatten()
}

/// Parses `X-Extent`, such as `units=2,shard=5,hosts=3`. The order is free, and unknown names are ignored. The shard is `None` where
/// any node may serve the request. A `max_units` of 0 means that no maximum is known.
fn parse_extent(text: &str, max_units: f64) -> Option<(f64, Option<ShardId>, u32)> {
    let (mut units, mut shard, mut hosts) = (None, None, None);
    for (name, value) in text.split(',').map(|pair| pair.split_once('=')).collect::<Option<Vec<_>>>()? {
        let is_repeated = match name.trim() {
            "units" => units.replace(value.trim().parse::<f64>().ok()?).is_some(),
            "shard" => shard.replace(value.trim().parse::<i64>().ok()?).is_some(),
            "hosts" => hosts.replace(u32::try_from(parse_integer(value.trim())?).ok()?).is_some(),
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

/// Shortens a client's value to what an error shows.
fn shorten(text: &str) -> &str {
    text.char_indices().nth(MAX_SHOWN_CHARS).map_or(text, |(at, _)| &text[..at])
}
