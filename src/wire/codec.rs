//! Encodes frames: length (4 bytes, big endian), configuration revision (8 bytes, big endian),
//! then the body in bincode's standard format. Every decode is bounded.

use std::fmt;

use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Largest body of a frame in bytes: a snapshot of the configuration of 5,100 workspaces fits.
pub const MAX_BODY: usize = 16 << 20;

/// Bytes before a body.
pub const HEAD: usize = 12;

/// Why a frame was not decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The body would be larger than [`MAX_BODY`].
    TooLarge(usize),
    /// The body is not what it should be.
    Malformed(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge(len) => write!(f, "frame of {len} bytes is over {MAX_BODY}"),
            Self::Malformed(why) => write!(f, "malformed frame: {why}"),
        }
    }
}

impl std::error::Error for Error {}

/// Encodes one frame.
pub fn encode<T: Serialize>(revision: u64, body: &T) -> Result<Bytes, Error> {
    let conf = bincode::config::standard();
    let mut buf = BytesMut::new().writer();
    buf.get_mut().put_bytes(0, HEAD);
    bincode::serde::encode_into_std_write(body, &mut buf, conf)
        .map_err(|err| Error::Malformed(err.to_string()))?;
    let mut buf = buf.into_inner();
    let len = buf.len() - HEAD;
    if len > MAX_BODY {
        return Err(Error::TooLarge(len));
    }
    let mut head = &mut buf[..HEAD];
    head.put_u32(len as u32);
    head.put_u64(revision);
    Ok(buf.freeze())
}

/// Takes the first whole frame off `buf`: its revision and its body. `None`: more bytes are
/// needed.
pub fn decode<T: DeserializeOwned>(buf: &mut BytesMut) -> Result<Option<(u64, T)>, Error> {
    if buf.len() < HEAD {
        return Ok(None);
    }
    let mut head = &buf[..HEAD];
    let len = head.get_u32() as usize;
    let revision = head.get_u64();
    if len > MAX_BODY {
        return Err(Error::TooLarge(len));
    }
    if buf.len() < HEAD + len {
        buf.reserve(HEAD + len - buf.len());
        return Ok(None);
    }
    buf.advance(HEAD);
    let body = buf.split_to(len);
    let conf = bincode::config::standard().with_limit::<MAX_BODY>();
    let (value, used) = bincode::serde::decode_from_slice(&body, conf)
        .map_err(|err| Error::Malformed(err.to_string()))?;
    if used != len {
        return Err(Error::Malformed(format!("{} bytes too many", len - used)));
    }
    Ok(Some((revision, value)))
}
