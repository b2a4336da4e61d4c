//! Prints the JSON Schema of the target file: `cargo run -p kelpcart-scale --example target-schema`.

fn main() {
    println!("{}", kelpcart_scale::target::Target::schema());
}
