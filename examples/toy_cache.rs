//! Toy caches for trying a gateway: two boxes, a parent, an origin and a bulletin in one program, at the addresses
//! of `config.json`. They hold every object there is, as text, and print what they are asked. Not for real use.

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Read, Result, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

type Held = Arc<Mutex<BTreeSet<String>>>;

fn main() -> Result<()> {
    let roles = [("box-a", 9001), ("box-b", 9002), ("parent", 9003), ("origin", 9004)];
    for (name, port) in roles {
        let listener = TcpListener::bind(("127.0.0.1", port))?;
        let held = Held::default();
        println!("{name} listens on 127.0.0.1:{port}");
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let held = Arc::clone(&held);
                // A connection that breaks off is the client's affair.
                thread::spawn(move || serve(name, &held, stream));
            }
        });
    }
    let listener = TcpListener::bind("127.0.0.1:9070")?;
    println!("bulletin listens on 127.0.0.1:9070");
    for stream in listener.incoming().flatten() {
        thread::spawn(move || announce(stream));
    }
    Ok(())
}

/// One request after another: the first line, fields, a body if there is one.
fn serve(name: &str, held: &Held, mut stream: TcpStream) -> Result<()> {
    let mut lines = BufReader::new(stream.try_clone()?);
    loop {
        let mut first = String::new();
        if lines.read_line(&mut first)? == 0 {
            return Ok(());
        }
        let (mut length, mut source) = (0, None);
        loop {
            let mut line = String::new();
            lines.read_line(&mut line)?;
            match line.trim_end().split_once(": ") {
                Some(("Content-Length", n)) => length = n.parse().unwrap_or(0),
                Some(("X-Fill-From", from)) => source = Some(from.to_owned()),
                Some(_) => {}
                None => break,
            }
        }
        let mut body = vec![0; length];
        lines.read_exact(&mut body)?;
        let path = first.split(' ').nth(1).unwrap_or("/").to_owned();
        let new = held.lock().unwrap().insert(path.clone());
        let result = if new && name != "origin" { "filled" } else { "hit" };
        println!("{name}: {path}, {length} bytes with it, fill from {source:?}: {result}");
        let text = format!("{path}, as {name} holds it\n");
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nETag: 1\r\nX-Born-Ms: {now}\r\nX-Result: {result}\r\nContent-Length: {}\r\n\r\n{text}",
            text.len()
        )?;
    }
}

/// No news, once a second: the number of the last event.
fn announce(mut stream: TcpStream) -> Result<()> {
    loop {
        writeln!(stream, "1")?;
        thread::sleep(Duration::from_secs(1));
    }
}
