//! Prints the schema of the file that names other sites: `cargo run -p kelpcart-sites --example schema`.

fn main() {
    println!("{}", kelpcart_sites::settings::Sites::schema());
}
