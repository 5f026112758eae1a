//! Numbers that may be written as fractions.
//!
//! JSON has one type of number: 8 and 8.0 are the same value, and a sheet that gives 8 today may give 7.5 tomorrow. These
//! functions are for `#[serde(deserialize_with)]`. Times keep their fraction, to the nanosecond. [`limit`] rounds down, since a
//! limit must not be exceeded. [`whole`] refuses what is no whole number, as for versions and counts.

use std::fmt::Formatter;
use std::time::Duration;

use serde::Deserialize;
use serde::Deserializer;
use serde::de;
use serde::de::Unexpected;
use serde::de::Visitor;

/// Longest time that is accepted; adding it to the time of a clock doesn't overflow.
const MAX_TIME: Duration = Duration::from_millis(u64::MAX);
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// A number of at least 0, as it is written.
#[derive(Clone, Copy, Debug)]
enum Number {
    Whole(u64),
    Fraction(f64),
}

impl<'de> Deserialize<'de> for Number {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Number, D::Error> {
        deserializer.deserialize_f64(NumberVisitor)
    }
}

struct NumberVisitor;

impl Visitor<'_> for NumberVisitor {
    type Value = Number;

    fn expecting(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str("a number of at least 0")
    }

    fn visit_u64<E: de::Error>(self, number: u64) -> Result<Number, E> {
        Ok(Number::Whole(number))
    }

    fn visit_i64<E: de::Error>(self, number: i64) -> Result<Number, E> {
        let whole = u64::try_from(number);
        whole
            .map(Number::Whole)
            .map_err(|_| E::invalid_value(Unexpected::Signed(number), &self))
    }

    fn visit_f64<E: de::Error>(self, number: f64) -> Result<Number, E> {
        if number.is_finite() && number >= 0.0 {
            Ok(Number::Fraction(number))
        } else {
            Err(E::invalid_value(Unexpected::Float(number), &self))
        }
    }
}

impl Number {
    /// Returns the integral part; `None` if it is out of range.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "within the bounds of the type"
    )]
    fn floor(self) -> Option<u64> {
        match self {
            Number::Whole(number) => Some(number),
            Number::Fraction(number) => (number < u64::MAX as f64).then_some(number as u64),
        }
    }

    fn millis(self) -> Option<Duration> {
        match self {
            Number::Whole(millis) => Some(Duration::from_millis(millis)),
            Number::Fraction(millis) => {
                Duration::try_from_secs_f64(millis / MILLIS_PER_SECOND).ok()
            }
        }
    }

    fn seconds(self) -> Option<Duration> {
        match self {
            Number::Whole(seconds) => Some(Duration::from_secs(seconds)),
            Number::Fraction(seconds) => Duration::try_from_secs_f64(seconds).ok(),
        }
    }
}

/// Reads a time in milliseconds.
///
/// # Errors
///
/// Returns an error for what is not a number, is negative or too long.
pub fn millis<'de, D: Deserializer<'de>>(field: D) -> Result<Duration, D::Error> {
    time(Number::deserialize(field)?.millis())
}

/// Reads a time in milliseconds that may be null, or absent with `#[serde(default)]`.
///
/// # Errors
///
/// The same as of [`millis`].
pub fn optional_millis<'de, D: Deserializer<'de>>(field: D) -> Result<Option<Duration>, D::Error> {
    let number = Option::<Number>::deserialize(field)?;
    number.map(|number| time(number.millis())).transpose()
}

/// Reads a time in seconds that may be null, or absent with `#[serde(default)]`.
///
/// # Errors
///
/// The same as of [`millis`].
pub fn optional_seconds<'de, D: Deserializer<'de>>(field: D) -> Result<Option<Duration>, D::Error> {
    let number = Option::<Number>::deserialize(field)?;
    number.map(|number| time(number.seconds())).transpose()
}

/// Reads a limit, rounded down.
///
/// # Errors
///
/// Returns an error for what is not a number, is negative or too large for its type.
pub fn limit<'de, D: Deserializer<'de>, T: TryFrom<u64>>(field: D) -> Result<T, D::Error> {
    fit(Number::deserialize(field)?.floor())
}

/// Reads a limit that may be null, or absent with `#[serde(default)]`.
///
/// # Errors
///
/// The same as of [`limit`].
pub fn optional_limit<'de, D, T>(field: D) -> Result<Option<T>, D::Error>
where
    D: Deserializer<'de>,
    T: TryFrom<u64>,
{
    let number = Option::<Number>::deserialize(field)?;
    number.map(|number| fit(number.floor())).transpose()
}

/// Reads a whole number, which may be written with a fraction of zero.
///
/// # Errors
///
/// Returns an error for what is not a number, is negative, has another fraction or is too large for its type.
pub fn whole<'de, D: Deserializer<'de>, T: TryFrom<u64>>(field: D) -> Result<T, D::Error> {
    whole_of(Number::deserialize(field)?)
}

/// A whole number, for use within lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Whole<T>(pub T);

impl<'de, T: TryFrom<u64>> Deserialize<'de> for Whole<T> {
    fn deserialize<D: Deserializer<'de>>(field: D) -> Result<Whole<T>, D::Error> {
        whole(field).map(Whole)
    }
}

/// Reads a whole number that may be null, or absent with `#[serde(default)]`.
///
/// # Errors
///
/// The same as of [`whole`].
pub fn optional_whole<'de, D, T>(field: D) -> Result<Option<T>, D::Error>
where
    D: Deserializer<'de>,
    T: TryFrom<u64>,
{
    let number = Option::<Number>::deserialize(field)?;
    number.map(whole_of).transpose()
}

fn whole_of<T: TryFrom<u64>, E: de::Error>(number: Number) -> Result<T, E> {
    match number {
        Number::Fraction(fraction) if fraction.fract() != 0.0 => {
            Err(E::custom("must be a whole number"))
        }
        number => fit(number.floor()),
    }
}

fn time<E: de::Error>(time: Option<Duration>) -> Result<Duration, E> {
    time.filter(|time| *time <= MAX_TIME)
        .ok_or_else(|| E::custom("time that is too long"))
}

fn fit<T: TryFrom<u64>, E: de::Error>(number: Option<u64>) -> Result<T, E> {
    let number = number.and_then(|number| T::try_from(number).ok());
    number.ok_or_else(|| E::custom("number that is too large"))
}
