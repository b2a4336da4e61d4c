//! Explains where a txn would go: lists each member in the object's hash order with the reasons for and against it.
//!
//! Invariant: uses the same checks as the decisions, on a shared reference; decides and changes nothing.

use crate::interface::{MemberId, MemberState, Txn};
use crate::logic::Gateway;
use crate::state::Role;
use crate::time::{Span, Time};

/// The state of a member with regard to one txn.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberExplanation {
    pub member: MemberId,
    pub state: MemberState,
    /// It is ejected, as it has stopped answering; a probe hop may go there from this time.
    pub ejected_until: Option<Time>,
    /// It started recently and its cold-start budget is used up.
    pub cold_budget_spent: bool,
    /// The txn does not fit under this gateway's concurrency limit for the member.
    pub at_concurrency_limit: bool,
    /// Of a parent, 5 to 100: a fill goes there if the object's fraction is below a hundredth of it.
    pub weight: Option<f64>,
}

/// Each list is in the object's hash order.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// Caches of the gateway's zone.
    pub caches: Vec<MemberExplanation>,
    pub parents: Vec<MemberExplanation>,
    pub origins: Vec<MemberExplanation>,
    /// The object's fraction, 0 to 1.
    pub fraction: f64,
    /// The txn's own transfer time, or the mean of its rule where it is unknown.
    pub transfer_time: Span,
    /// The oldest copy that would be accepted; `None`: the remap rule's max age.
    pub max_age: Option<Span>,
    pub origin_failing: bool,
}

impl Gateway {
    /// Explains where a txn that arrives now would go.
    pub fn explain(&self, now: Time, txn: &Txn) -> Explanation {
        let by_role = |role| self.explain_role(now, role, txn);
        Explanation {
            caches: by_role(Role::Edge),
            parents: by_role(Role::Parent),
            origins: by_role(Role::Origin),
            fraction: self.object_fraction(txn),
            transfer_time: Span::from_secs_f64(self.transfer_secs(txn)),
            max_age: self.max_age_for(now, txn),
            origin_failing: self.origin_failing(),
        }
    }

    fn explain_role(&self, now: Time, role: Role, txn: &Txn) -> Vec<MemberExplanation> {
        let (transfer_secs, load) = (self.transfer_secs(txn), txn.size.unwrap_or(1.0));
        let member = |i: usize| {
            let record = &self.state.members[i];
            MemberExplanation {
                member: record.info.id.clone(),
                state: record.info.state,
                ejected_until: record.ejected_until,
                cold_budget_spent: !self.within_cold_budget(now, i, transfer_secs),
                at_concurrency_limit: !self.within_limit(now, i, load, transfer_secs),
                weight: (role == Role::Parent).then_some(record.weight_controller.weight),
            }
        };
        self.hash_order(role, txn, false).into_iter().map(member).collect()
    }
}
