use super::*;

#[test]
fn only_the_first_of_claim_and_withdraw_succeeds() {
    for claim_first in [true, false] {
        let t = Ticket::default();
        assert!(if claim_first { t.claim() } else { t.withdraw() });
        assert!(!t.claim() && !t.withdraw());
        assert_eq!((t.is_claimed(), t.is_stuck()), (claim_first, claim_first));
        t.written();
        assert_eq!((t.is_claimed(), t.is_stuck()), (claim_first, false));
    }
}
