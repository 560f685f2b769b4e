//! `wigeonbarrow zone evacuate`, `restore` and `list`

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use wigeonbarrow::wire::agree;

use crate::util;

const EVACUATE: &str = "Sends no new requests to the backend servers of a zone, until it is \
                        restored. What runs there ends.";
const RESTORE: &str = "Withdraws the evacuation of a zone.";
const LIST: &str = "Lists the evacuated zones.";

pub fn commands() -> [Command; 3] {
    [
        Command::new("evacuate").about(EVACUATE).arg(zone()),
        Command::new("restore").about(RESTORE).arg(zone()),
        Command::new("list").about(LIST),
    ]
}

fn zone() -> Arg {
    Arg::new("zone")
        .value_name("ZONE")
        .help("Availability zone")
        .required(true)
}

pub fn run(name: &str, matches: &ArgMatches) -> Result<(), util::Error> {
    let client = util::Client::new(matches)?;
    let verdict = if name == "list" {
        client.get("/admin/v1/zones")?
    } else {
        let zone = matches.get_one::<String>("zone");
        let zone = zone.map_or("", String::as_str);
        client.post(&format!("/admin/v1/zones/{zone}/{name}"), &())?
    };
    let evacuations = match verdict {
        agree::Verdict::Evacuations(evacuations) => evacuations,
        agree::Verdict::Invalid(findings) => return Err(util::Error::Findings(findings)),
        _ => {
            let text = "no quorum answered in time; the same order may be sent again";
            return Err(util::Error::Unknown(text.to_owned()));
        }
    };
    if util::is_json(matches) {
        return util::print_json(&evacuations);
    }
    for zone in &evacuations.zones {
        println!("{zone}");
    }
    Ok(())
}
