//! What operators start from is what the program reads.

use kelpcart_fleet::settings::Fleet;

#[test]
fn the_example_file_can_be_used_and_the_schema_is_the_present_one() {
    let read =
        |name: &str| std::fs::read_to_string(format!("{}/../deploy/{name}", env!("CARGO_MANIFEST_DIR")));
    Fleet::read(&read("fleet.json").unwrap()).unwrap();
    assert_eq!(read("fleet.schema.json").unwrap().trim(), Fleet::schema());
}
