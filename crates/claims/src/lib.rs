//! At-most-once claims of keyed requests.
