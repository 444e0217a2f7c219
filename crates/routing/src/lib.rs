//! Choice of backend server, ejection and retries.
