//! Toy backends for trying out a gateway: two caches, a parent, an origin and a discovery service in one program, at the
//! addresses of `config.json`. They serve any object, as text, and print each request. Not for production.

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Read, Result, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

type Cached = Arc<Mutex<BTreeSet<String>>>;

fn main() -> Result<()> {
    let roles = [("box-a", 9001), ("box-b", 9002), ("parent", 9003), ("origin", 9004)];
    for (name, port) in roles {
        let listener = TcpListener::bind(("127.0.0.1", port))?;
        let cached = Cached::default();
        println!("{name} listens on 127.0.0.1:{port}");
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let cached = Arc::clone(&cached);
                // Errors of a connection are ignored: the client closed it.
                thread::spawn(move || serve(name, &cached, stream));
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

/// Serves requests one after another: request line, header fields, and a body if there is one.
fn serve(name: &str, cached: &Cached, mut stream: TcpStream) -> Result<()> {
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
        let new = cached.lock().unwrap().insert(path.clone());
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

/// Sends the number of the last event once a second: nothing has changed.
fn announce(mut stream: TcpStream) -> Result<()> {
    loop {
        writeln!(stream, "1")?;
        thread::sleep(Duration::from_secs(1));
    }
}
