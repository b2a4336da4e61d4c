//! Prints a key pair for a hub, `secret` for its own file and `public` for all files: `cargo run -p kelpcart-feed
//! --example hub-key`. With a secret (32 bytes in hexadecimal) as argument, prints the pair of that one.

use kelpcart_feed::settings::decode_hex;
use ring::rand::{SecureRandom, SystemRandom};
use ring::signature::{Ed25519KeyPair, KeyPair};

fn main() -> Result<(), &'static str> {
    let mut secret = [0; 32];
    match std::env::args().nth(1) {
        Some(given) => {
            let given = decode_hex(&given).and_then(|s| s.try_into().ok());
            secret = given.ok_or("the secret must be 32 bytes in hexadecimal")?;
        }
        None => SystemRandom::new().fill(&mut secret).map_err(|_| "no random bytes available")?,
    }
    let pair = Ed25519KeyPair::from_seed_unchecked(&secret).map_err(|_| "the secret is not a valid seed")?;
    let digits = |bytes: &[u8]| bytes.iter().map(|b| format!("{b:02x}")).collect::<String>();
    println!("secret {}\npublic {}", digits(&secret), digits(pair.public_key().as_ref()));
    Ok(())
}
