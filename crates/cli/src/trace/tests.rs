//! Selection of a call's lines in a log.

use super::lines_of_call;

#[test]
fn reused_call_number_is_a_different_call() {
    let log = "t1 DEBUG n: call call=4 id=000000000000000f about=a group=0\n\
               t2 DEBUG n: leg call=4 leg=0 host=7\n\
               t2 DEBUG n: leg call=5 leg=0 host=7\n\
               t3 DEBUG n: call call=4 id=0000000000000010 about=b group=0\n\
               t4 DEBUG n: leg call=4 leg=0 host=8\n";
    let found = lines_of_call("f", log);
    assert_eq!(found.len(), 2, "{found:?}");
    assert_eq!(lines_of_call("b", log).len(), 2);
    assert!(lines_of_call("5", log).is_empty());
}

#[test]
fn lines_are_found_by_current_keys() {
    let log = "t1 DEBUG n: call arrived call_id=4 client_id=000000000000000f subject_id=a group_id=0\n\
               t2 DEBUG n: attempt opened call_id=4 attempt=0 host_id=7\n\
               t2 DEBUG n: attempt opened call_id=5 attempt=0 host_id=7\n\
               t3 DEBUG n: call arrived call_id=4 client_id=0000000000000010 subject_id=b group_id=0\n\
               t4 DEBUG n: attempt opened call_id=4 attempt=0 host_id=8\n";
    let found = lines_of_call("f", log);
    assert_eq!(found.len(), 2, "{found:?}");
    assert_eq!(lines_of_call("b", log).len(), 2);
    assert!(lines_of_call("5", log).is_empty());
}
