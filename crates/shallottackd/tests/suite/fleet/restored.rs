//! A store that is restored from an older copy.

use super::*;

/// Guards against changes that are dropped after the store was restored from an older copy, since it
/// gives out the versions of lost rows again, and against an older one that comes back.
#[test]
fn change_after_a_restored_store_is_not_in_force() {
    let store = SiteStore::start().unwrap();
    store.put("op", "config", &configuration("00000001", &["/count/"]));
    let copy = store.copy();
    let shop = Vm::start("shop-1", "shop", store.address());
    let _stock = Vm::start("stock-1", "stock", store.address());
    eventually("a request is served", || shop.get("/count/1", "warm").status == 200);
    let second = configuration("00000002", &["/count/", "/second/"]);
    store.put("op", "config", &second);
    store.put("op", "config", &configuration("00000005", &["/count/", "/second/", "/third/"]));
    eventually("a route is added", || shop.get("/third/1", "t1").status == 200);
    store.set_down(true);
    store.restore(&copy);
    store.set_down(false);
    // The operator writes again what was lost, first an older version.
    store.put("op", "config", &second);
    assert_eq!(shop.get("/third/1", "t2").status, 200, "no older configuration comes back");
    store.put("op", "config", &configuration("00000007", &["/count/", "/third/", "/fourth/"]));
    eventually("a later route is added", || shop.get("/fourth/1", "f1").status == 200);
    assert_eq!(shop.get("/second/1", "s1").status, 404);
}

/// Guards against daemons whose rows are lost for good with a restored store: those that start later
/// find the others there.
#[test]
fn rows_lost_in_a_restored_store_are_not_written_again() {
    let store = SiteStore::start().unwrap();
    store.put("op", "config", &configuration("00000001", &["/count/"]));
    let copy = store.copy();
    let shop = Vm::start("shop-1", "shop", store.address());
    let _stock = Vm::start("stock-1", "stock", store.address());
    let written = || ["shop-1", "stock-1"].iter().all(|it| store.get("members", it).is_some());
    eventually("the rows are written", written);
    store.set_down(true);
    store.restore(&copy);
    store.set_down(false);
    eventually("the rows are written again", written);
    let later = Vm::start("shop-2", "shop", store.address());
    eventually("a later daemon finds the others", || later.get("/count/1", "c1").status == 200);
    drop(shop);
}
