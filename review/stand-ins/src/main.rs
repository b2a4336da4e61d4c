//! Runs one case: `kelpcart-review CASE RECORD`, from the repository's root. With TROUBLE=0 the disruption is left out.
//! Exits with 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.

mod cases;

use kelpcart_review::Record;
use std::path::PathBuf;
use std::process::ExitCode;

/// What a case found: the ways in which the rule was broken.
pub type Verdict = Result<Vec<String>, String>;

pub struct Run {
    pub record: Record,
    pub folder: PathBuf,
    pub trouble: bool,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, record] = args.as_slice() else {
        eprintln!("usage: kelpcart-review CASE RECORD");
        return ExitCode::from(2);
    };
    let Ok(record) = Record::create(&PathBuf::from(record)) else { return ExitCode::from(2) };
    let folder = std::env::temp_dir().join(format!("kelpcart-review-{}", std::process::id()));
    let calm = std::env::var("TROUBLE").is_ok_and(|t| t == "0");
    let run = Run { record: record.clone(), folder: folder.clone(), trouble: !calm };
    record.line(&format!(
        "case {case}, {}",
        if run.trouble { "with the disruption" } else { "without the disruption" }
    ));
    // No case takes half of this; the gateways end with this process.
    let (late, unused) = (record.clone(), folder.clone());
    std::thread::spawn(move || {
        std::thread::sleep(std::time::Duration::from_secs(110));
        late.line("couldn't run: not done after 110 s");
        _ = std::fs::remove_dir_all(unused);
        std::process::exit(2);
    });
    // A panic is a case that couldn't run; the gateways are killed as their values are dropped.
    let verdict = std::fs::create_dir_all(&folder).map_err(|e| e.to_string()).and_then(|()| {
        std::panic::catch_unwind(|| cases::run(case, &run)).unwrap_or_else(|_| Err("panicked".to_owned()))
    });
    if std::env::var("KEEP_LOGS").is_err() {
        _ = std::fs::remove_dir_all(&folder);
    }
    match verdict {
        Ok(broken) if broken.is_empty() => {
            record.line("the rule held");
            ExitCode::SUCCESS
        }
        Ok(broken) => {
            broken.iter().for_each(|b| record.line(&format!("BROKEN: {b}")));
            broken.iter().for_each(|b| println!("broken: {b}"));
            ExitCode::from(1)
        }
        Err(why) => {
            record.line(&format!("couldn't run: {why}"));
            eprintln!("couldn't run: {why}");
            ExitCode::from(2)
        }
    }
}
