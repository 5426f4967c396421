//! The data plane's program.

use base::boot;

base::flags!("The data plane of portspoke: takes callers' statements and brings them to the right server.");

#[compio::main]
async fn main() {
    let flags = flags();
    let (set, place) = boot::must_load(&flags, false);
    boot::log(&set.log);
    let signals = boot::Signals::new().await;
    let env = boot::world(None);
    let spoke = match spoke::run(&env, &place, Default::default()).await {
        Ok(s) => s,
        Err(e) => boot::fail(&format!("http {} or peer {}: {e}", place.http, place.peer)),
    };
    let take = |place: &base::settings::Place| {
        spoke.policy(&place.policy);
        "policy"
    };
    signals.until_end(&env, &flags, take).await;
    spoke.leave().await;
}
