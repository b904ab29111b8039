//! Decoding of the retry budget.

use glendeck::domain::{RetryBudget, Span};

use crate::decode::retry_budget;
use crate::{SettingsError, SettingsMap};

fn decode(lines: &str) -> Result<Option<RetryBudget>, SettingsError> {
    retry_budget(&SettingsMap::from_lines(lines).unwrap())
}

#[test]
fn retry_budget_requires_all_of_its_settings_or_none() {
    assert_eq!(decode("").unwrap(), None);
    let complete = "safety.budgetFree=5\nsafety.repeatRatio=0.03\nsafety.budgetSpanMs=10000";
    let expected = RetryBudget { min_retries: 5.0, ratio: 0.03, window: Span::ms(10_000) };
    assert_eq!(decode(complete).unwrap(), Some(expected));
    let missing = decode("safety.budgetFree=5\nsafety.budgetSpanMs=10000").unwrap_err();
    assert!(missing.to_string().contains("safety.repeatRatio"), "{missing}");
    let zero_window = complete.replace("10000", "0");
    assert!(decode(&zero_window).unwrap_err().to_string().contains("safety.budgetSpanMs"));
}
