//! The control plane's program.

use base::{
    boot::{self, Call},
    seam::Part,
};

base::flags!("The control plane of portspoke: keeps the operator's word, elects leaders, gives grants.");

#[compio::main]
async fn main() {
    let flags = flags();
    let (set, place) = boot::must_load(&flags, true);
    boot::log(&set.log);
    let env = boot::world(set.data.as_deref());
    let hub = match hub::run(&env, &place, Default::default()).await {
        Ok(h) => h,
        Err(e) => boot::fail(&e.to_string()),
    };
    loop {
        match boot::signal().await {
            Call::End => break,
            Call::Reload => match boot::load(&flags) {
                Ok((set, place)) => {
                    boot::log(&set.log);
                    hub.platform(place.platform);
                    env.log(Part::Main, "settings were read again; platform and log level are in force, the rest from the next start");
                }
                Err(e) => env.log(Part::Main, format!("the changed settings are refused, the old ones stay: {e}")),
            },
        }
    }
    env.log(Part::Main, "going down");
    hub.leave().await;
    env.sleep(place.bounds.pulse()).await;
}
