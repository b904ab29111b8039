//! Reads an instance's start-up settings into the terms that the decisions know.

use std::str::FromStr;

use glendeck::domain::{Effect, Scope, Span, Terms, Traffic, Warming, Zone};
use rustc_hash::FxHashMap;

#[derive(Debug, thiserror::Error)]
pub enum ProfileFault {
    #[error("setting {0} is missing")]
    Missing(String),
    #[error("setting {key} has the value {value:?}, expected {expected}")]
    Bad { key: String, value: String, expected: &'static str },
    #[error("line {line} of the settings is no path=value pair")]
    NoPair { line: usize },
}

struct Pairs<'a>(FxHashMap<&'a str, &'a str>);

impl<'a> Pairs<'a> {
    fn text(&self, key: &str) -> Result<&'a str, ProfileFault> {
        self.0.get(key).copied().ok_or_else(|| ProfileFault::Missing(key.to_owned()))
    }

    fn parse<T: FromStr>(&self, key: &str, expected: &'static str) -> Result<T, ProfileFault> {
        let value = self.text(key)?;
        value.parse().map_err(|_| bad(key, value, expected))
    }

    fn number(&self, key: &str) -> Result<f64, ProfileFault> {
        let value: f64 = self.parse(key, "a number")?;
        if value.is_finite() && value >= 0.0 {
            Ok(value)
        } else {
            Err(bad(key, self.text(key)?, "a finite number of 0 or more"))
        }
    }

    fn number_or(&self, key: &str, absent: f64) -> Result<f64, ProfileFault> {
        if self.0.contains_key(key) { self.number(key) } else { Ok(absent) }
    }

    fn span(&self, key: &str) -> Result<Span, ProfileFault> {
        Ok(Span::from_seconds(self.number(key)? / 1e3))
    }

    fn flag(&self, key: &str) -> Result<bool, ProfileFault> {
        self.parse(key, "true or false")
    }

    /// A list in which single values may be absent.
    fn numbers(&self, key: &str) -> Result<Vec<Option<f64>>, ProfileFault> {
        let Some(text) = self.0.get(key).filter(|text| !text.is_empty()) else {
            return Ok(Vec::new());
        };
        let each = |n: &str| match n {
            "null" => Some(None),
            n => n.parse().ok().filter(|n: &f64| n.is_finite() && *n >= 0.0).map(Some),
        };
        let numbers: Option<Vec<Option<f64>>> = text.split(',').map(each).collect();
        numbers.ok_or_else(|| bad(key, text, "numbers with commas between them"))
    }
}

fn bad(key: &str, value: &str, expected: &'static str) -> ProfileFault {
    ProfileFault::Bad { key: key.to_owned(), value: value.to_owned(), expected }
}

pub fn read(text: &str) -> Result<Terms, ProfileFault> {
    let mut pairs = FxHashMap::default();
    for (at, line) in text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty()) {
        let (key, value) = line.split_once('=').ok_or(ProfileFault::NoPair { line: at + 1 })?;
        if value.trim() != "null" {
            pairs.insert(key.trim(), value.trim());
        }
    }
    let pairs = Pairs(pairs);
    let message_targets = pairs.numbers("extra.messageAimMs")?;
    let types: usize = pairs.parse("trafficTypes.count", "a whole number")?;
    let traffic = (0..types)
        .map(|i| traffic(&pairs, i, message_targets.get(i).copied().flatten()))
        .collect::<Result<_, _>>()?;
    let ask_within = match pairs.text("membershipMode")? {
        "on_request" => Some(pairs.span("safety.askWithinMs")?),
        "pushed" => None,
        other => return Err(bad("membershipMode", other, "pushed or on_request")),
    };
    let come_back = pairs.flag("caps.retryAfter")?.then(|| pairs.span("caps.maxRetryAfterMs")).transpose()?;
    Ok(Terms {
        traffic,
        zone: Zone(pairs.parse("myZone", "a whole number")?),
        me: pairs.parse("me", "a whole number")?,
        nodes: pairs.parse("fleetSize", "a whole number")?,
        tick: pairs.span("tickMs")?,
        max_legs: pairs.parse("caps.maxLegs", "a whole number")?,
        may_probe: pairs.flag("caps.mayProbe")?,
        may_recall: pairs.flag("caps.mayCancel")?,
        come_back,
        ask_within,
        warming: Warming {
            from: pairs.number("safety.coldFrom")?,
            after: pairs.span("safety.warmAfterMs")?,
            multiple: pairs.number("safety.fallMultiple")?,
            window: pairs.span("safety.fallMs")?,
        },
        crossing_price: pairs.number_or("prices.crossZone", 0.0)?,
        whole_weight: match (
            pairs.number_or("scoreParts.whole", 1.0)?,
            pairs.number_or("scoreParts.worstClass", 0.0)?,
        ) {
            (whole, worst) if whole + worst > 0.0 => whole / (whole + worst),
            _ => 1.0,
        },
    })
}

fn traffic(pairs: &Pairs, i: usize, message_target: Option<f64>) -> Result<Traffic, ProfileFault> {
    let key = |name: &str| format!("trafficTypes.{i}.{name}");
    let effect = match pairs.text(&key("effect"))? {
        "retryable" => Effect::Repeatable,
        "fragile" => Effect::OnceOnly,
        "dedup" => {
            let scope = match pairs.text(&key("group"))? {
                "all" => Scope::All,
                "zone" => Scope::Zone,
                "cell" => Scope::Cell,
                other => return Err(bad(&key("group"), other, "all, zone or cell")),
            };
            Effect::Referenced { scope, window: pairs.span(&key("windowMs"))? }
        }
        other => return Err(bad(&key("effect"), other, "retryable, dedup or fragile")),
    };
    Ok(Traffic {
        effect,
        setup_target: pairs.span(&key("setupTargetMs"))?,
        message_target: message_target.map(|ms| Span::from_seconds(ms / 1e3)),
        revenue: pairs.number(&key("revenue"))?,
    })
}
