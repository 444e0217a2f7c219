//! Fair admission of calls at the daemon beside a backend server.
