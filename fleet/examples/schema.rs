//! Prints the JSON Schema of the fleet settings file: `cargo run -p kelpcart-fleet --example fleet-schema`.

fn main() {
    println!("{}", kelpcart_fleet::settings::Fleet::schema());
}
