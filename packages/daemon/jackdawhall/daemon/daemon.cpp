#include <jackdawhall/daemon/daemon.hpp>

#include <cstdlib>

#include <jackdawhall/daemon/node_settings.hpp>

namespace jackdawhall::daemon
{

namespace
{

// Share of the host's memory for the bytes held for others. The rest is for the
// program, the configuration, and the copies of one message being handled.
constexpr std::size_t held_share_dividend = 3;
constexpr std::size_t held_share_divisor = 10;

std::size_t held_budget(settings::daemon_settings const& s)
{
    return (std::size_t{s.memory_mb_} << 20) * held_share_dividend /
           held_share_divisor;
}

constexpr duration settings_check = std::chrono::seconds(1);

// When a file was last written; nothing while there is none.
std::optional<std::filesystem::file_time_type>
time_written(std::string const& path)
{
    std::error_code error;
    std::filesystem::file_time_type const written =
        std::filesystem::last_write_time(path, error);
    if (error)
        return std::nullopt;
    return written;
}

// Number of a forward, by which a lost link tells what it may have carried.
std::uint64_t tag_of(message const& m)
{
    forward_request const* f = std::get_if<forward_request>(&m);
    return f ? f->number_ : 0;
}

// Messages for the control node; the others are for the call node.
bool is_for_control(message const& m)
{
    return std::visit(
        overloaded{
            [](renewal_response const&) { return false; },
            [](confirmation_response const&) { return false; },
            [](configuration_update const&) { return false; },
            [](grant_response const&) { return false; },
            [](claim_response const&) { return false; },
            [](claim_released const&) { return false; },
            [](outcome_request const&) { return false; },
            [](outcome_response const&) { return false; },
            [](control_host_list const&) { return true; },
            [](forward_request const&) { return false; },
            [](forward_response const&) { return false; },
            [](cancel_forward const&) { return false; },
            [](forward_inquiry const&) { return false; },
            [](forward_report const&) { return false; },
            [](auto const&) { return true; },
        },
        m);
}

} // namespace

daemon::daemon(settings::daemon_settings s)
    : settings_(std::move(s)),
      budget_(std::make_shared<loop::memory_budget>(held_budget(settings_))),
      kept_by_calls_(
          budget_,
          [this]
          {
              give(calls::input{
                  calls::reduce_held_bytes{calls::held_bytes(calls_) / 2}});
          }),
      calls_(calls::make_state(
          call_settings(settings_), random_source::from_system_entropy(),
          loop::read_clocks().now_))
{
}

leaf::result<void> daemon::start()
{
    budget_->on_yield([this](loop::yielded const& y) { log_yield(y); });
    loop::peer_handlers peers;
    peers.received_ = [this](host_name const& from, std::string bytes)
    { receive_bytes(from, std::move(bytes)); };
    peers.lost_ = [this](host_name const& host, std::uint64_t newest)
    { take_link_lost(host, newest); };
    peers.undelivered_ = [this](host_name const& to, std::string bytes)
    { take_undelivered(to, std::move(bytes), false); };
    peers.withdrawn_ = [this](host_name const& to, std::string bytes)
    { take_undelivered(to, std::move(bytes), true); };
    peers.note_ = [this](std::string const& text)
    { say(severity::info, part::peers, text); };
    peers.settled_ = [this] { go_on_with_shutdown(); };
    links_ = std::make_unique<loop::peer_links>(
        settings_.host_, settings_.peers_, settings_.fleet_secret_, peers,
        budget_);
    for (settings::control_host const& host : settings_.control_hosts_)
        links_->set_address(host.host_, host.peers_);
    BOOST_LEAF_CHECK(links_->listen());

    backends_ = std::make_unique<loop::backend_client>(
        loop::backend_handlers{
            [this](std::uint64_t run, loop::backend_result result)
            { take_backend_result(run, std::move(result)); },
            [this](std::string const& server_id, bool alive) {
                give(calls::input{calls::probe_result{server_id, alive}});
            }},
        budget_);

    if (settings_.callers_.port_ != 0)
        BOOST_LEAF_CHECK(start_own_front());
    if (settings_.infrastructure_)
        BOOST_LEAF_CHECK(start_infrastructure());
    operators_ = std::make_unique<loop::http_server>(
        settings_.operators_, settings_.max_connections_,
        loop::http_handlers{
            [this](std::uint64_t number, request r, std::string const&)
            { operator_request(number, r); },
            [this](std::uint64_t number) { operator_changes_.erase(number); }},
        budget_);
    BOOST_LEAF_CHECK(operators_->listen("listen.operators"));
    if (settings_.control_)
        BOOST_LEAF_CHECK(begin_control());
    loop_.on_stop_signal([this] { take_stop_signal(); });
    loop_.on_reload_signal([this] { reload(); });
    return {};
}

leaf::result<void> daemon::start_own_front()
{
    callers_ = std::make_unique<loop::http_server>(
        settings_.callers_, settings_.max_connections_,
        caller_handlers(
            [this](std::uint64_t number, request r, std::string const& remote)
            { caller_request(number, std::move(r), remote); }),
        budget_);
    BOOST_LEAF_CHECK(callers_->listen("listen.callers"));
    return {};
}

void daemon::remember_settings_file(std::string path)
{
    settings_file_ = std::move(path);
    settings_written_ = time_written(settings_file_);
}

// The file may also change without a signal.
void daemon::watch_settings_file()
{
    std::optional<std::filesystem::file_time_type> const written =
        time_written(settings_file_);
    if (written && written != settings_written_)
        reload();
    settings_watch_.set(settings_check, [this] { watch_settings_file(); });
}

// Only the control hosts named may change while a daemon runs.
void daemon::reload()
{
    settings_written_ = time_written(settings_file_);
    settings::checked_settings const read =
        settings::read_settings(settings_file_);
    for (settings::problem const& p : read.problems_)
        say(severity::error, part::daemon, "settings not taken",
            {{"problem", settings::to_text(settings_file_, p)}});
    if (!read.problems_.empty())
        return;
    // A control node that begins again in this process needs them as well.
    settings_.control_hosts_ = read.settings_.control_hosts_;
    std::vector<host_name> hosts;
    for (settings::control_host const& host : settings_.control_hosts_)
    {
        hosts.push_back(host.host_);
        links_->set_address(host.host_, host.peers_);
    }
    say(severity::info, part::daemon, "settings read again",
        {{"control_hosts", std::to_string(hosts.size())}});
    give(control::input{received{settings_.host_, control_host_list{hosts}}});
    give(calls::input{calls::control_hosts_changed{std::move(hosts)}});
}

void daemon::take_backend_result(std::uint64_t run, loop::backend_result result)
{
    calls::backend_outcome outcome = std::visit(
        overloaded{
            [&](loop::backend_answered& a) -> calls::backend_outcome
            {
                if (settings_.infrastructure_)
                    return platform::from_backend(std::move(a.answer_));
                return calls::answered{std::move(a.answer_)};
            },
            [](loop::backend_not_connected& n) -> calls::backend_outcome
            { return calls::not_connected{n.server_failed_}; },
            [](loop::backend_broken& b) -> calls::backend_outcome
            { return calls::connection_broken{b.reason_}; },
        },
        result);
    give(calls::input{calls::run_finished{run, std::move(outcome)}});
}

int daemon::run()
{
    say(severity::info, part::daemon, "started",
        {{"host", settings_.host_.str()},
         {"call", settings_.call_ ? "yes" : "no"},
         {"control", settings_.control_ ? "yes" : "no"}});
    timer_fired();
    if (!settings_file_.empty())
        watch_settings_file();
    loop_.run();
    say(severity::info, part::daemon, "stopped");
    return EXIT_SUCCESS;
}

void daemon::say(
    severity level, part from, std::string const& sentence,
    log_fields const& fields)
{
    log(loop::read_clocks().now_, level, from, sentence, fields);
}

// --- Inputs ---------------------------------------------------------------

void daemon::give(calls::input in)
{
    inputs_.emplace_back(std::move(in));
    work_off();
}

void daemon::give(control::input in)
{
    if (!control_)
        return answer_without_control(in);
    inputs_.emplace_back(std::move(in));
    work_off();
}

void daemon::work_off()
{
    if (working_)
        return; // the outer call takes it
    working_ = true;
    while (!inputs_.empty())
    {
        std::variant<calls::input, control::input> in =
            std::move(inputs_.front());
        inputs_.pop_front();
        std::visit(
            overloaded{
                [&](calls::input& i) { step_calls(std::move(i)); },
                [&](control::input& i) { step_control(std::move(i)); },
            },
            in);
    }
    working_ = false;
    start_sync();
    arm_timer();
    if (shutdown_.phase_ != shutdown_phase::running)
        go_on_with_shutdown();
}

void daemon::step_calls(calls::input in)
{
    calls::node_step step =
        calls::run(std::move(calls_), std::move(in), loop::read_clocks());
    calls_ = std::move(step.state_);
    count_kept_by_calls();
    follow_limits();
    for (calls::effect& e : step.effects_)
        carry_out(std::move(e));
}

void daemon::step_control(control::input in)
{
    if (!control_)
        return answer_without_control(in);
    control::node_step step =
        control::run(std::move(*control_), std::move(in), loop::read_clocks());
    control_ = std::move(step.state_);
    std::uint64_t const run = disk_runs_;
    for (control::effect& e : step.effects_)
    {
        if (disk_runs_ != run)
            return;
        carry_out(std::move(e));
    }
}

void daemon::arm_timer()
{
    instant due = calls::next_due(calls_);
    if (control_)
        due = std::min(due, control::next_due(*control_));
    loop_.set_timer(due, [this] { timer_fired(); });
}

void daemon::timer_fired()
{
    instant const now = loop::read_clocks().now_;
    if (control_ && control::next_due(*control_) <= now)
        give(control::input{timer_expired{}});
    if (calls::next_due(calls_) <= now)
        give(calls::input{timer_expired{}});
    arm_timer();
}

// --- Messages ---------------------------------------------------------------

// `withdrawn`: the link with the host goes on, so that nothing is asked again.
void daemon::take_undelivered(
    host_name const& to, std::string bytes, bool withdrawn)
{
    leaf::result<message> m = wire::decode_message(bytes);
    bytes = {};
    if (m && control::is_operator_request(m.value()))
        give(control::input{
            control::message_not_sent{{to, std::move(m.value())}}});
    else if (m)
        give(calls::input{
            calls::message_not_sent{{to, std::move(m.value())}, withdrawn}});
}

void daemon::receive_bytes(host_name const& from, std::string bytes)
{
    leaf::try_handle_all(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_AUTO(m, wire::decode_message(bytes));
            bytes = {}; // a large message is not held twice
            receive(from, std::move(m));
            return {};
        },
        [&](user_error const& e)
        {
            say(severity::warn, part::peers, "message dropped",
                {{"from", from.str()}, {"what", e.what_}});
        },
        [&]
        {
            say(severity::warn, part::peers, "message dropped",
                {{"from", from.str()}});
        });
}

void daemon::receive(host_name const& from, message m)
{
    if (is_for_control(m))
        give(control::input{received{from, std::move(m)}});
    else
        give(calls::input{received{from, std::move(m)}});
}

void daemon::connect_address(host_name const& host, message const& m)
{
    // Hosts that are named by their address share one port for peers.
    if (settings_.control_hosts_learnt_)
        return links_->set_address(host, {host.str(), settings_.peers_.port_});
    forward_request const* f = std::get_if<forward_request>(&m);
    if (!f)
        return;
    auto const servers = calls_.servers_.find(f->service_);
    if (servers == calls_.servers_.end())
        return;
    for (backend_server const& server : servers->second)
    {
        if (server.host_ == host)
            return links_->set_address(host, server.gate_);
    }
}

void daemon::run_on_backend(calls::run_on_backend const& r)
{
    if (!settings_.infrastructure_)
        return backends_->run(
            r.run_, r.address_, r.request_, r.timeout_,
            {{}, {}, false, r.repeatable_});
    backends_->run(
        r.run_, r.address_, platform::to_backend(r), r.timeout_,
        {platform::attempt_header(), r.root_, true, r.repeatable_});
}

void daemon::transmit(outgoing out)
{
    if (out.to_.empty())
        return;
    if (out.to_ == settings_.host_)
        return receive(out.to_, std::move(out.message_));
    connect_address(out.to_, out.message_);
    links_->send(out.to_, wire::encode(out.message_), tag_of(out.message_));
}

// --- Effects of the call node
// --------------------------------------------------

void daemon::carry_out(calls::effect e)
{
    std::visit(
        overloaded{
            [&](send& s) { transmit(std::move(s.outgoing_)); },
            [&](log_message& n)
            { say(severity::info, part::calls, n.text_, n.fields_); },
            [&](calls::answer_caller& a) { answer_http(std::move(a)); },
            [&](calls::run_on_backend& r) { run_on_backend(r); },
            [&](calls::cancel_run& c) { backends_->cancel(c.run_); },
            [&](calls::probe_server& p)
            { backends_->probe(p.server_id_, p.address_); },
            [&](calls::answer_departure& d) { answer_leaving_server(d); },
            [&](calls::observe_duration& t) {
                stage_latency_.at(static_cast<std::size_t>(t.stage_))
                    .add(t.time_);
            },
            [&](calls::stopped& s)
            {
                // The effects that follow come first.
                shutdown_timer_.set(
                    duration{0},
                    [this, by = s.drained_by_]
                    {
                        shutdown_ = finish_calls(shutdown_, by);
                        enter_shutdown_phase();
                    });
            },
        },
        e);
}

} // namespace jackdawhall::daemon
