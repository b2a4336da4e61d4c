//! What the gateways of a region decide in common about zones: how healthy each is by what serving showed, which part of
//! a zone's txns goes to which other one, and where unrepeatable txns are at home. Without I/O and clock. Must never
//! decide on a txn: the module does, and what is decided here reaches it as plain shares.

pub mod decide;
pub mod evidence;
pub mod health;
pub mod home;
pub mod local_table;
pub mod plan;
pub mod settings;
pub mod table;
