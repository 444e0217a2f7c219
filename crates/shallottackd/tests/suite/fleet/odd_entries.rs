//! Entries of another writer among the rows that daemons read.

use super::*;

/// Entries that can't be read, each for another reason.
fn unreadable() -> Vec<String> {
    let nested = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    vec![
        format!(r#"{{"key":"a","value":{nested},"ver":1}}"#),
        r#"{"key":"b","value":"e30=","ver":1e999}"#.to_owned(),
        r#"{"key":"c","value":"e30=","ver":99999999999999999999999}"#.to_owned(),
        r#"{"key":"d","value":{"address":"127.0.0.1:99999"},"ver":1}"#.to_owned(),
        r#"{"key":7,"value":"not base64","ver":1}"#.to_owned(),
        nested,
        "1e999".to_owned(),
        "null".to_owned(),
    ]
}

/// Guards against daemons that end, or follow a table no longer, because of one entry in it.
#[test]
fn odd_entry_hides_the_others() {
    let store = SiteStore::start().unwrap();
    store.put("op", "config", &configuration("00000001", &["/count/"]));
    for table in ["op", "members", "status"] {
        unreadable().iter().for_each(|it| store.put_odd(table, it));
    }
    let nested = format!("{}{}", "[".repeat(20_000), "]".repeat(20_000));
    let addresses = [r#"{"address":"127.0.0.1:99999"}"#, "1e999", nested.as_str()];
    for (number, value) in addresses.iter().enumerate() {
        for key in ["rollout/stock", "members", "odd"] {
            store.put_bytes("op", &format!("{key}{number}"), value.as_bytes());
            store.put_bytes("members", &format!("{key}{number}"), value.as_bytes());
            store.put_bytes("status", &format!("{key}{number}"), value.as_bytes());
        }
    }
    let mut shop = Vm::start("shop-1", "shop", store.address());
    let mut stock = Vm::start("stock-1", "stock", store.address());
    eventually("a request is served", || shop.get("/count/1", "c1").status == 200);
    store.put("op", "config", &configuration("00000002", &["/count/", "/late/"]));
    eventually("the new route is in force", || shop.get("/late/1", "l1").status == 200);
    assert!(shop.child.try_wait().unwrap().is_none() && stock.child.try_wait().unwrap().is_none());
}

/// Returns a description with another incarnation and port 1 in place of its own.
fn displaced(description: &[u8], vm: &str, mut incarnation: u64) -> Vec<u8> {
    let name = 1 + vm.len();
    assert_eq!(&description[1..name], vm.as_bytes());
    let varint =
        |from: usize| from + description[from..].iter().position(|it| it & 0x80 == 0).unwrap() + 1;
    let sequence = varint(name);
    // The kind of the address and the IP address stand before the port.
    let port = varint(sequence) + 5;
    let mut encoded = Vec::new();
    while incarnation >= 0x80 {
        encoded.push(incarnation as u8 | 0x80);
        incarnation >>= 7;
    }
    encoded.push(incarnation as u8);
    [
        &description[..name],
        &encoded,
        &description[sequence..port],
        &[1],
        &description[varint(port)..],
    ]
    .concat()
}

/// Guards against an entry that replaces the description of a VM, under another key or with a number
/// that no later description exceeds.
#[test]
fn odd_entry_replaces_a_vm() {
    let (store, shop, mut stock) = fleet(&["stock-1"]);
    let description = store.get("members", "stock-1").expect("written before it is known");
    let odd = displaced(&description, "stock-1", u64::MAX);
    store.put_bytes("members", "odd", &odd);
    store.put_bytes("members", "stock-1", &odd);
    store.put("op", "config", &configuration("00000002", &["/count/", "/late/"]));
    eventually("the new route is in force", || shop.get("/late/1", "l1").status == 200);
    let began = Instant::now();
    eventually("the rows are read", || {
        assert_eq!(shop.get("/count/1", "c1").status, 200);
        began.elapsed() > Duration::from_secs(1)
    });
    stock[0].restart();
    eventually("the VM is known again", || shop.get("/count/1", "c2").status == 200);
    eventually("the daemon writes its row again", || {
        store.get("members", "stock-1").is_some_and(|it| it != odd)
    });
}

/// Guards against a description of a VM whose incarnation is within the bounds of a clock, but above
/// that of the daemon there, which then no longer exists for the others.
#[test]
fn later_incarnation_of_another_writer_displaces_a_daemon() {
    let (store, shop, _stock) = fleet(&["stock-1"]);
    let description = store.get("members", "stock-1").expect("written before it is known");
    let now = std::time::UNIX_EPOCH.elapsed().unwrap().as_millis() as u64;
    let odd = displaced(&description, "stock-1", now + 3_600_000);
    store.put_bytes("members", "stock-1", &odd);
    eventually("the daemon writes its row again", || {
        store.get("members", "stock-1").is_some_and(|it| it != odd)
    });
    eventually("the VM is known again", || shop.get("/count/1", "c1").status == 200);
    for number in 0..20 {
        assert_eq!(shop.get("/count/1", &format!("l{number}")).status, 200);
    }
}
