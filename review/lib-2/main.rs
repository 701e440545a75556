//! Runs a case of the review: `cases NAME FOLDER ROOT`. Exits with 1 if the rule was broken, 0 if
//! it held, and 2 if the case could not run. With `TROUBLE=0` in the environment the disruption is
//! left out, with `KEEP_LOGS=1` the settings and logs of the controllers are kept in the temporary
//! folder. `explore` runs random disruptions from a `SEED` and checks all rules; it is no case.

mod cases;
mod controllers;
mod http;
mod json;
mod machines;
mod record;
mod store;
mod users;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder, root] = arguments.as_slice() else {
        eprintln!("cases NAME FOLDER ROOT");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    std::panic::set_hook(Box::new(|info| eprintln!("{info}")));
    let folder = std::path::PathBuf::from(folder);
    let root = std::path::PathBuf::from(root);
    controllers::end_after(std::time::Duration::from_secs(118));
    let outcome = std::panic::catch_unwind(|| cases::run(name, &folder, &root, trouble));
    std::process::exit(outcome.unwrap_or(2));
}
