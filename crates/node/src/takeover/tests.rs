use glendeck_fleet::Timestamp;
use glendeck_fleet::policy::UnitName;
use glendeck_fleet::state::Incarnation;
use glendeck_takeover::ReplicaHandover;

use super::handover_file::HandoverFile;
use super::{Counts, Work};

/// The recorded handover file, in hexadecimal digits.
const HANDOVER_FILE: &str = include_str!("fixtures/left.hex");

/// The recorded metrics of replicated work.
const METRICS: &str = include_str!("fixtures/metrics.json");

fn unit(name: &str) -> UnitName {
    UnitName(name.to_owned())
}

/// Two records with the same values, for work 7 and work 300. They are encoded from plain tuples, as the
/// stored form is positional.
fn handover() -> ReplicaHandover {
    let record = |work: u64| {
        let id = ("a", 5_u64, 3_u64);
        let (term, is_repeat, first_host, sequence) = (2_u64, true, 81_u64, 1_u32);
        let (remaining_ms, is_answered, is_superseded) = (800_u64, false, true);
        (work, id, term, is_repeat, first_host, sequence, remaining_ms, is_answered, is_superseded)
    };
    let bytes = postcard::to_stdvec(&(true, vec![record(7), record(300)])).unwrap();
    postcard::from_bytes(&bytes).unwrap()
}

fn recorded_file() -> Vec<u8> {
    let digits = HANDOVER_FILE.trim_end();
    (0..digits.len()).step_by(2).map(|at| u8::from_str_radix(&digits[at..at + 2], 16).unwrap()).collect()
}

#[test]
fn handover_file_is_written_and_read_as_recorded() {
    let file = HandoverFile { boot_count: 6, replica: handover() };
    assert_eq!(file.encode().unwrap(), recorded_file());
    assert_eq!(HandoverFile::decode(&recorded_file()).unwrap(), file);
}

#[test]
fn damaged_handover_file_is_not_read() {
    let file = recorded_file();
    for bit in 0..file.len() * 8 {
        let mut damaged = file.clone();
        damaged[bit / 8] ^= 1 << (bit % 8);
        assert!(HandoverFile::decode(&damaged).is_err(), "bit {bit}");
    }
    for length in 0..file.len() {
        assert!(HandoverFile::decode(&file[..length]).is_err(), "the first {length} bytes");
    }
}

#[test]
fn metrics_are_written_as_recorded() {
    let mut work = Work::new(Timestamp(0), unit("n0"), Incarnation(5), 30_000, 3_000);
    work.counts = Counts {
        intents_replicated: 1,
        intents_unreplicated: 2,
        lookups: 3,
        records_found: 4,
        repeats_failed: 5,
        in_flight_elsewhere: 6,
    };
    let metrics = serde_json::to_value(work.metrics(Timestamp(0))).unwrap();
    assert_eq!(metrics.to_string(), METRICS.trim_end());
}
