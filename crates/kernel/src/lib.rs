//! Types that all crates share: the service registry, clocks, identifiers and error kinds.

mod clock;
mod error;
mod name;
mod registry;

pub use clock::{Clock, ManualClock, SystemClock, Time, unix_ms};
pub use error::{Answer, ErrorKind, Failure, Run};
pub use name::{
    BadName, ClassName, DataCentre, EndpointId, GroupName, MAX_NAME_BYTES, RouteName, ServiceName,
};
pub use registry::{Registry, ServiceTaken};
