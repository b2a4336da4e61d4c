//! Prints the schema of the settings file for links to other sites: `cargo run -p kelpcart-sites --example
//! schema`.

fn main() {
    println!("{}", kelpcart_sites::settings::Sites::schema());
}
