//! Renders the verdicts as text, as JSON, and as JUnit XML for CI systems.

use crate::search::{ExpectationResult, Verdict};
use serde_json::{Value, json};

/// Describes why an expectation fails; empty if it holds.
fn describe(verdict: &Verdict) -> String {
    match verdict {
        Verdict::Held => String::new(),
        Verdict::Vacuous => "never put to the test: nothing that could break it can occur".to_owned(),
        Verdict::Unusable(why) => why.clone(),
        Verdict::Broken { failures, why, object, trace } => {
            let with = |(name, failure): &(String, _)| format!("{name} {failure:?}").to_lowercase();
            let failures: Vec<String> = failures.iter().map(with).collect();
            let when = if failures.is_empty() {
                "with nobody in trouble".to_owned()
            } else {
                format!("with {}", failures.join(", "))
            };
            format!("{why}, {when}; object {object:016x}: {}", trace.join("; "))
        }
    }
}

fn label(verdict: &Verdict) -> &'static str {
    match verdict {
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
        let text = describe(&o.verdict);
        if !text.is_empty() {
            out.push_str(&format!("          {file}:{}: {text}\n", o.line));
        }
    }
    let failed = all.iter().filter(|o| !o.passes()).count();
    out.push_str(&format!("{} passed, {failed} failed\n", all.len() - failed));
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
            // XML 1.0, section 2.2: control characters are not allowed in a document, even escaped.
            c if c < ' ' && c != '\n' && c != '\t' => out.push(' '),
            c => out.push(c),
        }
    }
    out
}

pub fn junit(all: &[ExpectationResult], suite: &str) -> String {
    let failed = all.iter().filter(|o| !o.passes()).count();
    let mut out = format!(
        "<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n<testsuite name=\"{}\" tests=\"{}\" failures=\"{failed}\">\n",
        escaped(suite),
        all.len()
    );
    for o in all {
        let name = escaped(&o.name);
        if o.passes() {
            out.push_str(&format!("  <testcase name=\"{name}\"/>\n"));
        } else {
            let (kind, text) = (label(&o.verdict).to_lowercase(), escaped(&describe(&o.verdict)));
            out.push_str(&format!(
                "  <testcase name=\"{name}\"><failure type=\"{kind}\">{text}</failure></testcase>\n"
            ));
        }
    }
    out.push_str("</testsuite>\n");
    out
}
