//! Encodes sets of hash prefixes as bytes: sorted, with Golomb-Rice coded differences (Rice, "Some Practical Universal
//! Noiseless Coding Techniques", 1979).
//!
//! Invariant: decoding returns the set that was encoded, and no length is trusted beyond what the bytes can hold.

use kelpcart::hash_prefix::PrefixSet;
use prost::encoding::{decode_varint, encode_varint, encoded_len_varint};

/// Maximum prefix length in bits.
pub const MAX_BITS: u8 = 40;
/// Minimum prefix length in bits; with it any set takes at most 520 bytes.
pub const MIN_BITS: u8 = 12;

/// The first prefix, then the differences less one.
fn deltas(names: &[u64]) -> impl Iterator<Item = u64> {
    let before = std::iter::once(None).chain(names.iter().copied().map(Some));
    names.iter().zip(before).map(|(&name, before)| before.map_or(name, |b| name - b - 1))
}

/// The Rice parameter with the shortest code, and the number of bits.
fn rice_parameter(names: &[u64]) -> (u8, u64) {
    if names.is_empty() {
        return (0, 0);
    }
    let n = names.len() as u64;
    let mean = names.last().copied().unwrap_or(0) / n;
    let estimate = 63 - mean.saturating_add(1).leading_zeros().min(63);
    let cost = |k: u32| deltas(names).map(|d| (d >> k) + 1 + u64::from(k)).fold(0, u64::saturating_add);
    let best = (estimate.saturating_sub(2)..=(estimate + 1).min(63)).map(|k| (cost(k), k)).min();
    best.map_or((0, 0), |(bits, k)| (k as u8, bits))
}

fn code_len(names: &[u64], coded_bits: u64) -> usize {
    2 + encoded_len_varint(names.len() as u64) + coded_bits.div_ceil(8) as usize
}

/// Encoded length in bytes.
pub fn encoded_len(names: &PrefixSet) -> usize {
    code_len(names.prefixes(), rice_parameter(names.prefixes()).1)
}

/// Layout: prefix length, Rice parameter, count, coded differences.
pub fn encode(names: &PrefixSet) -> Vec<u8> {
    let all = names.prefixes();
    let (k, coded_bits) = rice_parameter(all);
    let mut out = Vec::with_capacity(code_len(all, coded_bits));
    out.extend([names.bits(), k]);
    encode_varint(all.len() as u64, &mut out);
    let (mut held, mut free) = (0u8, 8u32);
    let mut bit = |one: bool| {
        free -= 1;
        held |= u8::from(one) << free;
        if free == 0 {
            out.push(held);
            (held, free) = (0, 8);
        }
    };
    for delta in deltas(all) {
        for _ in 0..delta >> k {
            bit(true);
        }
        bit(false);
        for i in (0..k).rev() {
            bit(delta >> i & 1 == 1);
        }
    }
    if free < 8 {
        out.push(held);
    }
    out
}

/// Returns `None` if the bytes are not a valid encoding.
pub fn decode(bytes: &[u8]) -> Option<PrefixSet> {
    let (&[bits, k], mut rest) = bytes.split_first_chunk::<2>()?;
    if bits > 64 || k > 63 {
        return None;
    }
    let count = decode_varint(&mut rest).ok()?;
    let bits_available = rest.len() as u64 * 8;
    // Guards against a count that claims more memory than its bytes can encode.
    if count.checked_mul(1 + u64::from(k))? > bits_available || count == 0 && k != 0 {
        return None;
    }
    let mut at = 0u64;
    let mut bit = || {
        let byte = rest.get((at / 8) as usize)?;
        at += 1;
        Some(byte >> (7 - (at - 1) % 8) & 1 == 1)
    };
    let max_name = u64::MAX.checked_shr(64 - u32::from(bits)).unwrap_or(0);
    let mut names = Vec::with_capacity(count as usize);
    let mut next = 0u64;
    for _ in 0..count {
        let mut high = 0u64;
        while bit()? {
            high += 1;
        }
        if high > u64::MAX >> k {
            return None;
        }
        let mut low = 0;
        for _ in 0..k {
            low = low << 1 | u64::from(bit()?);
        }
        let name = next.checked_add(high << k | low)?;
        if name > max_name {
            return None;
        }
        names.push(name);
        next = name.saturating_add(1);
    }
    while !at.is_multiple_of(8) {
        if rest[(at / 8) as usize] >> (7 - at % 8) & 1 == 1 {
            return None;
        }
        at += 1;
    }
    (at == bits_available).then(|| PrefixSet::from_prefixes(bits, names))
}

/// Encodes full-length hashes with the longest prefixes that fit.
pub fn encode_within(names: &[u64], max_bytes: usize) -> (u8, Vec<u8>) {
    let mut sorted = names.to_vec();
    sorted.sort_unstable();
    let mut bits = MAX_BITS;
    loop {
        let mut truncated: Vec<u64> = sorted.iter().map(|n| n >> (64 - bits)).collect();
        truncated.dedup();
        if bits == MIN_BITS || code_len(&truncated, rice_parameter(&truncated).1) <= max_bytes {
            return (bits, encode(&PrefixSet::from_prefixes(bits, truncated)));
        }
        bits -= 1;
    }
}
