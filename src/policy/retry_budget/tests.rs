//! Tests of the memory of the budget under many requests.

use super::*;

/// Bad clients send requests at full speed for a whole window. The times of all of them would fill the memory of the host; the budget
/// may count fewer, but never more than were received.
#[test]
fn counted_requests_are_bounded() {
    let window = TimeDelta::from_millis(5000);
    let settings = RetryBudgetSettings { free_retries: 0.0, retries_per_request: 0.001, window };
    let mut budget = RetryBudget::new(settings);
    let received = 4 * MAX_COUNTED_REQUESTS;
    let mut now = Instant::from_secs(100.0);
    for _ in 0..received {
        now = now + TimeDelta::from_micros(10);
        budget.record_request(now);
    }
    assert!(budget.requests.len() <= MAX_COUNTED_REQUESTS, "{} times are kept", budget.requests.len());
    let mut retries = 0;
    while budget.allows_retry(now) {
        budget.record_retry(now);
        retries += 1;
    }
    assert!((60..=65).contains(&retries), "{retries} retries for {received} requests");
}
