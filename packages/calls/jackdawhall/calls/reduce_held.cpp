// What the node gives back when its daemon holds too much for others: kept
// answers, of which an entry that asks is told that their outcome is unknown,
// and queued runs, which are refused.
#include <jackdawhall/calls/gate_run.hpp>

namespace jackdawhall::calls
{

namespace
{

// Refuses queued runs of one server until the bytes are few enough.
void shed_queued(
    working_state& w, std::string const& server_id, std::size_t bytes)
{
    local_server& server = w.state_->local_servers_.at(server_id);
    while (w.state_->queued_bytes_ > bytes && !server.queued_.empty())
        refuse_run(
            w, select_run_to_shed(w, server), refusal_reason::shed_at_gate);
}

} // namespace

std::size_t held_bytes(state const& s)
{
    return s.forward_memory_.answer_bytes_ + s.queued_bytes_;
}

working_state reduce_held(working_state w, std::size_t bytes)
{
    std::size_t const queued = w.state_->queued_bytes_;
    std::size_t const answers = bytes > queued ? bytes - queued : 0;
    w.state_->forward_memory_ =
        drop_answers(std::move(w.state_->forward_memory_), answers, w.at_.now_);
    std::vector<std::string> servers;
    for (auto const& known : w.state_->local_servers_)
        servers.push_back(known.first);
    for (std::string const& server_id : servers)
        shed_queued(w, server_id, bytes);
    return w;
}

} // namespace jackdawhall::calls
