// Syncs the journal away from the loop. The worker is a thread of GLib's pool
// that makes the system calls of one job; it holds no state and decides
// nothing, and its result comes back as an event of the loop.
#pragma once

#include <functional>
#include <string>

#include <jackdawhall/journal.hpp>
#include <jackdawhall/loop/gobject.hpp>

namespace jackdawhall::loop
{

// Called on the loop; `error` is empty if the job was done.
using sync_done = std::function<void(std::string const& error)>;

void sync_in_worker(journal::sync_job job, sync_done done);

} // namespace jackdawhall::loop
