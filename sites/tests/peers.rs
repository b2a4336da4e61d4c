//! Real QUIC connections on loopback: who may connect, and that early data and certificates of others are
//! not accepted.

use async_io::block_on;
use futures_lite::future;
use kelpcart_rig::keys::Authority;
use kelpcart_sites::quic::{self, Endpoint, Keys, ReadError};
use kelpcart_sites::settings::{Congestion, KeyFiles};
use kelpcart_sites::wire::{self, Message};
use std::path::PathBuf;

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = format!("{}/peers-{name}-{}", env!("CARGO_TARGET_TMPDIR"), std::process::id());
        std::fs::create_dir_all(&path).unwrap();
        Folder(PathBuf::from(path))
    }

    fn keys(&self, authority: &Authority, site: &str) -> Keys {
        authority.write(&self.0, site).unwrap();
        let file = |name: String| self.0.join(name);
        let files = KeyFiles {
            certificate: file(format!("{site}.pem")),
            key: file(format!("{site}.key")),
            roots: file("roots.pem".to_owned()),
        };
        Keys::read(&files, Congestion::Delay).unwrap()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Runs `work` while both endpoints do their I/O.
fn run_with<T>(a: &Endpoint, b: &Endpoint, work: impl Future<Output = T>) -> T {
    let drive = async {
        future::zip(a.drive(), b.drive()).await;
        unreachable!("they never end")
    };
    block_on(future::or(work, drive))
}

#[test]
fn both_ends_authenticate_and_a_message_arrives_intact() {
    let (folder, authority) = (Folder::new("prove"), Authority::new().unwrap());
    let (near_keys, far_keys) = (folder.keys(&authority, "near"), folder.keys(&authority, "far"));
    let a = Endpoint::start(None, &near_keys).unwrap();
    let b = Endpoint::start(Some("127.0.0.1:0".parse().unwrap()), &far_keys).unwrap();
    let at = b.address().unwrap();
    run_with(&a, &b, async {
        let dial = async { a.dial(&near_keys, at, "far").await.unwrap() };
        let accept = async { b.accept().await.unwrap().await.unwrap() };
        let (client, server) = future::zip(dial, accept).await;
        assert!(quic::certifies_site(&client, "far") && !quic::certifies_site(&client, "near"));
        assert!(quic::certifies_site(&server, "near") && !quic::certifies_site(&server, "far"));
        let (mut send, _) = client.open_bi().await.unwrap();
        quic::write(&mut send, &wire::encode(Message::Ping(5))).await.unwrap();
        // Longer than a message may be; rejected by its length prefix.
        quic::write(&mut send, &[0xff; 8]).await.unwrap();
        let (_, mut recv) = server.accept_bi().await.unwrap();
        assert_eq!(quic::read(&mut recv).await.unwrap(), Message::Ping(5));
        assert!(matches!(quic::read(&mut recv).await, Err(ReadError::Decode(_))));
    });
}

#[test]
fn a_wrong_site_or_authority_is_refused() {
    let (folder, authority) = (Folder::new("wrong"), Authority::new().unwrap());
    let (near_keys, far_keys) = (folder.keys(&authority, "near"), folder.keys(&authority, "far"));
    let untrusted = Folder::new("stranger").keys(&Authority::new().unwrap(), "near");
    let a = Endpoint::start(None, &near_keys).unwrap();
    let b = Endpoint::start(Some("127.0.0.1:0".parse().unwrap()), &far_keys).unwrap();
    let at = b.address().unwrap();
    let accept = async {
        loop {
            // Some of these fail, as the test intends.
            _ = b.accept().await.unwrap().await;
        }
    };
    run_with(&a, &b, async {
        let work = async {
            // A site other than the one asked for answers; then an authority that neither end trusts.
            assert!(a.dial(&near_keys, at, "south").await.is_err());
            let connection = a.dial(&untrusted, at, "far").await;
            let closed = match connection {
                Err(_) => true,
                Ok(connection) => {
                    connection.closed().await;
                    true
                }
            };
            assert!(closed);
        };
        future::or(work, accept).await;
    });
}
