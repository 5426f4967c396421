//! Writes elections down, those that wait together in one change: a change carries the whole image, and many groups have
//! their leaders written down at once after a start.

use futures::channel::oneshot;
use wire::{Election, Image};

use super::Leadership;

/// An election that waits to be written down.
pub struct PendingElection {
    new: Election,
    /// What must still stand in its place.
    expected: Option<Election>,
    done: oneshot::Sender<bool>,
}

impl Leadership {
    /// Writes an election down in the place of an older one; false if another stands there by now or its fate is unknown.
    pub(super) async fn write_election(&self, new: Election, expected: Option<Election>) -> bool {
        let (done, written) = oneshot::channel();
        self.pending_elections.borrow_mut().push(PendingElection { new, expected, done });
        self.state_changed.notify_waiters();
        written.await.unwrap_or(false)
    }

    /// Writes what waits, all of it in each change.
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

/// Replaces each election whose older one still stands.
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
