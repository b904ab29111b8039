use test_case::test_case;

use super::NodeConfig;

const VALID_CONFIG: &str = r#"{"name":"n1","listen":"127.0.0.1:3000","discovery":"127.0.0.1:8500","seed":"0f",
    "limits":{"sockets":256},"known":null,"settings":{"caps":{"connectTimeoutMs":200.0,"maxLegs":3,
    "mayCancel":true,"mayProbe":false,"retryAfter":false},"dcs":["x"],"fleetSize":1,"me":0,"myZone":0,
    "membershipMode":"pushed","safety":{"coldFrom":0.1,"fallMs":1000.0,"fallMultiple":3.0,"warmAfterMs":9.0},
    "tickMs":5.0,"trafficTypes":[{"name":"t","effect":"retryable","group":"all","windowMs":1.0,
    "setupTargetMs":1.0,"guardTimeMs":2000.0,"revenue":1.0}]}}"#;

#[test_case("", "", None; "valid configuration")]
#[test_case("\"0f\"", "\"xyz\"", Some("seed"); "invalid seed")]
#[test_case("127.0.0.1:3000", "here", Some("listen"); "invalid listen address")]
#[test_case("\"seed\":", "\"admin\":\"door\",\"seed\":", Some("admin"); "invalid admin address")]
#[test_case("\"seed\":", "\"admin\":null,\"seed\":", None; "admin address is null")]
#[test_case("\"discovery\":", "\"other\":", Some("discovery"); "missing key")]
#[test_case("256", "12", Some("limits.sockets"); "descriptor limit too low")]
#[test_case("[\"x\"]", "7", Some("settings.dcs"); "zones are not a list")]
#[test_case("retryable", "any", Some("trafficTypes.0.effect"); "unknown effect")]
#[test_case("\"maxLegs\":3", "\"maxLegs\":-1", Some("caps.maxLegs"); "number out of range")]
#[test_case("2000.0", "\"long\"", Some("trafficTypes.0.guardTimeMs"); "time is not a number")]
#[test_case("\"tickMs\"", "\"weightKind\":\"odd\",\"tickMs\"", Some("weightKind"); "unknown weight kind")]
#[test_case("\"tickMs\"", "\"weightKind\":\"live\",\"tickMs\"", None; "live weights, which fall with load")]
#[test_case("\"tickMs\"", "\"loadReport\":{\"source\":\"probe\"},\"tickMs\"", Some("loadReport.source"); "load reports from forbidden probes")]
#[test_case("\"pushed\"", "\"told\"", Some("membershipMode"); "unknown membership mode")]
#[test_case("\"known\":null", "\"known\":{}", Some("known"); "invalid endpoint list")]
#[test_case("}}", "}", Some("ROUTER_CONFIG"); "invalid JSON")]
fn config_errors_name_the_key(from: &str, to: &str, key: Option<&str>) {
    let text = if from.is_empty() { VALID_CONFIG.to_owned() } else { VALID_CONFIG.replace(from, to) };
    let fault = super::decode::decode(&text, |_| None).err().map(|fault| fault.to_string());
    match (fault, key) {
        (Some(fault), Some(key)) => assert!(fault.contains(key), "{fault} does not name {key}"),
        (fault, key) => assert_eq!(fault.as_deref(), key),
    }
}

/// Changed settings apply at once, by name: names keep their numbers while the process runs.
#[test]
fn settings_change_and_names_keep_their_numbers() {
    let parse = |text: &str| super::decode::decode(text, |_| None).unwrap();
    let mut config = parse(VALID_CONFIG);
    let changed_text = VALID_CONFIG
        .replace("[\"x\"]", "[\"w\",\"x\"]")
        .replace("\"myZone\":0", "\"myZone\":1,\"weightKind\":\"live\"")
        .replace("[{\"name\":\"t\"", "[{\"name\":\"s\",\"effect\":\"fragile\",\"setupTargetMs\":1.0,\"guardTimeMs\":9000.0,\"revenue\":2.0},{\"name\":\"t\"");
    let renewed = config.renew(parse(&changed_text));
    assert!(renewed.settings && renewed.zones && renewed.later.is_empty());
    assert_eq!(
        (config.zones.as_slice(), config.settings.zone.0),
        (["x", "w"].map(String::from).as_slice(), 0)
    );
    assert_eq!(config.names.traffic, ["t", "s"]);
    assert_eq!(config.settings.classes.iter().map(|class| class.revenue).collect::<Vec<_>>(), [1.0, 2.0]);
    assert_eq!(config.settings.weight_kind, glendeck::domain::WeightKind::Live);
    // Going back works the same way; calls in flight may still refer to names that the file no longer has.
    let renewed = config.renew(parse(VALID_CONFIG));
    assert!(renewed.settings && !renewed.zones);
    assert_eq!(config.settings.weight_kind, glendeck::domain::WeightKind::Sizes);
    assert_eq!((config.names.traffic.len(), config.settings.classes.len(), config.zones.len()), (2, 2, 2));
    assert!(!config.renew(parse(VALID_CONFIG)).settings);
}

/// Each of these keys is changed, then put back. `clients.marksRetry` was left as it was at the start.
#[test_case("127.0.0.1:8500", "127.0.0.1:8501", |config| config.discovery.to_string(); "discovery")]
#[test_case("256", "300", |config| config.descriptors.to_string(); "descriptors")]
#[test_case("\"pushed\",\"safety\":{", "\"on_request\",\"safety\":{\"askWithinMs\":10000.0,", |config| config.list_is_pushed.to_string(); "how the list is told")]
#[test_case("\"tickMs\"", "\"clients\":{\"marksRetry\":true},\"tickMs\"", |config| config.marks_repeats.to_string(); "whether clients mark repeats")]
#[test_case("200.0", "300.0", |config| format!("{:?}", config.connect_limit); "connect timeout raised")]
#[test_case("200.0", "100.0", |config| format!("{:?}", config.connect_limit); "connect timeout lowered")]
#[test_case("2000.0", "3000.0", |config| format!("{:?}", config.longest_deadline); "guard time raised")]
#[test_case("2000.0", "1000.0", |config| format!("{:?}", config.longest_deadline); "guard time lowered")]
#[test_case("\"tickMs\"", "\"extra\":{\"groups\":true},\"tickMs\"", |config| config.names.groups.to_string(); "whether clients have groups")]
#[test_case("retryable", "fragile", |config| format!("{:?}", config.settings.classes); "effect of a class")]
#[test_case("\"maxLegs\":3", "\"maxLegs\":2", |config| format!("{:?}", config.settings); "attempts")]
fn a_changed_key_counts_after_a_reload(from: &str, to: &str, value: fn(&NodeConfig) -> String) {
    let parse = |text: &str| super::decode::decode(text, |_| None).unwrap();
    let changed = VALID_CONFIG.replace(from, to);
    let (before, after) = (value(&parse(VALID_CONFIG)), value(&parse(&changed)));
    assert_ne!(before, after);
    let mut config = parse(VALID_CONFIG);
    assert!(config.renew(parse(&changed)).later.is_empty());
    assert_eq!(value(&config), after);
    assert!(config.renew(parse(VALID_CONFIG)).later.is_empty());
    assert_eq!(value(&config), before);
}

#[test_case("\"n1\"", "\"n2\"", "name")]
#[test_case("127.0.0.1:3000", "127.0.0.1:3001", "listen")]
#[test_case("\"seed\":", "\"admin\":\"127.0.0.1:9\",\"seed\":", "admin")]
fn a_key_that_counts_from_the_next_start_is_named_at_a_reload(from: &str, to: &str, key: &str) {
    let parse = |text: &str| super::decode::decode(text, |_| None).unwrap();
    let renewed = parse(VALID_CONFIG).renew(parse(&VALID_CONFIG.replace(from, to)));
    assert_eq!(renewed.later, [key]);
}
