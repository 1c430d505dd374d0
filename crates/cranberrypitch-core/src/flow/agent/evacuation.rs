//! Evacuation of the agent's own failure domain.

use super::FlowAgent;
use crate::flow::cause::RefusalCause;
use crate::flow::evacuation::EvacuationSet;
use crate::flow::message::Action;

impl FlowAgent {
    /// Applies a set of evacuated failure domains, unless its version is not higher than that of the known
    /// set. Refuses the queued SYNs if the agent's own domain is evacuated, so that they go elsewhere at once.
    pub fn on_evacuations(&mut self, set: EvacuationSet) -> Vec<Action<'static>> {
        if self.evacuations.replace_by_newer(set) && self.is_evacuated() {
            self.refuse_queued_syns(RefusalCause::Evacuated)
        } else {
            Vec::new()
        }
    }

    /// Returns whether the agent refuses new flows because its failure domain is evacuated.
    pub(super) fn is_evacuated(&self) -> bool {
        self.evacuations.contains(&self.identity.failure_domain)
    }
}
