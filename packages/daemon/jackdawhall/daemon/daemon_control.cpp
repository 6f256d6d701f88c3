// The control node and its disk: effects that follow a store wait until the
// store is synced, and a disk that fails ends the node, which begins again.
#include <jackdawhall/daemon/daemon.hpp>

#include <jackdawhall/daemon/http_answer.hpp>
#include <jackdawhall/daemon/node_settings.hpp>

namespace jackdawhall::daemon
{

namespace
{

// Time between two tries to use a disk that failed.
constexpr duration disk_retry = std::chrono::seconds(1);

// What must not leave before the stores before it are synced: a vote, an
// acknowledgement, and whatever rests on this host's term.
bool waits_for_disk(control::effect const& e)
{
    send const* s = std::get_if<send>(&e);
    if (!s)
        return false;
    return std::visit(
        overloaded{
            [](vote_request const&) { return true; },
            [](vote_response const&) { return true; },
            [](append_request const&) { return true; },
            [](append_response const&) { return true; },
            [](install_snapshot const&) { return true; },
            [](auto const&) { return false; },
        },
        s->outgoing_.message_);
}

} // namespace

leaf::result<void> daemon::start_control()
{
    control::recovered_state disk;
    BOOST_LEAF_AUTO(
        opened, journal::journal_file::open(
                    settings_.data_folder_, [&](journal::raw_record const& r)
                    { return take_record(disk, r); }));
    journal_.emplace(std::move(opened));
    random_source random = random_source::from_system_entropy();
    bool new_identity = false;
    BOOST_LEAF_CHECK(
        check_identity(disk, settings_.host_, random, new_identity));
    if (new_identity)
    {
        BOOST_LEAF_CHECK(journal_->append(identity_record(disk.self_)));
        journal::sync_job const job = journal_->take_sync_job();
        BOOST_LEAF_CHECK(journal::run(job));
        journal_->finish(job);
        say(severity::info, part::control,
            "data folder is empty; starts blank");
    }
    control_ = control::make_state(
        consensus_settings(settings_), std::move(disk), random,
        loop::read_clocks().now_, node_options(settings_));
    return {};
}

// A disk that takes nothing now may do so later; other faults of the data
// folder need a person.
leaf::result<void> daemon::begin_control()
{
    return leaf::try_handle_some(
        [&] { return start_control(); },
        [&](internal_error const& error) -> leaf::result<void>
        {
            say(severity::error, part::control, "the disk cannot be used yet",
                {{"what", error.what_}});
            disk_problem_ = error.what_;
            restart_.set(disk_retry, [this] { restart_control(); });
            return {};
        });
}

void daemon::answer_without_control(control::input const& in)
{
    received const* r = std::get_if<received>(&in);
    std::optional<outgoing> answer =
        r ? control::answer_without_node(r->message_) : std::nullopt;
    if (answer)
        transmit(std::move(*answer));
}

void daemon::carry_out(control::effect e)
{
    if (last_store_ > synced_store_ && waits_for_disk(e))
        held_.push_back({last_store_, std::move(e)});
    else
        perform(std::move(e));
}

void daemon::perform(control::effect e)
{
    leaf::try_handle_all(
        [&]() -> leaf::result<void>
        {
            return std::visit(
                overloaded{
                    [&](control::store_hard_state& s) -> leaf::result<void>
                    {
                        last_store_ = s.number_;
                        return write_store(*journal_, s);
                    },
                    [&](control::store_entries& s) -> leaf::result<void>
                    {
                        last_store_ = s.number_;
                        return write_store(*journal_, s);
                    },
                    [&](control::store_snapshot& s) -> leaf::result<void>
                    {
                        last_store_ = s.number_;
                        return write_store(
                            *journal_, s, control_->consensus_.self_);
                    },
                    [&](send& s) -> leaf::result<void>
                    {
                        transmit(std::move(s.outgoing_));
                        return {};
                    },
                    [&](control::answer_operator& a) -> leaf::result<void>
                    {
                        auto const document = order_documents_.find(a.number_);
                        if (document != order_documents_.end())
                        {
                            orders_->answer(
                                document->second,
                                platform::to_operator(a.outcome_));
                            order_documents_.erase(document);
                            return {};
                        }
                        operator_changes_.erase(a.number_);
                        answer http{
                            200, {}, wire::to_json(a.outcome_).dump() + "\n"};
                        http.headers_.push_back(
                            {"content-type", "application/json"});
                        operators_->answer(a.number_, http);
                        return {};
                    },
                    [&](log_message& n) -> leaf::result<void>
                    {
                        say(severity::info, part::control, n.text_, n.fields_);
                        return {};
                    },
                },
                e);
        },
        [&](internal_error const& error) { fail_disk(error.what_); },
        [&] { fail_disk("unknown error"); });
}

void daemon::fail_disk(std::string const& what)
{
    if (!control_)
        return;
    say(severity::error, part::control,
        "the disk failed; the control node begins again from it",
        {{"what", what}});
    control::effects told = control::abandon_changes(*control_);
    ++disk_runs_;
    control_.reset();
    held_.clear();
    last_store_ = synced_store_ = 0;
    for (control::effect& e : told)
        perform(std::move(e));
    fail_pending_changes("the disk failed");
    restart_.set(disk_retry, [this] { restart_control(); });
}

// Why the disk cannot be used; empty if the control node has started.
std::string daemon::try_start_control()
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::string>
        {
            BOOST_LEAF_CHECK(start_control());
            return std::string{};
        },
        [](user_error const& e) { return e.what_; },
        [](internal_error const& e) { return e.what_; },
        [] { return std::string("unknown error"); });
}

void daemon::restart_control()
{
    // A job in progress still uses the files of the journal that failed.
    if (syncing_)
        return restart_.set(disk_retry, [this] { restart_control(); });
    journal_.reset();
    std::string const problem = try_start_control();
    if (!problem.empty())
    {
        if (std::exchange(disk_problem_, problem) != problem)
            say(severity::error, part::control, "the disk cannot be used yet",
                {{"what", problem}});
        journal_.reset();
        return restart_.set(disk_retry, [this] { restart_control(); });
    }
    disk_problem_.clear();
    say(severity::info, part::control, "the disk works again");
    arm_timer();
}

void daemon::start_sync()
{
    if (syncing_ || !control_ || last_store_ == synced_store_)
        return;
    syncing_ = true;
    control::store_number const number = last_store_;
    journal::sync_job const job = journal_->take_sync_job();
    instant const began = loop::read_clocks().now_;
    loop::sync_in_worker(
        job,
        [this, number, job, began, run = disk_runs_](std::string const& error)
        {
            syncing_ = false;
            if (disk_runs_ != run)
                return; // of a control node that has ended
            if (!error.empty())
                return fail_disk(error);
            journal_->finish(job);
            sync_latency_.add(loop::read_clocks().now_ - began);
            store_done(number);
        });
}

void daemon::store_done(control::store_number number)
{
    synced_store_ = number;
    release_held();
    give(control::input{control::stores_synced{number}});
}

void daemon::release_held()
{
    while (!held_.empty() && held_.front().after_ <= synced_store_)
    {
        control::effect e = std::move(held_.front().effect_);
        held_.pop_front();
        perform(std::move(e));
    }
}

} // namespace jackdawhall::daemon
