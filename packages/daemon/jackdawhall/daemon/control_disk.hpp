// The disk of a control host: effects that store become journal records, and a
// journal becomes what a node recovers.
#pragma once

#include <jackdawhall/control.hpp>
#include <jackdawhall/journal.hpp>

namespace jackdawhall::daemon
{

// Adds what the next record of a journal says.
leaf::result<void>
take_record(control::recovered_state& r, journal::raw_record const& record);

// Checks what the records of a journal say. A journal without an identity is
// that of a new disk: it gets a random one, which the caller must store and
// sync before the node starts.
leaf::result<void> check_identity(
    control::recovered_state& r, host_name const& self, random_source& random,
    bool& new_identity);

journal::raw_record identity_record(voter const& self);

// Writes a store to the journal; not yet synced.
leaf::result<void>
write_store(journal::journal_file& to, control::store_hard_state const& s);
leaf::result<void>
write_store(journal::journal_file& to, control::store_entries const& s);
leaf::result<void> write_store(
    journal::journal_file& to, control::store_snapshot const& s,
    voter const& self);

} // namespace jackdawhall::daemon
