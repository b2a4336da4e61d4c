//! Prints the schema of the file that names a fleet: `cargo run -p kelpcart-fleet --example fleet-schema`.

fn main() {
    println!("{}", kelpcart_fleet::settings::Fleet::schema());
}
