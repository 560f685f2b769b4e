//! `wigeonbarrow`: the operators' command line.

mod cmd;
mod util;

fn main() {
    let matches = cmd::command().get_matches();
    match cmd::run(&matches) {
        Ok(()) => {}
        Err(err) => {
            eprintln!("wigeonbarrow: {err}");
            std::process::exit(err.exit_code());
        }
    }
}
