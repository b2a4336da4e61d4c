//! The example settings are valid, and the schema file is current.

use kelpcart_copies::settings::Copies;

#[test]
fn the_example_file_can_be_used_and_the_schema_is_the_present_one() {
    let read =
        |name: &str| std::fs::read_to_string(format!("{}/../deploy/{name}", env!("CARGO_MANIFEST_DIR")));
    Copies::parse(&read("copies.json").unwrap()).unwrap();
    assert_eq!(read("copies.schema.json").unwrap().trim(), Copies::schema());
}
