//! Recovery after two of three disks were lost, confirmed explicitly by an operator.

use base::runtime::Env;

use crate::store::{DiskContent, Store};

/// Describes what the disk holds for the argument `look`. With the confirmation that this description names, marks the
/// image as the one from which the system forms again. Fails if the disk can't be used, holds no image, was marked
/// already, or if the argument is neither of the two.
pub async fn rescue(env: &Env, argument: &str) -> Result<String, String> {
    let (mut store, mut state, found) = Store::open(env, 1 << 20).await.map_err(|error| error.to_string())?;
    let Some(image) = state.image.clone().filter(|_| found == DiskContent::Valid) else {
        return Err("this disk holds no image; look at the other control nodes' disks".into());
    };
    if state.rescued {
        return Err(
            "this image was marked already; start all three control nodes, the other two on empty folders".into()
        );
    }
    let confirmation = format!("take-{}-{}-{}", image.sequence, state.version_term, state.version_index);
    let primaries: Vec<String> = image
        .elections
        .iter()
        .map(|election| format!("primary of {}: {} in epoch {}", election.group, election.server, election.epoch))
        .collect();
    let contents = format!(
        "This disk holds sequence {} (term {}, count {}): {} routes, {} groups, {}.",
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
             Continuing from it loses every order that was acknowledged after it, evacuations included, and \
             every later change of a group's members: check on the other two disks that neither can be read, and take \
             the highest count of those that can.\n\
             Stop all three control nodes and empty the folders of the other two; then run again with \
             --rescue {confirmation}"
        );
        return if argument == "look" {
            Ok(text)
        } else {
            Err(format!("{argument:?} is not the confirmation for this disk.\n{text}"))
        };
    }
    state.rescued = true;
    // If the other disks reappear, they must not take this disk for the member that they knew.
    state.incarnation = env.rand() | 1;
    store.save(&state).await.map_err(|error| error.to_string())?;
    Ok(format!(
        "{contents}\nMarked. Start all three control nodes, the other two on empty folders; they form again from it."
    ))
}
