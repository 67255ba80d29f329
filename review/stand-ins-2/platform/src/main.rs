//! The cases of the second review that are scripts: `review-stand-ins-2 CASE FOLDER`. Run from the
//! repository's root. With TROUBLE=0 the disruption is left out. Exit codes: 1 if the rule was broken,
//! 0 if it held, 2 if the case couldn't run.

mod cases;
mod clients;
mod gateway;
mod http;
mod json;
mod store;
mod worker;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let folder = PathBuf::from(arguments.next().unwrap_or_default());
    let is_quiet = std::env::var("TROUBLE").is_ok_and(|value| value == "0");
    let result = match case.as_str() {
        "early-answers" => cases::early_answers::run(&folder, !is_quiet),
        "incomplete-record" => cases::incomplete_record::run(&folder, !is_quiet),
        "large-records" => cases::large_records::run(&folder, !is_quiet),
        "upgraded-in-place" => cases::upgraded_in_place::run(&folder, !is_quiet),
        "unsigned-answers" => cases::unsigned_answers::run(&folder, !is_quiet),
        _ => Err(format!("unknown case {case:?}")),
    };
    match result {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::from(0),
        Err(problem) => {
            eprintln!("the case couldn't run: {problem}");
            ExitCode::from(2)
        }
    }
}
