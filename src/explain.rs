//! Tells why a txn would go where it goes: each member in the object's order with what speaks for and against it now.
//! Reads what the module knows, by the module's own tests; must never decide, nor change anything.

use crate::interface::{MemberId, MemberState, Txn};
use crate::logic::Gateway;
use crate::state::Role;
use crate::time::{Span, Time};

/// A member as it stands for one txn.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberExplanation {
    pub member: MemberId,
    pub state: MemberState,
    /// It answers nothing; a trial goes there at the time.
    pub ejected_until: Option<Time>,
    /// It started lately, and its budget is spent.
    pub cold_budget_spent: bool,
    /// This gateway has as much there as its gate lets through.
    pub at_concurrency_limit: bool,
    /// Of a parent, 0 to 100: a fill goes there if the object's fraction lies below a hundredth of it.
    pub weight: Option<f64>,
}

/// In the object's hash order each.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// Caches of the own zone.
    pub caches: Vec<MemberExplanation>,
    pub parents: Vec<MemberExplanation>,
    pub origins: Vec<MemberExplanation>,
    /// The object's fraction, 0 to 1.
    pub fraction: f64,
    /// Its own sending time, as far as it is told.
    pub transfer_time: Span,
    /// The oldest copy that would be asked for; `None`: the remap rule's fresh time.
    pub max_age: Option<Span>,
    pub origin_failing: bool,
}

impl Gateway {
    /// Why a txn that comes now would go where it goes.
    pub fn explain(&self, now: Time, txn: &Txn) -> Explanation {
        let all = |role| self.explain_role(now, role, txn);
        Explanation {
            caches: all(Role::Edge),
            parents: all(Role::Parent),
            origins: all(Role::Origin),
            fraction: self.object_fraction(txn),
            transfer_time: Span::from_secs_f64(self.transfer_secs(txn)),
            max_age: self.max_age_for(now, txn),
            origin_failing: self.origin_failing(),
        }
    }

    fn explain_role(&self, now: Time, role: Role, txn: &Txn) -> Vec<MemberExplanation> {
        let (sending, load) = (self.transfer_secs(txn), txn.size.unwrap_or(1.0));
        let one = |i: usize| {
            let c = &self.state.members[i];
            MemberExplanation {
                member: c.info.id.clone(),
                state: c.info.state,
                ejected_until: c.ejected_until,
                cold_budget_spent: !self.within_cold_budget(now, i, sending),
                at_concurrency_limit: !self.within_limit(now, i, load, sending),
                weight: (role == Role::Parent).then_some(c.weight_controller.weight),
            }
        };
        self.hash_order(role, txn, false).into_iter().map(one).collect()
    }
}
