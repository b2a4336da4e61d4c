//! The example settings and the schema that operators start from match the program.

use kelpcart_sites::settings::Sites;

#[test]
fn the_example_file_is_valid_and_the_schema_is_up_to_date() {
    let read =
        |name: &str| std::fs::read_to_string(format!("{}/../deploy/{name}", env!("CARGO_MANIFEST_DIR")));
    Sites::read(&read("sites.json").unwrap()).unwrap();
    assert_eq!(read("sites.schema.json").unwrap().trim(), Sites::schema());
}
