//! Cases of the review: `standin CASE RECORD`. Ends with 1 if the rule was broken, 0 if it held, 2 if the case could not
//! be run. With `TROUBLE=0` in the environment the disruption is left out.

mod cases;
mod client;
mod fleet;
mod http;
mod platform;
mod record;
mod server;
mod world;

use std::{path::PathBuf, process::exit, thread, time::Duration};

/// A run that is not over by then can't be judged.
const LONGEST: Duration = Duration::from_secs(115);

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, root, record] = &args[..] else {
        eprintln!("standin CASE ROOT RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    thread::spawn(|| {
        thread::sleep(LONGEST);
        eprintln!("the case took too long");
        // The processes are killed as their parent ends.
        exit(2);
    });
    match cases::run(case, &PathBuf::from(root), &PathBuf::from(record), trouble) {
        Ok(broken) => exit(i32::from(broken)),
        Err(text) => {
            eprintln!("the case could not be run: {text}");
            exit(2);
        }
    }
}
