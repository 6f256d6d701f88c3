// Shared rates: the parts of all control hosts together keep to the account's
// rate, burst and tolerance in every window.
#include <catch2/catch.hpp>

#include <jackdawhall/control.hpp>

using namespace jackdawhall;
using namespace jackdawhall::control;
using namespace std::chrono_literals;

namespace
{

constexpr rate_tolerance tolerance{0.1, 20, 5s};

grant_request ask_for(std::int64_t tokens, std::uint64_t number)
{
    grant_request r;
    r.host_ = host_name::make("caller").value();
    r.account_ = account_name::make("acme").value();
    r.number_ = number;
    r.waiting_ = tokens;
    r.waiting_by_rank_ = {{highest_caller_rank, tokens}};
    return r;
}

// Tokens that hosts with these shares give out in a window, to callers who ask
// for as many as they can at every millisecond, after an idle time.
std::int64_t
given_in_window(account_limits const& whole, std::vector<double> const& shares)
{
    std::int64_t given = 0;
    for (double const share : shares)
    {
        grant_allocator state;
        host_share const part{share, static_cast<int>(shares.size())};
        bucket_limits const limits = limits_for_share(whole, tolerance, part);
        instant const begin = instant{} + 60s;
        std::uint64_t number = 0;
        for (instant at = begin; at < begin + tolerance.window_; at += 1ms)
        {
            allocator_step step = allocate_from_local_bucket(
                std::move(state), limits, ask_for(9, ++number), at);
            state = std::move(step.state_);
            given += step.response_->tokens_;
        }
    }
    return given;
}

host_share
share_of(membership const& m, account_name const& account, instant at)
{
    return compute_host_share(m, account, majority_contact::recent, at);
}

membership_report
report_of(host_name const& origin, account_name const& account)
{
    membership_report report;
    report.origin_ = origin;
    report.demand_ = {{account, 1000}};
    return report;
}

} // namespace

TEST_CASE("no window sees more than the rate, the burst and the tolerance")
{
    std::int64_t const rate = GENERATE(2, 16, 100, 900);
    std::vector<double> const shares = GENERATE(
        std::vector<double>{1}, std::vector<double>(5, 0.2),
        std::vector<double>{0.84, 0.04, 0.04, 0.04, 0.04});
    std::int64_t const given = given_in_window({rate * 1000, rate}, shares);
    double const allowed =
        static_cast<double>(rate * 5 + rate) * (1 + tolerance.share_) +
        tolerance.requests_;
    CHECK(static_cast<double>(given) <= allowed);
    CHECK(given >= rate * 6);
}

TEST_CASE("what matters most finds tokens while the rest asks for too many")
{
    bucket_limits const part{100'000, 40'000}; // 100 a second
    rank const important = highest_caller_rank;
    rank const other = important + 2;
    grant_allocator state;
    std::uint64_t number = 0;
    std::int64_t refused = 0;
    std::int64_t given = 0;
    // 150 a second for four seconds, of which one in five matters most. Each
    // kind asks by itself, so that only the reserve puts one before the other.
    instant const begin = instant{} + 60s;
    for (int i = 0; i < 600; ++i)
    {
        grant_request r = ask_for(1, ++number);
        bool const matters = i % 5 == 0;
        r.waiting_by_rank_ = {{matters ? important : other, 1}};
        allocator_step step = allocate_from_local_bucket(
            std::move(state), part, r, begin + duration(4s) * i / 600);
        state = std::move(step.state_);
        std::int64_t const tokens = step.response_->tokens_;
        given += tokens;
        refused += matters && tokens == 0 ? 1 : 0;
    }
    CHECK(refused == 0);
    // The rate and the burst, but for the reserve, are given out all the same.
    CHECK(given >= 400);
    CHECK(given <= 440);
}

TEST_CASE("a host counts its own demand as the others know it")
{
    account_name const account = ask_for(1, 1).account_;
    membership m;
    renewal_request r;
    r.host_ = host_name::make("daemon").value();
    r.demand_ = {{account, 1000}};
    instant at = instant{} + 60s;
    m = expire_and_report(apply_announcement(std::move(m), r, at), at).state_;
    membership_report other;
    other.origin_ = host_name::make("other").value();
    other.demand_ = {{account, 1000}};
    m = apply_report(std::move(m), other, at).state_;
    double const before = share_of(m, account, at).fraction_;
    r.demand_ = {{account, 9000}};
    m = apply_announcement(std::move(m), r, at);
    CHECK(share_of(m, account, at).fraction_ == before);
    at += report_interval;
    m = expire_and_report(std::move(m), at).state_;
    CHECK(share_of(m, account, at).fraction_ > before);
}

// The demand is at the first host, then all of it at the second.
TEST_CASE("tokens given by one host are not there again at another")
{
    account_limits const whole{100'000, 100};
    bucket_limits const large = limits_for_share(whole, tolerance, {0.84, 5});
    bucket_limits const small = limits_for_share(whole, tolerance, {0.04, 5});
    instant at = instant{} + 60s;
    account_name const account = ask_for(1, 1).account_;
    grant_allocator const first = refill_local_bucket({}, account, large, at);
    grant_allocator const second = refill_local_bucket({}, account, small, at);
    allocator_step const a =
        allocate_from_local_bucket(first, large, ask_for(500, 1), at);
    at += 500ms;
    allocator_step const b =
        allocate_from_local_bucket(second, large, ask_for(500, 2), at);
    std::int64_t const given = a.response_->tokens_ + b.response_->tokens_;
    double const allowed =
        (100 * 0.5 + 100) * (1 + tolerance.share_) + tolerance.requests_;
    CHECK(static_cast<double>(given) <= allowed);
}

TEST_CASE("a host that was suspended gives nothing from before")
{
    bucket_limits const part =
        limits_for_share({100'000, 100}, tolerance, {0.2, 5});
    instant const at = instant{} + 60s;
    grant_allocator const state =
        refill_local_bucket({}, ask_for(1, 1).account_, part, at);
    allocator_step const step =
        allocate_from_local_bucket(state, part, ask_for(500, 1), at + 8s);
    CHECK(step.response_->result_ == grant_result::exhausted);
}

TEST_CASE("a host without demand can still serve a first request")
{
    bucket_limits const limits =
        limits_for_share({2000, 2}, tolerance, {0.04, 5});
    CHECK(limits.milli_burst_ >= 1000);
}

TEST_CASE(
    "a host that has just started gives nothing that may be given already")
{
    grant_allocator state;
    state.started_at_ = instant{} + 60s;
    allocator_step const step = allocate_from_local_bucket(
        state, limits_for_share({100'000, 100}, tolerance, {0.2, 5}),
        ask_for(1, 1), state.started_at_);
    CHECK(step.response_->result_ == grant_result::exhausted);
}

// The others go on granting their shares: the host granted the whole rate.
TEST_CASE("a host that has just started has an even share at most")
{
    account_name const account = ask_for(1, 1).account_;
    host_name const first = host_name::make("first").value();
    host_name const second = host_name::make("second").value();
    membership m;
    m.peer_hosts_ = {first, second};
    m.started_at_ = instant{} + 60s;
    instant const at = m.started_at_ + 500ms;
    CHECK(share_of(m, account, at).fraction_ <= 1.0 / 3);
    m = apply_report(std::move(m), report_of(first, account), at).state_;
    CHECK(share_of(m, account, at).fraction_ <= 1.0 / 3);
    m = apply_report(std::move(m), report_of(second, account), at).state_;
    CHECK(share_of(m, account, at).fraction_ < 1.0 / 3);
}

TEST_CASE("a host that is cut off takes over no shares")
{
    account_name const account = ask_for(1, 1).account_;
    host_name const other = host_name::make("other").value();
    membership m;
    m.peer_hosts_ = {other};
    instant const heard = instant{} + 60s;
    m = apply_report(std::move(m), report_of(other, account), heard).state_;
    instant const later = heard + peer_silence_timeout;
    host_share const cut_off =
        compute_host_share(m, account, majority_contact::unknown, later);
    CHECK(cut_off.fraction_ <= 0.5);
    CHECK(cut_off.hosts_ == 2);
    CHECK(share_of(m, account, later).fraction_ == 1);
}
