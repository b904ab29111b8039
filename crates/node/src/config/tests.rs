use test_case::test_case;

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
