// The journal of a control host: checksummed records in one file of its data
// folder, appended, synced, replaced whole by a snapshot, and recovered.
#pragma once

#include <jackdawhall/journal/journal_file.hpp>
