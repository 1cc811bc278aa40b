//! Decoding of messages between instances from malformed input.

use bolero::produce;
use sesamewind_protocol::codec::{CodecError, MAX_MESSAGE_BYTES, decode, encode};
use sesamewind_protocol::message::{ConfigDigest, Exchange, LeavingEntry, Sender};
use sesamewind_protocol::record::{Lookup, LookupReply};
use sesamewind_protocol::traffic::TargetUsage;
use sesamewind_protocol::{Incarnation, Revision, WallTime};
use sesamewind_seeded::Cases;

fn exchange() -> Exchange {
    let from = Sender {
        deployment: "bomba".to_owned(),
        instance: "entry-1".into(),
        incarnation: Incarnation(7),
        zone: "ke-central-a".into(),
        seq: 9,
    };
    let mut exchange = Exchange::new(from, WallTime(1_000));
    exchange.config = ConfigDigest { revision: Revision(4), hash: "00ff".to_owned() };
    let target = TargetUsage {
        target: "engine-1".into(),
        requests: 3,
        tokens: 900,
        prefill: 100,
        prefill_speed: 8_000.0,
    };
    exchange.targets = vec![target; 5];
    exchange.leaving =
        vec![LeavingEntry { target: "engine-2".into(), incarnation: Incarnation(1) }];
    exchange
}

/// Arbitrary input never makes the decoder panic, and a message that it accepts can be encoded and
/// decoded again.
#[test]
fn random_bytes_are_refused_or_read() {
    Cases::default().check(produce::<Vec<u8>>(), |_, bytes| {
        let _ = decode::<Lookup>(&bytes);
        let _ = decode::<LookupReply>(&bytes);
        if let Ok(exchange) = decode::<Exchange>(&bytes) {
            let again = encode(&exchange).expect("a decoded message is within the size limit");
            assert!(decode::<Exchange>(&again).is_ok());
        }
    });
}

/// Damages a valid message, since arbitrary input rarely decodes beyond the first fields: bytes are
/// changed, and then the message is truncated.
#[test]
fn garbled_messages_are_refused_or_read() {
    let message = encode(&exchange()).unwrap();
    Cases::default().check(produce::<(Vec<(u16, u8)>, u16)>(), |_, (changes, length)| {
        let mut bytes = message.clone();
        for (position, byte) in changes {
            let position = usize::from(position) % bytes.len();
            bytes[position] = byte;
        }
        let _ = decode::<Exchange>(&bytes);
        bytes.truncate(usize::from(length) % message.len());
        assert!(decode::<Exchange>(&bytes).is_err(), "a truncated message is refused");
    });
}

/// The decoder must not allocate memory for a length that exceeds the input.
#[test]
fn claimed_lengths_are_not_trusted() {
    struct Case {
        name: &'static str,
        bytes: &'static [u8],
    }
    let cases = [
        Case { name: "array of 4 billion", bytes: &[0xdd, 0xff, 0xff, 0xff, 0xff] },
        Case { name: "string of 4 billion", bytes: &[0x91, 0xdb, 0xff, 0xff, 0xff, 0xff] },
        Case { name: "map of 4 billion", bytes: &[0xdf, 0xff, 0xff, 0xff, 0xff] },
        Case { name: "nothing", bytes: &[] },
    ];
    for case in cases {
        assert!(decode::<Exchange>(case.bytes).is_err(), "{}", case.name);
    }
    let nested = vec![0x91; 100_000];
    assert!(decode::<Exchange>(&nested).is_err(), "deep nesting");
}

#[test]
fn messages_over_the_limit_are_refused_unread() {
    let bytes = vec![0; MAX_MESSAGE_BYTES + 1];
    assert!(matches!(decode::<Exchange>(&bytes), Err(CodecError::TooLarge(_))));
    let mut large = exchange();
    large.config.hash = "x".repeat(MAX_MESSAGE_BYTES);
    assert!(matches!(encode(&large), Err(CodecError::TooLarge(_))));
}

#[test]
fn messages_are_unchanged_by_encoding_and_decoding() {
    let sent = exchange();
    let received: Exchange = decode(&encode(&sent).unwrap()).unwrap();
    assert_eq!(received, sent);
}
