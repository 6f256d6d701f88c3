// One run of the operators' client: what its commands read and change. Not for
// users of the package.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include <jackdawhall/ctl/commands.hpp>

namespace jackdawhall::ctl
{

struct session
{
    control_client const& client_;
    options const& options_;
    std::ostream& out_;
};

// Records in force of a kind; empty: of all.
leaf::result<std::vector<wire::json>>
records_of(session const& s, std::string const& kind);

leaf::result<record> current_record(session const& s, record_key const& key);

// Revision of a record in force; 0 if there is none.
leaf::result<revision> revision_of(session const& s, record_key const& key);

// Submits one change, says what came of it, and returns the exit status.
leaf::result<int> submit_edits(session const& s, std::vector<edit> edits);

leaf::result<int>
put(session const& s, record_key const& key, record_body const& body);

leaf::result<int> remove(session const& s, record_key const& key);

} // namespace jackdawhall::ctl
