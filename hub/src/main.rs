//! The control plane's program.

use base::boot;

base::flags!("The control plane of portspoke: keeps the operator's word, elects leaders, gives grants.");

#[compio::main]
async fn main() {
    let flags = flags();
    let (set, place) = boot::must_load(&flags, true);
    boot::log(&set.log);
    let signals = boot::Signals::new().await;
    let env = boot::world(set.data.as_deref());
    if let Some(word) = &flags.rescue {
        // A running hub holds its address, and its disk is not to be touched.
        if env.listen(place.peer).await.is_err() {
            boot::fail(&format!("{} is in use: stop this control node first", place.peer));
        }
        match hub::rescue::rescue(&env, word).await {
            Ok(text) => return println!("{text}"),
            Err(text) => {
                eprintln!("{text}");
                std::process::exit(1);
            }
        }
    }
    let hub = match hub::run(&env, &place, Default::default()).await {
        Ok(h) => h,
        Err(e) => boot::fail(&e.to_string()),
    };
    let take = |place: &base::settings::Place| {
        hub.platform(place.platform);
        "platform"
    };
    signals.until_end(&env, &flags, take).await;
    hub.leave().await;
    env.sleep(place.bounds.pulse()).await;
}
