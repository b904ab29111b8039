//! The retry budget's settings.

use glendeck::domain::{RetryBudget, Span};

use crate::decode::retry_budget;
use crate::{SettingsError, SettingsMap};

fn decode(lines: &str) -> Result<Option<RetryBudget>, SettingsError> {
    retry_budget(&SettingsMap::from_lines(lines).unwrap())
}

#[test]
fn a_budget_is_whole_or_none() {
    assert_eq!(decode("").unwrap(), None);
    let whole = "safety.budgetFree=5\nsafety.repeatRatio=0.03\nsafety.budgetSpanMs=10000";
    let expected = RetryBudget { min_retries: 5.0, ratio: 0.03, window: Span::ms(10_000) };
    assert_eq!(decode(whole).unwrap(), Some(expected));
    let missing = decode("safety.budgetFree=5\nsafety.budgetSpanMs=10000").unwrap_err();
    assert!(missing.to_string().contains("safety.repeatRatio"), "{missing}");
    let without_span = whole.replace("10000", "0");
    assert!(decode(&without_span).unwrap_err().to_string().contains("safety.budgetSpanMs"));
}
