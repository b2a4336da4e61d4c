//! Prints the schema of the copies' file.

fn main() {
    println!("{}", kelpcart_copies::settings::Copies::schema());
}
