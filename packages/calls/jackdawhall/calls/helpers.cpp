// Helpers that several filters and handlers of the call node share.
#include <jackdawhall/calls/pipeline_context.hpp>

#include <algorithm>

namespace jackdawhall::calls
{

pipeline_context
refuse(pipeline_context p, refusal_reason reason, duration retry_after)
{
    p.progress_ = finished{not_run{reason, retry_after}};
    return p;
}

pipeline_context
finish_as_indeterminate(pipeline_context p, indeterminate_reason reason)
{
    p.progress_ = finished{may_have_run{reason}};
    return p;
}

bool possibly_ran(entry_call const& c)
{
    return c.forward_.has_value() || c.earlier_forward_.has_value() ||
           c.lost_tries_ > 0 || c.outcome_request_.has_value();
}

host_name leader_host(state const& s)
{
    if (!s.control_.leader_.empty() || s.control_.hosts_.empty())
        return s.control_.leader_;
    return s.control_.hosts_.at(s.control_.current_);
}

call_number next_number(state& s)
{
    ++s.last_number_;
    if (s.last_number_ == 0)
        ++s.last_number_; // 0 means no call
    return s.last_number_;
}

server_key key_of(backend_server const& server)
{
    return {server.host_, server.id_};
}

namespace
{

instant due_of(entry_call const& c)
{
    return c.wake_at_ ? std::min(*c.wake_at_, c.deadline_) : c.deadline_;
}

} // namespace

void schedule_timer(state& s, entry_call const& c)
{
    s.call_due_.emplace(due_of(c), c.number_);
}

void cancel_timer(state& s, entry_call const& c)
{
    s.call_due_.erase({due_of(c), c.number_});
}

std::string_view to_text(stage s)
{
    switch (s)
    {
    case stage::link:
        return "link";
    case stage::gate_queue:
        return "gate_queue";
    case stage::server:
        return "server";
    }
    return "unknown";
}

std::string milliseconds_text(duration d)
{
    return std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(d).count());
}

void send_message(working_state& w, host_name const& to, message m)
{
    w.effects_.push_back(send{{to, std::move(m)}});
}

} // namespace jackdawhall::calls
