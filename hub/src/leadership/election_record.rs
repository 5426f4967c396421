//! Writes elections down, those that wait together in one change: a change carries the whole image, and many groups have
//! their leaders written down at once after a start.

use futures::channel::oneshot;
use wire::{Election, Image};

use super::Leadership;

/// An election that waits to be written down.
pub struct Pending {
    new: Election,
    /// What must still stand in its place.
    old: Option<Election>,
    done: oneshot::Sender<bool>,
}

impl Leadership {
    /// Writes an election down in the place of an older one; false if another stands there by now or its fate is unknown.
    pub(super) async fn write_elect(&self, new: Election, old: Option<Election>) -> bool {
        let (done, written) = oneshot::channel();
        self.pending_elects.borrow_mut().push(Pending { new, old, done });
        self.bell.notify_waiters();
        written.await.unwrap_or(false)
    }

    /// Writes what waits, all of it in each change.
    pub(super) async fn write_elects(&self) {
        loop {
            let waiting = || (!self.pending_elects.borrow().is_empty()).then_some(());
            self.bell.wait_until(waiting).await;
            let batch = std::mem::take(&mut *self.pending_elects.borrow_mut());
            let changes: Vec<_> = batch.iter().map(|p| (p.new.clone(), p.old.clone())).collect();
            let image = self.consensus.propose(move |image| Ok(replace(image, &changes))).await;
            for pending in batch {
                let written = image.as_ref().is_ok_and(|i| i.election(&pending.new.group) == Some(&pending.new));
                let _ = pending.done.send(written);
            }
        }
    }
}

/// Replaces each election whose older one still stands.
fn replace(image: &Image, changes: &[(Election, Option<Election>)]) -> Image {
    let mut next = image.clone();
    for (new, old) in changes {
        if image.election(&new.group) != old.as_ref() {
            continue;
        }
        next.elections.retain(|e| e.group != new.group);
        next.elections.push(new.clone());
    }
    next
}
