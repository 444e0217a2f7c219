//! Clients of the platform's transactional table and object store.

mod http;
mod memory;
mod object;
mod table;

pub use http::{HttpPlatform, HttpSettings, decode_name, encode_name};
pub use memory::{Faults, MemoryPlatform};
pub use object::{ObjectError, ObjectStore, decode_object, digest, encode_object};
pub use table::{CommitError, Condition, ReadError, Row, Table, Transaction, Write};

/// Table and object store of one platform.
pub trait Platform: Table + ObjectStore {}

impl<T: Table + ObjectStore> Platform for T {}
