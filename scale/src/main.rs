fn main() {
    let quick = std::env::args().any(|a| a == "--quick");
    println!("{}", serde_json::to_string_pretty(&kelpcart_scale::ladders::fleet::measure(1, quick)).unwrap());
}
