use super::*;

/// A connection begins to write an attempt while the core withdraws it. If both succeeded, a request that was answered as rejected could
/// run.
#[test]
fn only_the_first_of_claim_and_withdraw_succeeds() {
    for claim_first in [true, false] {
        let ticket = Ticket::default();
        assert!(if claim_first { ticket.claim() } else { ticket.withdraw() });
        assert!(!ticket.claim() && !ticket.withdraw());
        assert_eq!((ticket.is_claimed(), ticket.is_stuck()), (claim_first, claim_first));
        ticket.mark_written();
        assert_eq!((ticket.is_claimed(), ticket.is_stuck()), (claim_first, false));
    }
}
