// Cancellations of forwards that are not waited for any more. The link that
// carries one may end before it arrives, so each is given again when a link
// with its gate ends.
#include <jackdawhall/calls/pipeline_context.hpp>

namespace jackdawhall::calls
{

namespace
{

// The end of a link that lost a cancellation is noticed within this time.
constexpr duration cancellation_retention = std::chrono::seconds(5);
constexpr std::size_t max_kept_cancellations = 4096;

void drop_old_cancellations(std::deque<sent_cancellation>& kept, instant now)
{
    while (!kept.empty() &&
           (kept.size() > max_kept_cancellations || kept.front().until_ <= now))
        kept.pop_front();
}

} // namespace

void cancel_at_gate(
    working_state& w, host_name const& gate, call_number forward)
{
    std::deque<sent_cancellation>& kept = w.state_->sent_cancellations_;
    kept.push_back({w.at_.now_ + cancellation_retention, gate, forward});
    drop_old_cancellations(kept, w.at_.now_);
    send_message(w, gate, cancel_forward{forward});
}

working_state cancel_again(working_state w, host_name const& gate)
{
    drop_old_cancellations(w.state_->sent_cancellations_, w.at_.now_);
    for (sent_cancellation const& c : w.state_->sent_cancellations_)
    {
        if (c.gate_ == gate)
            send_message(w, gate, cancel_forward{c.forward_});
    }
    return w;
}

} // namespace jackdawhall::calls
