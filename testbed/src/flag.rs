//! Flags that the programs share.

use clap::Arg;
use clap::ArgMatches;
use clap::value_parser;

/// A flag with text.
pub fn text(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).default_value(default).help(help)
}

/// A flag with a whole number.
pub fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    text(name, default, help).value_parser(value_parser!(u64))
}

/// A flag with a number.
pub fn real(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    text(name, default, help).value_parser(value_parser!(f64))
}

/// A flag that is on or off.
pub fn switch(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    text(name, default, help).value_parser(["on", "off"])
}

/// An address flag.
pub fn addr(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    text(name, default, help).value_parser(value_parser!(std::net::SocketAddr))
}

/// The value of a flag that has a default.
pub fn get<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    let value = matches.get_one::<T>(name);
    value.expect("the flag has a default").clone()
}

/// The parts of a flag's text between commas, without empty ones.
pub fn list(matches: &ArgMatches, name: &str) -> Vec<String> {
    let value: String = get(matches, name);
    let parts = value.split(',').map(str::trim);
    parts
        .filter(|part| !part.is_empty())
        .map(str::to_owned)
        .collect()
}
