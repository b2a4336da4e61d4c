//! The relay survives a suspension of its own process. The test is alone in its file because it suspends the process.

use kelpcart_rig::link_emulator::LinkConditions;
use kelpcart_rig::relay::Relay;
use std::net::UdpSocket;
use std::process::Command;
use std::time::Duration;

/// Reads with a timeout fail with `EINTR` when a suspended process is resumed (signal(7)); the relay must not take
/// that as the end of the link.
#[test]
fn a_relay_forwards_after_its_process_was_suspended() {
    let far = UdpSocket::bind("127.0.0.1:0").unwrap();
    let relay = Relay::start(far.local_addr().unwrap(), 1, LinkConditions::default()).unwrap();
    let near = UdpSocket::bind("127.0.0.1:0").unwrap();
    let patience = Some(Duration::from_secs(5));
    [&far, &near].iter().for_each(|s| s.set_read_timeout(patience).unwrap());
    let mut bytes = [0; 16];
    let mut there_and_back = |n: u8| {
        near.send_to(&[n], relay.address).unwrap();
        let (_, by) = far.recv_from(&mut bytes).unwrap();
        assert_eq!(bytes[0], n);
        far.send_to(&[n, n], by).unwrap();
        assert_eq!(near.recv(&mut bytes).unwrap(), 2);
    };
    there_and_back(1);
    let pid = std::process::id();
    for n in 2..5 {
        let stops = format!("kill -STOP {pid}; sleep 0.2; kill -CONT {pid}; sleep 0.1");
        assert!(Command::new("sh").args(["-c", &stops]).status().unwrap().success());
        there_and_back(n);
    }
}
