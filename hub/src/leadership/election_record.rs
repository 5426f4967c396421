//! Writes elections down, those that wait together in one change: a change carries the whole image, and many groups have
//! their leaders written down at once after a start.

use futures::channel::oneshot;
use wire::{Elect, Image};

use super::Leadership;

/// An election that waits to be written down.
pub struct Pending {
    new: Elect,
    /// What must still stand in its place.
    old: Option<Elect>,
    done: oneshot::Sender<bool>,
}

impl Leadership {
    /// Writes an election down in the place of an older one; false if another stands there by now or its fate is unknown.
    pub(super) async fn write_elect(&self, new: Elect, old: Option<Elect>) -> bool {
        let (done, written) = oneshot::channel();
        self.pending_elects.borrow_mut().push(Pending { new, old, done });
        self.bell.ring();
        written.await.unwrap_or(false)
    }

    /// Writes what waits, all of it in each change.
    pub(super) async fn write_elects(&self) {
        loop {
            let waiting = || (!self.pending_elects.borrow().is_empty()).then_some(());
            self.bell.until(waiting).await;
            let batch = std::mem::take(&mut *self.pending_elects.borrow_mut());
            let changes: Vec<_> = batch.iter().map(|p| (p.new.clone(), p.old.clone())).collect();
            let image = self.consensus.propose(move |image| Ok(replace(image, &changes))).await;
            for pending in batch {
                let written = image.as_ref().is_ok_and(|i| i.elect(&pending.new.group) == Some(&pending.new));
                let _ = pending.done.send(written);
            }
        }
    }
}

/// Replaces each election whose older one still stands.
fn replace(image: &Image, changes: &[(Elect, Option<Elect>)]) -> Image {
    let mut next = image.clone();
    for (new, old) in changes {
        if image.elect(&new.group) != old.as_ref() {
            continue;
        }
        next.elects.retain(|e| e.group != new.group);
        next.elects.push(new.clone());
    }
    next
}
