//! Counters of the search for a parent, for logs and metrics.

use std::cell::Cell;

/// Results of the searches for a parent.
#[derive(Default)]
pub struct SearchCounters {
    /// Searches since the start that found no parent.
    pub failed: Cell<u64>,
    failed_in_a_row: Cell<u64>,
    /// Addresses that the latest search tried.
    tried: Cell<usize>,
    /// How many of them answered.
    answered: Cell<usize>,
}

impl SearchCounters {
    /// Starts the counts of a search over that many addresses.
    pub(super) fn begin(&self, addresses: usize) {
        self.tried.set(addresses);
        self.answered.set(0);
    }

    /// Counts an address that answered.
    pub(super) fn note_answer(&self) {
        self.answered.set(self.answered.get() + 1);
    }

    /// Ends a search that found a parent.
    pub(super) fn end_found(&self) {
        self.failed_in_a_row.set(0);
    }

    /// Ends a search that found no parent. Returns a line for the log, at exponentially growing intervals while the
    /// searches go on failing.
    pub(super) fn end_failed(&self) -> Option<String> {
        self.failed.set(self.failed.get() + 1);
        let in_a_row = self.failed_in_a_row.get() + 1;
        self.failed_in_a_row.set(in_a_row);
        in_a_row.is_power_of_two().then(|| {
            let (tried, answered) = (self.tried.get(), self.answered.get());
            format!(
                "no parent in {in_a_row} searches: of {tried} addresses {answered} answered, none reaches the leading control node"
            )
        })
    }
}
