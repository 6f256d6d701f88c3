// The daemon's side of a shutdown: carries out what the order of shutdown says,
// and goes on whenever something was written or closed.
#include <jackdawhall/daemon/daemon.hpp>

#include <jackdawhall/daemon/http_answer.hpp>

namespace jackdawhall::daemon
{

std::vector<loop::http_server*> daemon::answering_servers() const
{
    std::vector<loop::http_server*> servers;
    for (loop::http_server* s :
         {callers_.get(), operators_.get(), orders_.get()})
    {
        if (s)
            servers.push_back(s);
    }
    return servers;
}

open_work daemon::count_open_work() const
{
    open_work open;
    for (loop::http_server const* s : answering_servers())
        open.connections_ += s->open_connections();
    open.links_behind_ = links_->links_behind();
    open.links_ = links_->open_links();
    if (control_)
        open.changes_ = control::changes_in_progress(*control_);
    return open;
}

void daemon::take_stop_signal()
{
    if (shutdown_.phase_ != shutdown_phase::running)
        return;
    instant const now = loop::read_clocks().now_;
    say(severity::info, part::daemon, "stop signal received",
        {{"changes",
          std::to_string(operator_changes_.size() + order_documents_.size())}});
    for (loop::http_server* s : answering_servers())
        s->announce_closing();
    if (readiness_)
        readiness_->announce_closing();
    give(calls::input{calls::stop_requested{}});
    shutdown_ = begin_shutdown(
        settings_.call_, now + calls_.settings_.shutdown_periods_.drain_period_,
        now);
    enter_shutdown_phase();
}

void daemon::go_on_with_shutdown()
{
    shutdown_state const next = continue_shutdown(
        shutdown_, count_open_work(), loop::read_clocks().now_);
    bool const entered = next.phase_ != shutdown_.phase_;
    shutdown_ = next;
    if (entered)
        enter_shutdown_phase();
    else if (shutdown_.phase_ == shutdown_phase::flushing)
        arm_shutdown_timer();
}

void daemon::take_link_lost(host_name const& host, std::uint64_t newest)
{
    if (shutdown_.phase_ == shutdown_phase::flushing)
        shutdown_ = note_link_lost(
            shutdown_, count_open_work(), loop::read_clocks().now_);
    give(calls::input{calls::link_lost{host, newest}});
    give(control::input{control::link_lost{host}});
}

void daemon::arm_shutdown_timer()
{
    instant const now = loop::read_clocks().now_;
    shutdown_timer_.set(
        next_check(shutdown_, now) - now, [this] { go_on_with_shutdown(); });
}

void daemon::enter_shutdown_phase()
{
    if (shutdown_.phase_ == shutdown_phase::working)
        return;
    if (shutdown_.phase_ == shutdown_phase::answering)
    {
        for (loop::http_server* s : answering_servers())
            s->stop_accepting([this] { go_on_with_shutdown(); });
    }
    // What a link carried is taken once the peer has confirmed it.
    if (shutdown_.phase_ == shutdown_phase::flushing)
        links_->ask_confirmation();
    if (shutdown_.phase_ == shutdown_phase::closing)
        links_->finish_writing();
    if (shutdown_.phase_ == shutdown_phase::ended)
        return end_shutdown();
    arm_shutdown_timer();
    go_on_with_shutdown();
}

void daemon::end_shutdown()
{
    std::size_t const unanswered =
        operator_changes_.size() + order_documents_.size();
    fail_pending_changes("the host stops");
    std::size_t unwritten = 0;
    for (loop::http_server const* s : answering_servers())
        unwritten += s->unwritten();
    duration const took = loop::read_clocks().now_ - shutdown_.began_;
    say(severity::info, part::daemon, "shutdown complete",
        {{"after_ms", std::to_string(took.count() / 1000)},
         {"changes_unanswered", std::to_string(unanswered)},
         {"bytes_left_to_callers", std::to_string(unwritten)},
         {"bytes_left_to_peers", std::to_string(links_->unwritten())}});
    loop_.quit();
}

void daemon::fail_pending_changes(std::string const& why)
{
    for (auto const& waiting : std::exchange(order_documents_, {}))
        orders_->answer(
            waiting.second, platform::to_operator(unknown_outcome{why}));
    for (std::uint64_t const number : std::exchange(operator_changes_, {}))
        operators_->answer(
            number,
            json_answer(
                200, wire::to_json(unknown_outcome{why}).dump() + "\n"));
}

} // namespace jackdawhall::daemon
