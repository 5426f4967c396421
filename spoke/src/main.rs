//! The data plane's program.

use base::{
    boot::{self, Call},
    seam::Part,
};

base::flags!("The data plane of portspoke: takes callers' statements and brings them to the right server.");

#[compio::main]
async fn main() {
    let flags = flags();
    let (set, place) = boot::must_load(&flags, false);
    boot::log(&set.log);
    let env = boot::world(None);
    let spoke = match spoke::run(&env, &place, Default::default()).await {
        Ok(s) => s,
        Err(e) => boot::fail(&format!("http {} or peer {}: {e}", place.http, place.peer)),
    };
    loop {
        match boot::signal().await {
            Call::End => break,
            Call::Reload => match boot::load(&flags) {
                Ok((set, place)) => {
                    boot::log(&set.log);
                    spoke.policy(&place.policy);
                    env.log(Part::Main, "settings were read again; policy and log level are in force, the rest from the next start");
                }
                Err(e) => env.log(Part::Main, format!("the changed settings are refused, the old ones stay: {e}")),
            },
        }
    }
    env.log(Part::Main, "going down");
    spoke.leave().await;
}
