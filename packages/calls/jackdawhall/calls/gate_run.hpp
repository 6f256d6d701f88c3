// What the files of the gate share on a run: when it is due, and how it leaves
// the gate. Internal to the package.
#pragma once

#include <jackdawhall/calls/pipeline_context.hpp>

namespace jackdawhall::calls
{

// What a process says may arrive this long after it has ended.
inline constexpr duration late_message_time = std::chrono::seconds(10);

// Whether a run serves a call of another run in progress. Calls on open routes
// count as such: backend servers make them while they run a request.
bool serves_run_in_progress(gate_run const& run);
// When a queued run is refused, or a running one reaches its deadline, if it is
// not abandoned before.
instant due_time(gate_run const& run);
// Removes a run from the state, and from the queue of its server.
void erase_run(state& s, gate_run const& run);
// Sends the outcome of a run, which was erased, to its entry, and keeps it for
// inquiries.
void send_answer(working_state& w, gate_run const& run, verdict v, bool shed);
void log_refusal(working_state& w, gate_run const& run, refusal_reason reason);
// Erases a queued run and tells its entry that it has not run.
void refuse_run(working_state& w, call_number number, refusal_reason reason);
// Removes a server whose process has ended, and reports the requests that broke
// off shortly before as suspects. The server must be known.
working_state remove_ended_server(
    working_state w, std::string const& server_id, refusal_reason why);

} // namespace jackdawhall::calls
