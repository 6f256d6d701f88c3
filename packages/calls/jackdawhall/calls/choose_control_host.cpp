#include <jackdawhall/calls/choose_control_host.hpp>

#include <algorithm>
#include <optional>

namespace jackdawhall::calls
{

namespace
{

// A silent host is asked at least once in this many renewal intervals.
constexpr int max_request_intervals = 4;
// A host that confirmed within this many renewal intervals may be switched to.
constexpr int confirmed_intervals = 2;

void switch_control_host(control_link& link, std::size_t index, instant now)
{
    link.current_ = index;
    link.switched_at_ = now;
    link.last_answer_at_ = now;
    link.last_heard_at_ = now;
    link.renewal_due_ = now;
    link.membership_version_ = 0;
}

// The nearest other control host that has confirmed lately.
std::optional<std::size_t> find_confirmed_host(state const& s, instant now)
{
    control_link const& link = s.control_;
    duration const lately = s.settings_.renewal_interval_ * confirmed_intervals;
    for (std::size_t i = 0; i < link.hosts_.size(); ++i)
    {
        auto const known = link.alternates_.find(link.hosts_.at(i));
        bool const confirmed = known != link.alternates_.end() &&
                               known->second.confirmed_at_ &&
                               now - *known->second.confirmed_at_ < lately;
        if (confirmed && i != link.current_)
            return i;
    }
    return std::nullopt;
}

// 0: same availability zone; 1: same region; 2: other region.
int distance(location const& here, location const& there)
{
    if (here == there)
        return 0;
    return here.region_ == there.region_ ? 1 : 2;
}

// The interval after a request that follows one after `last`; 0: the host has
// answered since. Shorter than the renewal interval, so that each renewal may
// be accompanied by a request.
duration next_request_interval(settings const& s, duration last)
{
    duration const first = s.renewal_interval_ * 3 / 4;
    return std::clamp<duration>(
        last * 2, first, s.renewal_interval_ * max_request_intervals);
}

} // namespace

bool is_recent(settings const& s, duration state_age)
{
    return state_age < s.control_timeout_;
}

bool is_current_control_host(control_link const& link, host_name const& host)
{
    return !link.hosts_.empty() && link.hosts_.at(link.current_) == host;
}

void leave_unresponsive_control_host(working_state& w)
{
    control_link& link = w.state_->control_;
    instant const now = w.at_.now_;
    duration const timeout = w.state_->settings_.control_timeout_;
    if (now - link.last_answer_at_ < timeout)
        return;
    std::optional<std::size_t> next = find_confirmed_host(*w.state_, now);
    if (!next && now - link.last_heard_at_ >= timeout)
        next = (link.current_ + 1) % link.hosts_.size();
    if (!next)
        return;
    host_name const left = link.hosts_.at(link.current_);
    switch_control_host(link, *next, now);
    w.effects_.push_back(log_message{
        "control host unresponsive or isolated; switching to another",
        {{"host", left.str()},
         {"goes_on_with", link.hosts_.at(link.current_).str()},
         {"revision", std::to_string(w.state_->configuration_.revision_)}}});
}

void request_confirmations(working_state& w)
{
    state& s = *w.state_;
    instant const now = w.at_.now_;
    // A daemon without any configuration gets its first one from the current
    // host alone, since all of it would come from each host.
    if (s.configuration_.revision_ == 0)
        return;
    for (host_name const& host : s.control_.hosts_)
    {
        alternate_control_host& other = s.control_.alternates_[host];
        if (is_current_control_host(s.control_, host) ||
            now < other.next_request_at_)
            continue;
        other.request_interval_ =
            next_request_interval(s.settings_, other.request_interval_);
        other.next_request_at_ = now + other.request_interval_;
        confirmation_request r;
        r.host_ = s.settings_.self_;
        r.incarnation_ = s.incarnation_;
        r.stamp_ = now.time_since_epoch().count();
        r.known_revision_ = s.configuration_.revision_;
        send_message(w, host, std::move(r));
    }
}

working_state handle_confirmation_response(
    working_state w, host_name const& from, confirmation_response a)
{
    state& s = *w.state_;
    if (a.incarnation_ != s.incarnation_)
        return w;
    note_lender_run(s, from, a.membership_incarnation_, w.at_.now_);
    w = handle_configuration_update(std::move(w), a.update_);
    if (a.confirmed_)
        w = renew_lease(std::move(w), {instant{duration{a.stamp_}}, a.age_});
    auto const known = s.control_.alternates_.find(from);
    if (known == s.control_.alternates_.end())
        return w;
    alternate_control_host& other = known->second;
    other.request_interval_ = duration{0};
    other.next_request_at_ =
        w.at_.now_ + next_request_interval(s.settings_, duration{0});
    if (a.confirmed_ && is_recent(s.settings_, a.age_))
    {
        other.confirmed_at_ = w.at_.now_;
        leave_unresponsive_control_host(w);
    }
    return w;
}

void update_control_hosts(
    state& s, std::vector<located_host> named, instant now)
{
    control_link& link = s.control_;
    if (!s.settings_.discovers_control_hosts_ || named.empty())
        return;
    location const& here = s.settings_.location_;
    // Rotates by the incarnation, so that daemons differ in their order of the
    // hosts at equal distance.
    std::rotate(
        named.begin(),
        named.begin() + static_cast<long>(s.incarnation_ % named.size()),
        named.end());
    std::stable_sort(
        named.begin(), named.end(),
        [&](located_host const& left, located_host const& right) {
            return distance(here, left.location_) <
                   distance(here, right.location_);
        });
    host_name const current = link.hosts_.at(link.current_);
    link.hosts_.clear();
    for (located_host const& h : named)
        link.hosts_.push_back(h.host_);
    link.preferred_ = static_cast<std::size_t>(std::count_if(
        named.begin(), named.end(),
        [&](located_host const& h)
        {
            return distance(here, h.location_) ==
                   distance(here, named.front().location_);
        }));
    for (host_name const& seed : s.settings_.control_hosts_)
    {
        if (std::find(link.hosts_.begin(), link.hosts_.end(), seed) ==
            link.hosts_.end())
            link.hosts_.push_back(seed);
    }
    std::erase_if(
        link.alternates_,
        [&](auto const& known)
        {
            return std::find(
                       link.hosts_.begin(), link.hosts_.end(), known.first) ==
                   link.hosts_.end();
        });
    auto const at = std::find(link.hosts_.begin(), link.hosts_.end(), current);
    if (at == link.hosts_.end())
        return switch_control_host(link, 0, now);
    link.current_ = static_cast<std::size_t>(at - link.hosts_.begin());
    bool const switches_back =
        link.current_ >= link.preferred_ &&
        now - link.switched_at_ >= control_failback_delay;
    if (switches_back)
        switch_control_host(link, 0, now);
}

} // namespace jackdawhall::calls
