//! A toy client for trying out a gateway: reads a part of an object, or commits a text, and prints the answer.
//!
//!     toy_client 127.0.0.1:9000 segment 7f3a9c21e0b4d655
//!     toy_client 127.0.0.1:9000 commit 7f3a9c21e0b4d655 "some text"

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::TcpStream;
use std::time::{SystemTime, UNIX_EPOCH};

fn main() -> Result<()> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [gateway, class, object, rest @ ..] = args.as_slice() else {
        eprintln!("toy_client GATEWAY CLASS OBJECT [TEXT]; OBJECT: 16 hex digits");
        std::process::exit(2);
    };
    let mut stream = TcpStream::connect(gateway)?;
    let nanos = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64;
    let req = format!("{nanos:016x}");
    let fields = [
        ("req", &*req),
        ("subject", object),
        ("timeout", "2000"),
        ("slice", "0"),
        ("set", "1"),
        ("need", "1"),
    ];
    // [0, 1, class, [fields, body]]
    let mut out = vec![0x94, 0x00, 0x01];
    text(&mut out, class);
    out.extend([0x92, 0x80 | fields.len() as u8]);
    for (name, value) in fields {
        text(&mut out, name);
        text(&mut out, value);
    }
    let body = rest.join(" ").into_bytes();
    out.push(0xc5);
    out.extend((body.len() as u16).to_be_bytes());
    out.extend(body);
    stream.write_all(&out)?;
    // [1, 1, nil, [body, fields]] or [1, 1, [error, fields], nil]
    let mut head = [0; 5];
    stream.read_exact(&mut head)?;
    match head {
        [0x94, 1, 1, 0xc0, 0x92] => {
            let mut len = [0; 5];
            stream.read_exact(&mut len)?;
            let mut body = vec![0; u32::from_be_bytes([len[1], len[2], len[3], len[4]]) as usize];
            stream.read_exact(&mut body)?;
            println!("served: {}", String::from_utf8_lossy(&body).trim_end());
            Ok(())
        }
        [0x94, 1, 1, 0x92, short] => {
            let mut error = vec![0; usize::from(short & 0x1f)];
            stream.read_exact(&mut error)?;
            println!("not served: {}", String::from_utf8_lossy(&error));
            Ok(())
        }
        _ => Err(Error::new(ErrorKind::InvalidData, "unsupported form of answer")),
    }
}

fn text(out: &mut Vec<u8>, text: &str) {
    out.extend([0xd9, text.len() as u8]);
    out.extend(text.as_bytes());
}
