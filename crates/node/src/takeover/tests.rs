use glendeck_fleet::Timestamp;
use glendeck_fleet::policy::UnitName;
use glendeck_fleet::state::Incarnation;
use glendeck_takeover::ReplicaHandover;

use super::handover_file::HandoverFile;
use super::{Counts, Work};

/// What a process leaves in its folder, as recorded, in hexadecimal digits.
const LEFT_FILE: &str = include_str!("fixtures/left.hex");

/// The metrics of replicated work, as recorded.
const METRICS: &str = include_str!("fixtures/metrics.json");

fn unit(name: &str) -> UnitName {
    UnitName(name.to_owned())
}

/// Two records with the same values, for the works 7 and 300. The stored form is positional, so plain tuples
/// give it.
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
    let digits = LEFT_FILE.trim_end();
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
    work.counts = Counts { kept: 1, unkept: 2, looked: 3, taken_over: 4, given_up: 5, raced: 6 };
    let metrics = serde_json::to_value(work.metrics(Timestamp(0))).unwrap();
    assert_eq!(metrics.to_string(), METRICS.trim_end());
}
