//! Limits on how many units or hosts may be out at once.

use serde::{Deserialize, Serialize};

use super::place::{Place, UnitName};

/// A number of units, or a share of them. Limits round shares so that fewer units are out; waves round them
/// up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Amount {
    /// A number of units.
    Count(u32),
    /// A share of the units, in thousandths.
    Part(u32),
}

/// An amount as written in a file: `3` or `"12.5%"`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(untagged)]
enum AmountInFile {
    Count(u32),
    Part(String),
}

// In a file the type of the value distinguishes a count from a share. `postcard` does not encode types, so
// between nodes and on disk a flag says which of the two follows.
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
                    .ok_or_else(|| format!("{text:?} is neither a count nor a percentage such as \"10%\""))
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
    /// This amount out of `total`, rounded down.
    fn rounded_down(self, total: u32) -> u32 {
        match self {
            Amount::Count(count) => count,
            Amount::Part(part) => (u64::from(total) * u64::from(part) / 1000) as u32,
        }
    }

    /// This amount out of `total`, rounded up.
    pub(super) fn rounded_up(self, total: u32) -> u32 {
        match self {
            Amount::Count(count) => count,
            Amount::Part(part) => (u64::from(total) * u64::from(part)).div_ceil(1000) as u32,
        }
    }
}

/// Bounds on how many of a set of units or hosts are out at once.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// Maximum number out at once.
    pub most_out: Option<Amount>,
    /// Minimum number that stay in service.
    pub least_left: Option<Amount>,
}

impl Limit {
    /// How many of `total` may be out at once.
    pub fn room(&self, total: u32) -> u32 {
        let most_out = self.most_out.map_or(total, |most| most.rounded_down(total));
        let least_left = self.least_left.map_or(0, |least| least.rounded_up(total));
        most_out.min(total.saturating_sub(least_left))
    }
}

/// Limits for the whole fleet, and for each zone, cell and kind.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Limit for the whole fleet.
    pub fleet: Limit,
    /// Limit for each zone.
    pub zone: Limit,
    /// Limit for each cell.
    pub cell: Limit,
    /// Limit for each kind.
    pub kind: Limit,
}

/// A limit and the units or hosts that it applies to.
pub struct Scope<'a> {
    /// The name of the scope as shown to operators.
    pub name: String,
    /// The limit.
    pub limit: &'a Limit,
    /// The units or hosts that it applies to.
    pub members: Vec<&'a UnitName>,
}

impl Limits {
    /// All scopes that contain a unit or host at this place. `all` yields all units or hosts that these
    /// limits apply to.
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
