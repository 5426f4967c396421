//! How the search for a parent goes, for logs and metrics.

use std::cell::Cell;

/// What the searches for a parent brought.
#[derive(Default)]
pub struct SearchCounters {
    /// Searches since the start that brought none.
    pub failed: Cell<u64>,
    failed_in_a_row: Cell<u64>,
    /// Of the newest search.
    tried: Cell<usize>,
    answered: Cell<usize>,
}

impl SearchCounters {
    /// A search begins at so many addresses.
    pub(super) fn begin(&self, addresses: usize) {
        self.tried.set(addresses);
        self.answered.set(0);
    }

    /// One of the addresses answered.
    pub(super) fn note_answer(&self) {
        self.answered.set(self.answered.get() + 1);
    }

    /// A parent was found.
    pub(super) fn end_found(&self) {
        self.failed_in_a_row.set(0);
    }

    /// None was found. A line for the log, ever more seldom as the searches go on.
    pub(super) fn end_failed(&self) -> Option<String> {
        self.failed.set(self.failed.get() + 1);
        let in_a_row = self.failed_in_a_row.get() + 1;
        self.failed_in_a_row.set(in_a_row);
        in_a_row.is_power_of_two().then(|| {
            let (tried, answered) = (self.tried.get(), self.answered.get());
            format!(
                "no parent in {in_a_row} searches: of {tried} addresses {answered} answered, none hears the leading hub"
            )
        })
    }
}
