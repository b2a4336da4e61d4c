//! Tells the verdicts: for people, as JSON, and as JUnit XML for machines that show tests.

use crate::search::{ExpectationResult, Verdict};
use serde_json::{Value, json};

/// What is wrong with one, in a line or more; empty where it holds.
fn describe(found: &Verdict) -> String {
    match found {
        Verdict::Held => String::new(),
        Verdict::Vacuous => "never put to the test: nothing that could break it can occur".to_owned(),
        Verdict::Unusable(why) => why.clone(),
        Verdict::Broken { failures: troubles, why, object, trace: steps } => {
            let with = |(name, trouble): &(String, _)| format!("{name} {trouble:?}").to_lowercase();
            let troubles: Vec<String> = troubles.iter().map(with).collect();
            let when = if troubles.is_empty() {
                "with nobody in trouble".to_owned()
            } else {
                format!("with {}", troubles.join(", "))
            };
            format!("{why}, {when}; object {object:016x}: {}", steps.join("; "))
        }
    }
}

fn label(found: &Verdict) -> &'static str {
    match found {
        Verdict::Held => "holds",
        Verdict::Broken { .. } => "BROKEN",
        Verdict::Vacuous => "VACUOUS",
        Verdict::Unusable(_) => "UNUSABLE",
    }
}

pub fn text(all: &[ExpectationResult], file: &str) -> String {
    let mut out = String::new();
    for o in all {
        out.push_str(&format!("{:9} {} ({} circumstances)\n", label(&o.verdict), o.name, o.tried));
        let told = describe(&o.verdict);
        if !told.is_empty() {
            out.push_str(&format!("          {file}:{}: {told}\n", o.line));
        }
    }
    let bad = all.iter().filter(|o| !o.passes()).count();
    out.push_str(&format!("{} passed, {bad} failed\n", all.len() - bad));
    out
}

pub fn json(all: &[ExpectationResult]) -> Value {
    let one = |o: &ExpectationResult| json!({"name": o.name, "line": o.line, "verdict": label(&o.verdict).to_lowercase(), "told": describe(&o.verdict), "circumstances": o.tried});
    json!({"expectations": all.iter().map(one).collect::<Vec<_>>(), "failed": all.iter().filter(|o| !o.passes()).count()})
}

fn escaped(text: &str) -> String {
    let mut out = String::new();
    for c in text.chars() {
        match c {
            '&' => out.push_str("&amp;"),
            '<' => out.push_str("&lt;"),
            '>' => out.push_str("&gt;"),
            '"' => out.push_str("&quot;"),
            // XML 1.0, section 2.2: these may not stand in a document at all.
            c if c < ' ' && c != '\n' && c != '\t' => out.push(' '),
            c => out.push(c),
        }
    }
    out
}

pub fn junit(all: &[ExpectationResult], suite: &str) -> String {
    let bad = all.iter().filter(|o| !o.passes()).count();
    let mut out = format!(
        "<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n<testsuite name=\"{}\" tests=\"{}\" failures=\"{bad}\">\n",
        escaped(suite),
        all.len()
    );
    for o in all {
        let name = escaped(&o.name);
        if o.passes() {
            out.push_str(&format!("  <testcase name=\"{name}\"/>\n"));
        } else {
            let (kind, told) = (label(&o.verdict).to_lowercase(), escaped(&describe(&o.verdict)));
            out.push_str(&format!(
                "  <testcase name=\"{name}\"><failure type=\"{kind}\">{told}</failure></testcase>\n"
            ));
        }
    }
    out.push_str("</testsuite>\n");
    out
}
