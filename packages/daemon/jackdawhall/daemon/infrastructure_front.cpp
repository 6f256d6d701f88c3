// The side of the daemon that faces the users' infrastructure. Package platform
// knows its formats; what is decided here is decided by the nodes.
#include <jackdawhall/daemon/daemon.hpp>

namespace jackdawhall::daemon
{

namespace
{

// What a read of the document may miss: changes accepted this long ago.
constexpr duration oldest_read = std::chrono::milliseconds(1200);

loop::http_limits to_limits(limits_v1 const& l)
{
    return {
        static_cast<std::uint32_t>(l.header_bytes_),
        static_cast<std::uint64_t>(l.body_bytes_),
        std::chrono::milliseconds(l.header_time_ms_),
        std::chrono::milliseconds(l.idle_time_ms_)};
}

} // namespace

leaf::result<void> daemon::start_infrastructure()
{
    settings::infrastructure const& i = *settings_.infrastructure_;
    orders_ = std::make_unique<loop::http_server>(
        i.orders_, settings_.max_connections_,
        loop::http_handlers{
            [this](std::uint64_t number, request r, std::string const&)
            { infrastructure_order(number, r); },
            [](std::uint64_t) {}},
        budget_);
    // Operators send whole configurations.
    loop::http_limits limits;
    limits.body_bytes_ = 64 << 20;
    orders_->set_limits(limits);
    BOOST_LEAF_CHECK(orders_->listen("infrastructure.orders"));
    if (!settings_.call_)
        return {};
    readiness_ = std::make_unique<loop::http_server>(
        i.readiness_, settings_.max_connections_,
        loop::http_handlers{
            [this](std::uint64_t number, request r, std::string const&)
            {
                readiness_->answer(
                    number, platform::to_readiness(
                                platform::asks_readiness(r) && is_ready()));
            },
            [](std::uint64_t) {}},
        budget_);
    BOOST_LEAF_CHECK(readiness_->listen("infrastructure.readiness"));
    callers_ = std::make_unique<loop::http_server>(
        i.callers_, settings_.max_connections_,
        caller_handlers(
            [this](std::uint64_t number, request r, std::string const&)
            { infrastructure_request(number, std::move(r)); }),
        budget_);
    BOOST_LEAF_CHECK(callers_->listen("infrastructure.callers"));
    return {};
}

bool daemon::is_ready() const
{
    return !calls_.stopping_since_ &&
           calls::is_fresh(calls_.configuration_, loop::read_clocks().now_);
}

void daemon::infrastructure_request(std::uint64_t number, request r)
{
    leaf::try_handle_all(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_AUTO(taken, platform::from_caller(std::move(r)));
            request_began_.emplace(number, loop::read_clocks().now_);
            give(calls::input{calls::caller_request{number, std::move(taken)}});
            return {};
        },
        [&](user_error const& why)
        { callers_->answer(number, platform::refuse_caller(why)); },
        [&] {
            callers_->answer(
                number, platform::refuse_caller({"unknown error", ""}));
        });
}

void daemon::infrastructure_order(std::uint64_t number, request const& r)
{
    leaf::try_handle_all(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_AUTO(o, platform::parse_order(r));
            answer_order(number, o);
            return {};
        },
        [&](user_error const& why)
        {
            say(severity::warn, part::operators, "order refused",
                {{"path", r.path_}, {"why", why.what_}});
            orders_->answer(number, platform::refuse_order(why));
        },
        [&] {
            orders_->answer(
                number, platform::refuse_order({"unknown error", ""}));
        });
}

void daemon::answer_order(std::uint64_t number, platform::order& o)
{
    std::visit(
        overloaded{
            [&](calls::announcement& a)
            {
                bool const leaves = a.state_ == server_state::draining;
                std::string const id = a.id_;
                give(calls::input{std::move(a)});
                if (leaves)
                    return give(
                        calls::input{calls::departure_awaited{number, id}});
                orders_->answer(number, platform::to_announcer());
            },
            [&](calls::server_deregistered& g)
            { take_deregistration(number, std::move(g)); },
            [&](document& d) { take_document(number, std::move(d)); },
            [&](platform::read_document&) {
                orders_->answer(number, platform::to_operator(document_text()));
            },
        },
        o);
}

// An acknowledgement promises that the server gets no more work. One that names
// no process, and may be of an earlier one, is left for its server to repeat.
void daemon::take_deregistration(
    std::uint64_t number, calls::server_deregistered gone)
{
    say(severity::info, part::calls, "backend server leaves",
        {{"server", gone.server_id_},
         {"started", std::to_string(gone.started_)}});
    bool const names_process = gone.started_ != 0;
    std::string const server_id = gone.server_id_;
    give(calls::input{std::move(gone)});
    if (!names_process && calls::takes_work(calls_, server_id))
        return orders_->answer(
            number, platform::to_operator(unknown_outcome{
                        "it may be of an earlier process of the server"}));
    give(calls::input{calls::departure_awaited{number, server_id}});
}

void daemon::take_document(std::uint64_t number, document d)
{
    if (!control_)
        return orders_->answer(
            number, platform::to_operator(
                        unknown_outcome{"no control node runs here now"}));
    say(severity::info, part::operators, "document received",
        {{"version", std::to_string(d.version_)},
         {"base", std::to_string(d.base_)},
         {"digest", d.digest_}});
    // Numbers of their own: those of the operators' server may be the same.
    std::uint64_t const own = ++last_document_ | (std::uint64_t{1} << 63);
    order_documents_.emplace(own, number);
    give(control::input{control::operator_document{own, std::move(d)}});
}

// Empty unless it is known that this holds whatever was accepted up to a
// moment ago.
std::string daemon::document_text() const
{
    if (!control_)
        return {};
    std::optional<duration> const age =
        control::state_age(control_->consensus_, loop::read_clocks().now_);
    return age && *age <= oldest_read ? control_->machine_.document_text_
                                      : std::string{};
}

// Takes the limits for callers from the configuration, if they changed.
void daemon::follow_limits()
{
    calls::configuration const& c = calls_.configuration_;
    if (!callers_ || c.revision_ == limits_as_of_)
        return;
    limits_as_of_ = c.revision_;
    if (c.limits_)
        callers_->set_limits(to_limits(*c.limits_));
}

} // namespace jackdawhall::daemon
