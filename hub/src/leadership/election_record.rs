//! Records elections in the replicated image, all that are pending in one change: a change carries the whole image, and
//! after a start many groups have their primaries recorded at once.

use futures::channel::oneshot;
use wire::{Election, Image};

use super::Leadership;

/// An election that waits to be recorded.
pub struct PendingElection {
    new: Election,
    /// The election that must still be recorded for the group.
    expected: Option<Election>,
    done: oneshot::Sender<bool>,
}

impl Leadership {
    /// Records an election in place of `expected`; false if another is recorded by now or if the outcome is unknown.
    pub(super) async fn write_election(&self, new: Election, expected: Option<Election>) -> bool {
        let (done, written) = oneshot::channel();
        self.pending_elections.borrow_mut().push(PendingElection { new, expected, done });
        self.state_changed.notify_waiters();
        written.await.unwrap_or(false)
    }

    /// Records pending elections, all of them in each change.
    pub(super) async fn write_elections(&self) {
        loop {
            let waiting = || (!self.pending_elections.borrow().is_empty()).then_some(());
            self.state_changed.wait_until(waiting).await;
            let batch = std::mem::take(&mut *self.pending_elections.borrow_mut());
            let changes: Vec<_> = batch.iter().map(|pending| (pending.new.clone(), pending.expected.clone())).collect();
            let image = self.consensus.propose(move |image| Ok(replace(image, &changes))).await;
            for pending in batch {
                let written =
                    image.as_ref().is_ok_and(|image| image.election(&pending.new.group) == Some(&pending.new));
                let _ = pending.done.send(written);
            }
        }
    }
}

/// Replaces each election whose expected predecessor is still recorded.
fn replace(image: &Image, changes: &[(Election, Option<Election>)]) -> Image {
    let mut next = image.clone();
    for (new, expected) in changes {
        if image.election(&new.group) != expected.as_ref() {
            continue;
        }
        next.elections.retain(|election| election.group != new.group);
        next.elections.push(new.clone());
    }
    next
}
