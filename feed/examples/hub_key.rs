//! Prints a pair of keys for a hub, `secret` for its own file and `public` for all files: `cargo run -p kelpcart-feed
//! --example hub-key`. With a secret (32 bytes in hex digits) it prints that one's pair.

use kelpcart_feed::settings::decode_hex;
use ring::rand::{SecureRandom, SystemRandom};
use ring::signature::{Ed25519KeyPair, KeyPair};

fn main() -> Result<(), &'static str> {
    let mut secret = [0; 32];
    match std::env::args().nth(1) {
        Some(told) => {
            let told = decode_hex(&told).and_then(|s| s.try_into().ok());
            secret = told.ok_or("32 bytes in hex digits are wanted")?;
        }
        None => SystemRandom::new().fill(&mut secret).map_err(|_| "the machine gives no random bytes")?,
    }
    let pair = Ed25519KeyPair::from_seed_unchecked(&secret).map_err(|_| "no key can be made of it")?;
    let digits = |bytes: &[u8]| bytes.iter().map(|b| format!("{b:02x}")).collect::<String>();
    println!("secret {}\npublic {}", digits(&secret), digits(pair.public_key().as_ref()));
    Ok(())
}
