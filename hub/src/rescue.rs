//! The way back from two lost disks, taken knowingly by a person.

use base::runtime::Env;

use crate::store::{Found, Store};

/// Tells what the disk holds; with the word it told, marks the image as one to form anew from.
pub async fn rescue(env: &Env, word: &str) -> Result<String, String> {
    let (mut store, mut state, found) = Store::open(env, 1 << 20).await.map_err(|e| e.to_string())?;
    let Some(image) = state.image.clone().filter(|_| found == Found::Whole) else {
        return Err("this disk holds no image; look at the other control nodes' disks".into());
    };
    if state.rescued {
        return Err(
            "this image was taken already; start all three control nodes, the other two on empty folders".into()
        );
    }
    let take = format!("take-{}-{}-{}", image.sequence, state.version_term, state.version_index);
    let elects: Vec<String> =
        image.elections.iter().map(|e| format!("{} led by {} on line {}", e.group, e.server, e.epoch)).collect();
    let held = format!(
        "This disk holds sequence {} (term {}, count {}): {} doorways, {} groups, {}.",
        image.sequence,
        state.version_term,
        state.version_index,
        image.routes.len(),
        image.groups.len(),
        elects.join(", ")
    );
    if word != take {
        let text = format!(
            "{held}\n\
             Going on from it loses every operator's word that was acknowledged after it, emptied areas among them, and \
             every later change of a group's members: check on the other two disks that neither can be read, and take \
             the highest count of those that can.\n\
             Stop all three control nodes and empty the folders of the other two; then run again with --rescue {take}"
        );
        return if word == "look" { Ok(text) } else { Err(format!("{word:?} is not this disk's word.\n{text}")) };
    }
    state.rescued = true;
    // The other disks, if they turn up after all, are not to count this one for the one they knew.
    state.incarnation = env.rand() | 1;
    store.save(&state).await.map_err(|e| e.to_string())?;
    Ok(format!("{held}\nTaken. Start all three control nodes, the other two on empty folders; they form anew from it."))
}
