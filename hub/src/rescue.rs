//! The way back from two lost disks, taken knowingly by a person.

use base::runtime::Env;

use crate::store::{Found, Store};

/// Tells what the disk holds; with the word it told, marks the image as one to form anew from.
pub async fn rescue(env: &Env, argument: &str) -> Result<String, String> {
    let (mut store, mut state, found) = Store::open(env, 1 << 20).await.map_err(|election| election.to_string())?;
    let Some(image) = state.image.clone().filter(|_| found == Found::Whole) else {
        return Err("this disk holds no image; look at the other control nodes' disks".into());
    };
    if state.rescued {
        return Err(
            "this image was taken already; start all three control nodes, the other two on empty folders".into()
        );
    }
    let confirmation = format!("take-{}-{}-{}", image.sequence, state.version_term, state.version_index);
    let primaries: Vec<String> = image
        .elections
        .iter()
        .map(|election| format!("{} led by {} on line {}", election.group, election.server, election.epoch))
        .collect();
    let contents = format!(
        "This disk holds sequence {} (term {}, count {}): {} doorways, {} groups, {}.",
        image.sequence,
        state.version_term,
        state.version_index,
        image.routes.len(),
        image.groups.len(),
        primaries.join(", ")
    );
    if argument != confirmation {
        let text = format!(
            "{contents}\n\
             Going on from it loses every operator's word that was acknowledged after it, emptied areas among them, and \
             every later change of a group's members: check on the other two disks that neither can be read, and take \
             the highest count of those that can.\n\
             Stop all three control nodes and empty the folders of the other two; then run again with --rescue {confirmation}"
        );
        return if argument == "look" {
            Ok(text)
        } else {
            Err(format!("{argument:?} is not this disk's word.\n{text}"))
        };
    }
    state.rescued = true;
    // The other disks, if they turn up after all, are not to count this one for the one they knew.
    state.incarnation = env.rand() | 1;
    store.save(&state).await.map_err(|election| election.to_string())?;
    Ok(format!(
        "{contents}\nTaken. Start all three control nodes, the other two on empty folders; they form anew from it."
    ))
}
