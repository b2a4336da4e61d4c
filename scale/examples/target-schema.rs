//! Prints the schema of the target's file: `cargo run -p kelpcart-scale --example target-schema`.

fn main() {
    println!("{}", kelpcart_scale::target::Target::schema());
}
