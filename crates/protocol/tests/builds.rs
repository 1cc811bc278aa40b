//! Reading of messages that an earlier or a later build has written.

use std::fmt;
use std::time::Duration;

use serde::de::{Deserialize, DeserializeOwned, Deserializer, MapAccess, SeqAccess, Visitor};
use serde::ser::{Serialize, SerializeMap, Serializer};
use sesamewind_protocol::codec::{decode, encode};
use sesamewind_protocol::relay::{
    AccountTotal, ArmCounts, LatencyCounts, LatencyReport, LeavingEntry, RelayUpdate,
    RolloutCounts, RolloutOutcome, RolloutProgress, RouteCounts, RowsReply, RowsRequest,
    StorePosition, StoreRow, TARGET_GROUPS, TargetLoad, Topic,
};
use sesamewind_protocol::{Incarnation, Revision};

/// Any MessagePack value.
#[derive(Debug, Clone, PartialEq)]
enum Value {
    Nil,
    Bool(bool),
    Number(u64),
    Float(f64),
    Text(String),
    Bytes(Vec<u8>),
    Array(Vec<Self>),
    Map(Vec<(Self, Self)>),
}

impl Serialize for Value {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match self {
            Self::Nil => serializer.serialize_none(),
            Self::Bool(value) => value.serialize(serializer),
            Self::Number(value) => value.serialize(serializer),
            Self::Float(value) => value.serialize(serializer),
            Self::Text(value) => value.serialize(serializer),
            Self::Bytes(value) => serializer.serialize_bytes(value),
            Self::Array(values) => values.serialize(serializer),
            Self::Map(entries) => {
                let mut map = serializer.serialize_map(Some(entries.len()))?;
                for (key, value) in entries {
                    map.serialize_entry(key, value)?;
                }
                map.end()
            }
        }
    }
}

impl<'de> Deserialize<'de> for Value {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(AnyValue)
    }
}

struct AnyValue;

impl<'de> Visitor<'de> for AnyValue {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a value")
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Nil)
    }

    fn visit_bool<E>(self, value: bool) -> Result<Value, E> {
        Ok(Value::Bool(value))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Value, E> {
        Ok(Value::Number(value))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Value, E> {
        Ok(Value::Float(value))
    }

    fn visit_str<E>(self, value: &str) -> Result<Value, E> {
        Ok(Value::Text(value.to_owned()))
    }

    fn visit_bytes<E>(self, value: &[u8]) -> Result<Value, E> {
        Ok(Value::Bytes(value.to_vec()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Value, A::Error> {
        let mut values = Vec::new();
        while let Some(value) = seq.next_element()? {
            values.push(value);
        }
        Ok(Value::Array(values))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Value, A::Error> {
        let mut entries = Vec::new();
        while let Some(entry) = map.next_entry()? {
            entries.push(entry);
        }
        Ok(Value::Map(entries))
    }
}

/// Path of field numbers and of positions in arrays.
type Path = Vec<u64>;

impl Value {
    fn of(message: &impl Serialize) -> Self {
        decode(&encode(message).unwrap()).unwrap()
    }

    /// Returns the entry with key `number`, or the element at that position.
    fn entry(&mut self, number: u64) -> &mut Self {
        match self {
            Self::Array(values) => &mut values[number as usize],
            Self::Map(entries) => {
                let found = entries.iter_mut().find(|(key, _)| *key == Self::Number(number));
                &mut found.expect("an entry").1
            }
            other => panic!("{other:?} has no entries"),
        }
    }

    fn at(&mut self, path: &[u64]) -> &mut Self {
        path.iter().fold(self, |value, number| value.entry(*number))
    }

    /// Collects the paths of all maps within the value.
    fn maps(&self, path: &Path, into: &mut Vec<Path>) {
        let deeper = |number: u64| path.iter().copied().chain([number]).collect();
        match self {
            Self::Array(values) => {
                (0..).zip(values).for_each(|(number, value)| value.maps(&deeper(number), into));
            }
            Self::Map(entries) => {
                into.push(path.clone());
                for (key, value) in entries {
                    let Self::Number(number) = key else { panic!("{key:?} is no number") };
                    value.maps(&deeper(*number), into);
                }
            }
            _ => {}
        }
    }

    /// Returns whether all entries of `recorded` are in the value, at the same places.
    fn extends(&self, recorded: &Self) -> bool {
        match (self, recorded) {
            (Self::Map(entries), Self::Map(recorded)) => recorded.iter().all(|(key, value)| {
                entries.iter().any(|(own, entry)| own == key && entry.extends(value))
            }),
            (Self::Array(values), Self::Array(recorded)) => {
                values.len() == recorded.len()
                    && values.iter().zip(recorded).all(|(value, recorded)| value.extends(recorded))
            }
            _ => self == recorded,
        }
    }
}

/// Encodes a value as it is.
fn raw(value: &Value) -> Vec<u8> {
    rmp_serde::to_vec(value).unwrap()
}

/// Returns whether the value is a map of `len` zeros.
fn is_zero(value: &Value, len: usize) -> bool {
    let Value::Map(entries) = value else { return false };
    let zeros = [Value::Number(0), Value::Float(0.0)];
    entries.len() == len && entries.iter().all(|(_, value)| zeros.contains(value))
}

fn bytes(hex: &str) -> Vec<u8> {
    let digits: String = hex.split_whitespace().collect();
    (0..digits.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&digits[at..at + 2], 16).unwrap())
        .collect()
}

fn report(base: u32) -> LatencyReport {
    let times = |number: u32| LatencyCounts { intervals: number, logs: f64::from(number) / 4.0 };
    LatencyReport {
        old: times(base),
        new: std::array::from_fn(|group| times(base + 1 + group as u32)),
    }
}

/// Each field has another value, so that fields that change places are seen.
fn update() -> RelayUpdate {
    let arm = |number: u32| ArmCounts { requests: 300 + number, failures: number };
    let counts = RolloutCounts {
        requests: 1_000,
        new_sent: 100,
        routes: vec![RouteCounts {
            route: "quote".into(),
            old: arm(20),
            new: std::array::from_fn(|group| arm(21 + group as u32)),
        }],
        latency: report(30),
        pace: report(40),
    };
    RelayUpdate {
        from: "gateway-1".into(),
        incarnation: Incarnation(1_796_000_000_000),
        zone: "ke-central-a".into(),
        address: "10.0.0.1:9001".to_owned(),
        sequence: 900,
        revision: Revision(12),
        list_position: StorePosition { era: 2, version: 400 },
        store_age: Duration::from_millis(1_850),
        joining: true,
        loads: vec![TargetLoad {
            target: "engine-1".into(),
            requests: 7,
            prefill: 4_200,
            pause: 180,
            streams: 90,
        }],
        totals: vec![AccountTotal {
            account: "shop".into(),
            used: 1_500.5,
            amounts: vec![(Duration::from_millis(5_250), 250.0)],
        }],
        leaving: vec![LeavingEntry {
            target: "engine-2".into(),
            incarnation: Incarnation(1_796_000_000_001),
        }],
        failing: vec!["engine-3".into()],
        rollouts: vec![RolloutProgress {
            service: "quotes".into(),
            version: "v2".into(),
            age: Duration::from_millis(12_345),
            counts,
            outcome: Some(RolloutOutcome::TakenBack),
            recorded: Some(3),
        }],
        // Not in the recorded messages.
        unheard: Vec::new(),
        relayed: Vec::new(),
        parts: Vec::new(),
        limits: Vec::new(),
        stopping: false,
        config_position: StorePosition { era: 2, version: 390 },
        evacuations: Default::default(),
        cold: Vec::new(),
        brittle: Vec::new(),
        reach: None,
    }
}

fn request() -> RowsRequest {
    RowsRequest { topic: Topic::Targets, after: StorePosition { era: 2, version: 400 } }
}

fn reply() -> RowsReply {
    let row = |key: &str, version, value| StoreRow { key: key.to_owned(), version, value };
    RowsReply {
        whole: true,
        newest: StorePosition { era: 2, version: 401 },
        rows: vec![row("target.engine-1", 401, Some(b"{}".to_vec()))],
        retained: vec![row("target.engine-2", 399, None)],
    }
}

// Messages of the build of commit 8ef9bb1, with structs as arrays, and those of the build after it.
const UPDATE_ARRAYS: &str = "
    9ea9676174657761792d31cf000001a229f12800ac6b652d63656e7472616c2d61ad31302e302e302e31
    3a39303031cd03840c9202cd01909201ce32a9f880c39195a8656e67696e652d3107cd1068ccb45a9193
    a473686f70cb409772000000000091929205ce0ee6b280cb406f4000000000009192a8656e67696e652d
    32cf000001a229f1280191a8656e67696e652d339196a671756f746573a27632920cce1490484095cd03
    e8649193a571756f746592cd0140149892cd01411592cd01421692cd01431792cd01441892cd01451992
    cd01461a92cd01471b92cd01481c92921ecb401e00000000000098921fcb401f0000000000009220cb40
    200000000000009221cb40208000000000009222cb40210000000000009223cb40218000000000009224
    cb40220000000000009225cb40228000000000009226cb4023000000000000929228cb40240000000000
    00989229cb4024800000000000922acb4025000000000000922bcb4025800000000000922ccb40260000
    00000000922dcb4026800000000000922ecb4027000000000000922fcb40278000000000009230cb4028
    000000000000a954616b656e4261636b03
";

const REQUEST_ARRAYS: &str = "
    92a7546172676574739202cd0190
";

const REPLY_ARRAYS: &str = "
    94c39202cd01919193af7461726765742e656e67696e652d31cd0191c4027b7d9193af7461726765742e
    656e67696e652d32cd018fc0
";

const UPDATE_MAPS: &str = "
    8e00a9676174657761792d3101cf000001a229f1280002ac6b652d63656e7472616c2d6103ad31302e30
    2e302e313a3930303104cd0384050c0682000201cd0190079201ce32a9f88008c309918500a8656e6769
    6e652d31010702cd106803ccb4045a0a918300a473686f7001cb40977200000000000291929205ce0ee6
    b280cb406f4000000000000b918200a8656e67696e652d3201cf000001a229f128010c91a8656e67696e
    652d330d918600a671756f74657301a2763202920cce14904840038500cd03e8016402918300a571756f
    7465018200cd0140011402988200cd014101158200cd014201168200cd014301178200cd014401188200
    cd014501198200cd0146011a8200cd0147011b8200cd0148011c03820082001e01cb401e000000000000
    019882001f01cb401f00000000000082002001cb402000000000000082002101cb402080000000000082
    002201cb402100000000000082002301cb402180000000000082002401cb402200000000000082002501
    cb402280000000000082002601cb402300000000000004820082002801cb402400000000000001988200
    2901cb402480000000000082002a01cb402500000000000082002b01cb402580000000000082002c01cb
    402600000000000082002d01cb402680000000000082002e01cb402700000000000082002f01cb402780
    000000000082003001cb402800000000000004a954616b656e4261636b0503
";

const REQUEST_MAPS: &str = "
    8200a7546172676574730182000201cd0190
";

const REPLY_MAPS: &str = "
    8400c30182000201cd019102918300af7461726765742e656e67696e652d3101cd019102c4027b7d0391
    8300af7461726765742e656e67696e652d3201cd018f02c0
";

struct Case {
    name: &'static str,
    arrays: &'static str,
    maps: &'static str,
    /// The message as this build writes it.
    written: Value,
    /// Reads a message, and returns what this build writes for it.
    read: fn(&[u8]) -> Option<Value>,
    /// Paths of the fields without which a message is refused.
    required: &'static [&'static [u64]],
}

fn read<T: DeserializeOwned + Serialize>(bytes: &[u8]) -> Option<Value> {
    decode::<T>(bytes).ok().map(|message| Value::of(&message))
}

fn cases() -> [Case; 3] {
    [
        Case {
            name: "update",
            arrays: UPDATE_ARRAYS,
            maps: UPDATE_MAPS,
            written: Value::of(&update()),
            read: read::<RelayUpdate>,
            required: &[
                &[0],
                &[1],
                &[2],
                &[3],
                &[4],
                &[5],
                &[6],
                &[7],
                &[9, 0, 0],
                &[10, 0, 0],
                &[10, 0, 1],
                &[11, 0, 0],
                &[11, 0, 1],
                &[13, 0, 0],
                &[13, 0, 1],
                &[13, 0, 2],
                &[13, 0, 3, 2, 0, 0],
            ],
        },
        Case {
            name: "request for rows",
            arrays: REQUEST_ARRAYS,
            maps: REQUEST_MAPS,
            written: Value::of(&request()),
            read: read::<RowsRequest>,
            required: &[&[0], &[1]],
        },
        Case {
            name: "rows",
            arrays: REPLY_ARRAYS,
            maps: REPLY_MAPS,
            written: Value::of(&reply()),
            read: read::<RowsReply>,
            required: &[
                &[0],
                &[1],
                &[2, 0, 0],
                &[2, 0, 1],
                &[2, 0, 2],
                &[3, 0, 0],
                &[3, 0, 1],
                &[3, 0, 2],
            ],
        },
    ]
}

#[test]
fn messages_of_earlier_builds_are_read() {
    for Case { name, arrays, maps, written, read, .. } in cases() {
        let recorded: Value = decode(&bytes(maps)).unwrap();
        assert!(written.extends(&recorded), "{name}: {written:?}");
        let read_maps = read(&bytes(maps)).expect(name);
        assert!(read_maps.extends(&recorded), "{name}: {read_maps:?}");
        assert_eq!(read(&bytes(arrays)), Some(read_maps), "{name}");
    }
}

#[test]
fn fields_of_a_later_build_are_ignored() {
    let nested = Value::Map(vec![(Value::Number(0), Value::Array(vec![Value::Nil; 2]))]);
    let unknown = [
        (Value::Number(100), Value::Number(7)),
        (Value::Number(101), nested.clone()),
        (Value::Text("later".to_owned()), nested),
    ];
    for Case { name, written, read, .. } in cases() {
        let mut paths = Vec::new();
        written.maps(&Path::new(), &mut paths);
        assert!(paths.len() > 1, "{name}: nested structs are maps");
        let mut later = written.clone();
        for path in &paths {
            let Value::Map(entries) = later.at(path) else { unreachable!() };
            entries.extend(unknown.clone());
        }
        assert_eq!(read(&raw(&later)), Some(written), "{name}");
    }
}

#[test]
fn missing_fields_take_their_defaults() {
    for Case { name, written, read, required, .. } in cases() {
        let mut paths = Vec::new();
        written.maps(&Path::new(), &mut paths);
        let mut refused = Vec::new();
        for path in paths {
            let Value::Map(entries) = written.clone().at(&path).clone() else { unreachable!() };
            for (index, (key, _)) in entries.iter().enumerate() {
                let Value::Number(number) = key else { unreachable!() };
                let mut earlier = written.clone();
                let Value::Map(entries) = earlier.at(&path) else { unreachable!() };
                entries.remove(index);
                match read(&raw(&earlier)) {
                    Some(value) => assert!(value.extends(&earlier), "{name}: {path:?} {number}"),
                    None => refused.push([path.as_slice(), &[*number]].concat()),
                }
            }
        }
        assert_eq!(refused, required, "{name}");
    }
}

#[test]
fn arrays_of_groups_may_have_another_length() {
    struct Case {
        name: &'static str,
        path: &'static [u64],
    }
    let cases = [
        Case { name: "outcomes", path: &[13, 0, 3, 2, 0, 2] },
        Case { name: "first bytes", path: &[13, 0, 3, 3, 1] },
        Case { name: "pace", path: &[13, 0, 3, 4, 1] },
    ];
    let written = Value::of(&update());
    for Case { name, path } in cases {
        for groups in [0, TARGET_GROUPS - 1, TARGET_GROUPS + 1, 2 * TARGET_GROUPS] {
            let mut other = written.clone();
            let Value::Array(values) = other.at(path) else { panic!("{name}: no array") };
            assert_eq!(values.len(), TARGET_GROUPS, "{name}");
            let own = values.clone();
            values.resize(groups, own[0].clone());
            let mut read = read::<RelayUpdate>(&raw(&other)).expect(name);
            let Value::Array(values) = read.at(path) else { panic!("{name}: no array") };
            let kept = groups.min(TARGET_GROUPS);
            assert_eq!(values[..kept], own[..kept], "{name}, {groups} groups");
            let Value::Map(empty) = &own[0] else { panic!("{name}: no counts") };
            assert!(values[kept..].iter().all(|value| is_zero(value, empty.len())), "{name}");
        }
    }
}
