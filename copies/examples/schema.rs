//! Prints the JSON Schema of the replication settings.

fn main() {
    println!("{}", kelpcart_copies::settings::Copies::schema());
}
