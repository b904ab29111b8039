use test_case::test_case;

const GOOD: &str = r#"{"name":"n1","listen":"127.0.0.1:3000","discovery":"127.0.0.1:8500","seed":"0f",
    "limits":{"sockets":256},"known":null,"settings":{"caps":{"connectTimeoutMs":200.0,"maxLegs":3,
    "mayCancel":true,"mayProbe":false,"retryAfter":false},"dcs":["x"],"fleetSize":1,"me":0,"myZone":0,
    "membershipMode":"pushed","safety":{"coldFrom":0.1,"fallMs":1000.0,"fallMultiple":3.0,"warmAfterMs":9.0},
    "tickMs":5.0,"trafficTypes":[{"name":"t","effect":"retryable","group":"all","windowMs":1.0,
    "setupTargetMs":1.0,"guardTimeMs":2000.0,"revenue":1.0}]}}"#;

#[test_case("", "", None; "good")]
#[test_case("\"0f\"", "\"xyz\"", Some("seed"); "a seed that is no number")]
#[test_case("127.0.0.1:3000", "here", Some("listen"); "a listening address that is none")]
#[test_case("\"seed\":", "\"admin\":\"door\",\"seed\":", Some("admin"); "an operators' address that is none")]
#[test_case("\"seed\":", "\"admin\":null,\"seed\":", None; "no operators' address")]
#[test_case("\"discovery\":", "\"other\":", Some("discovery"); "a missing key")]
#[test_case("256", "12", Some("limits.sockets"); "too few descriptors")]
#[test_case("[\"x\"]", "7", Some("settings.dcs"); "zones that are no list")]
#[test_case("retryable", "any", Some("trafficTypes.0.effect"); "an unknown effect")]
#[test_case("\"maxLegs\":3", "\"maxLegs\":-1", Some("caps.maxLegs"); "a number out of range")]
#[test_case("2000.0", "\"long\"", Some("trafficTypes.0.guardTimeMs"); "a time that is none")]
#[test_case("\"tickMs\"", "\"weightKind\":\"odd\",\"tickMs\"", Some("weightKind"); "weights that mean nothing known")]
#[test_case("\"tickMs\"", "\"weightKind\":\"live\",\"tickMs\"", None; "weights that fall with load")]
#[test_case("\"tickMs\"", "\"loadReport\":{\"source\":\"probe\"},\"tickMs\"", Some("loadReport.source"); "reports from probes that are not allowed")]
#[test_case("\"pushed\"", "\"told\"", Some("membershipMode"); "a list that comes in no known way")]
#[test_case("\"known\":null", "\"known\":{}", Some("known"); "a list that is none")]
#[test_case("}}", "}", Some("ROUTER_CONFIG"); "no JSON")]
fn faults_name_the_key(from: &str, to: &str, key: Option<&str>) {
    let text = if from.is_empty() { GOOD.to_owned() } else { GOOD.replace(from, to) };
    let fault = super::decode::decode(&text, |_| None).err().map(|fault| fault.to_string());
    match (fault, key) {
        (Some(fault), Some(key)) => assert!(fault.contains(key), "{fault} does not name {key}"),
        (fault, key) => assert_eq!(fault.as_deref(), key),
    }
}

/// What counts at once, by name: numbers stay what they were while the process runs.
#[test]
fn settings_change_and_names_keep_their_numbers() {
    let start = |text: &str| super::decode::decode(text, |_| None).unwrap();
    let mut here = start(GOOD);
    let more = GOOD
        .replace("[\"x\"]", "[\"w\",\"x\"]")
        .replace("\"myZone\":0", "\"myZone\":1,\"weightKind\":\"live\"")
        .replace("[{\"name\":\"t\"", "[{\"name\":\"s\",\"effect\":\"fragile\",\"setupTargetMs\":1.0,\"guardTimeMs\":9000.0,\"revenue\":2.0},{\"name\":\"t\"");
    let renewed = here.renew(start(&more));
    assert!(renewed.settings && renewed.zones && renewed.later.is_empty());
    assert_eq!((here.zones.as_slice(), here.settings.zone.0), (["x", "w"].map(String::from).as_slice(), 0));
    assert_eq!(here.names.traffic, ["t", "s"]);
    assert_eq!(here.settings.classes.iter().map(|of| of.revenue).collect::<Vec<_>>(), [1.0, 2.0]);
    assert_eq!(here.settings.weight_kind, glendeck::domain::WeightKind::Live);
    // The way back is the same step; what is in hand may still go by the names that are gone.
    let renewed = here.renew(start(GOOD));
    assert!(renewed.settings && !renewed.zones);
    assert_eq!(here.settings.weight_kind, glendeck::domain::WeightKind::Sizes);
    assert_eq!((here.names.traffic.len(), here.settings.classes.len(), here.zones.len()), (2, 2, 2));
    assert!(!here.renew(start(GOOD)).settings);
}
