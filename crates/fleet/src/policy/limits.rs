//! Limits on how many units or hosts may be out at once.

use serde::{Deserialize, Serialize};

use super::place::{Place, UnitName};

/// A count of units, or a part of them. Parts round towards fewer out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Amount {
    /// So many.
    Count(u32),
    /// So many of a thousand.
    Part(u32),
}

/// As it stands in a file: `3`, or `"12.5%"`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(untagged)]
enum AmountInFile {
    Count(u32),
    Part(String),
}

// In a file the value's type tells a count from a part. Between nodes and on disk values carry no type, so a flag says
// which of the two follows.
impl Serialize for Amount {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match (serializer.is_human_readable(), *self) {
            (true, amount) => AmountInFile::from(amount).serialize(serializer),
            (false, Amount::Count(count)) => (false, count).serialize(serializer),
            (false, Amount::Part(part)) => (true, part).serialize(serializer),
        }
    }
}

impl<'a> Deserialize<'a> for Amount {
    fn deserialize<D: serde::Deserializer<'a>>(deserializer: D) -> Result<Amount, D::Error> {
        if deserializer.is_human_readable() {
            return Amount::try_from(AmountInFile::deserialize(deserializer)?)
                .map_err(serde::de::Error::custom);
        }
        let (is_part, number) = <(bool, u32)>::deserialize(deserializer)?;
        Ok(if is_part { Amount::Part(number) } else { Amount::Count(number) })
    }
}

impl TryFrom<AmountInFile> for Amount {
    type Error = String;

    fn try_from(written: AmountInFile) -> Result<Amount, String> {
        match written {
            AmountInFile::Count(count) => Ok(Amount::Count(count)),
            AmountInFile::Part(text) => {
                let number = text.strip_suffix('%').and_then(|text| text.parse::<f64>().ok());
                let part = number.filter(|part| (0.0..=100.0).contains(part));
                part.map(|part| Amount::Part((part * 10.0).round() as u32))
                    .ok_or_else(|| format!("{text:?} is neither a count nor a part like \"10%\""))
            }
        }
    }
}

impl From<Amount> for AmountInFile {
    fn from(amount: Amount) -> AmountInFile {
        match amount {
            Amount::Count(count) => AmountInFile::Count(count),
            Amount::Part(part) => AmountInFile::Part(format!("{}%", f64::from(part) / 10.0)),
        }
    }
}

impl Amount {
    /// This amount of so many, rounded towards fewer.
    fn rounded_down(self, total: u32) -> u32 {
        match self {
            Amount::Count(count) => count,
            Amount::Part(part) => (u64::from(total) * u64::from(part) / 1000) as u32,
        }
    }

    /// This amount of so many, rounded towards more.
    pub(super) fn rounded_up(self, total: u32) -> u32 {
        match self {
            Amount::Count(count) => count,
            Amount::Part(part) => (u64::from(total) * u64::from(part)).div_ceil(1000) as u32,
        }
    }
}

/// Bounds on what is out at once, over one set of units.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// Units out at once.
    pub most_out: Option<Amount>,
    /// Units that go on serving.
    pub least_left: Option<Amount>,
}

impl Limit {
    /// How many of so many may be out at once.
    pub fn room(&self, total: u32) -> u32 {
        let most_out = self.most_out.map_or(total, |most| most.rounded_down(total));
        let least_left = self.least_left.map_or(0, |least| least.rounded_up(total));
        most_out.min(total.saturating_sub(least_left))
    }
}

/// Limits over the fleet, and over each zone, cell and kind for itself.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Over all.
    pub fleet: Limit,
    /// Over each zone.
    pub zone: Limit,
    /// Over each cell.
    pub cell: Limit,
    /// Over each kind.
    pub kind: Limit,
}

/// One limit, and what it is over.
pub struct Scope<'a> {
    /// How the scope is shown to operators.
    pub name: String,
    /// The limit.
    pub limit: &'a Limit,
    /// The units or hosts that it is over.
    pub members: Vec<&'a UnitName>,
}

impl Limits {
    /// Every scope that something at this place is in. `all` gives everything that these limits are over.
    pub fn scopes_of<'a>(
        &'a self,
        place: &Place,
        all: impl Iterator<Item = (&'a UnitName, &'a Place)> + Clone,
    ) -> Vec<Scope<'a>> {
        let scope = |name: String, limit: &'a Limit, is_member: &dyn Fn(&Place) -> bool| {
            let members = all.clone().filter(|(_, other)| is_member(other)).map(|(name, _)| name);
            Scope { name, limit, members: members.collect() }
        };
        vec![
            scope("fleet".into(), &self.fleet, &|_| true),
            scope(format!("zone {:?}", place.zone), &self.zone, &|other| other.zone == place.zone),
            scope(format!("cell {:?}", place.cell), &self.cell, &|other| other.cell == place.cell),
            scope(format!("kind {:?}", place.kind), &self.kind, &|other| other.kind == place.kind),
        ]
    }
}
