#include <jackdawhall/control/lend_shares.hpp>

#include <algorithm>

namespace jackdawhall::control
{

namespace
{

std::int64_t part_of(share_parts const& parts, account_name const& account)
{
    auto const known = parts.find(account);
    return known == parts.end() ? 0 : known->second;
}

// Adds `parts` to a sum, `sign` times.
void add(share_parts& sum, share_parts const& parts, int sign)
{
    for (auto const& [account, part] : parts)
    {
        auto const known = sum.try_emplace(account, 0).first;
        known->second += sign * part;
        if (known->second == 0)
            sum.erase(known);
    }
}

// Counts a borrower in the ledger's sums, or with `sign` -1 no longer.
void count(share_ledger& l, borrower const& b, int sign)
{
    add(l.reserved_, b.reserved_, sign);
    if (b.confirmed_)
    {
        add(l.shown_, b.shown_, sign);
        add(l.started_, b.started_, sign);
    }
    if (!b.in_contact_)
        add(l.withheld_, b.reserved_, sign);
}

instant contact_ends(borrower const& b)
{
    return b.contact_ + b.contact_timeout_;
}

instant reservation_ends(borrower const& b)
{
    return b.heard_ + with_drift_margin(local_share_lifetime);
}

instant next_check(borrower const& b)
{
    return b.in_contact_ ? contact_ends(b) : reservation_ends(b);
}

instant next_check(share_ledger const& l)
{
    instant next = instant::max();
    for (auto const& known : l.borrowers_)
        next = std::min(next, next_check(known.second));
    return next;
}

share_parts to_parts(std::vector<local_share> const& shares)
{
    share_parts parts;
    for (local_share const& share : shares)
        parts[share.account_] =
            std::clamp<std::int64_t>(share.part_, 0, whole_rate);
    return parts;
}

std::vector<local_share> to_shares(share_parts const& parts)
{
    std::vector<local_share> shares;
    shares.reserve(parts.size());
    for (auto const& [account, part] : parts)
        shares.push_back({account, part});
    return shares;
}

share_parts larger_of(share_parts left, share_parts const& right)
{
    for (auto const& [account, part] : right)
    {
        std::int64_t& known = left[account];
        known = std::max(known, part);
    }
    return left;
}

// The parts of this host's share that answer to one daemon's demand, as far as
// they are not lent to others.
share_parts
parts_by_demand(share_ledger const& l, std::vector<lending_terms> const& terms)
{
    share_parts parts;
    for (lending_terms const& t : terms)
    {
        std::int64_t const total = std::max(t.total_, t.demand_);
        std::int64_t const wanted =
            total > 0 ? t.share_ * t.demand_ / total : 0;
        std::int64_t const free = t.share_ - part_of(l.reserved_, t.account_);
        if (std::min(wanted, free) > 0)
            parts[t.account_] = std::min(wanted, free);
    }
    return parts;
}

// What a host that has just started may grant: what is certain not to be held
// by daemons.
std::int64_t settling_part(
    share_ledger const& l, account_name const& account, std::int64_t share)
{
    if (l.fleet_size_ == 0)
        return share;
    std::int64_t const of_started =
        whole_rate * part_of(l.started_, account) / l.fleet_size_;
    return std::min(whole_rate, part_of(l.shown_, account) + of_started);
}

log_message contact_changed(host_name const& daemon, borrower const& b)
{
    return {
        b.in_contact_ ? "daemon in contact again; its rate shares are granted"
                      : "daemon out of contact; its rate shares are withheld",
        {{"daemon", daemon.str()},
         {"accounts", std::to_string(b.reserved_.size())}}};
}

} // namespace

bool is_settling(share_ledger const& l, instant now)
{
    return now < l.started_at_ + with_drift_margin(local_share_lifetime);
}

bool is_withheld(share_ledger const& l, host_name const& daemon)
{
    auto const known = l.borrowers_.find(daemon);
    return known != l.borrowers_.end() && !known->second.in_contact_;
}

ledger_step
note_renewal(share_ledger state, renewal_request const& r, instant now)
{
    ledger_step step{std::move(state), {}};
    share_ledger& l = step.state_;
    borrower& b = l.borrowers_[r.host_];
    bool const late =
        b.incarnation_ == r.incarnation_ && r.stamp_ <= b.last_stamp_;
    if (late)
        return step;
    count(l, b, -1);
    if (b.incarnation_ != r.incarnation_)
    {
        // Its earlier process has ended, and spends nothing any more.
        b = {};
        b.incarnation_ = r.incarnation_;
        b.contact_ = now;
        b.started_again_ = r.known_daemons_ == 0;
    }
    if (b.last_stamp_ != 0 && r.answered_stamp_ == b.last_stamp_)
    {
        b.contact_ = b.heard_;
        b.reserved_ = b.lent_;
        b.confirmed_ = true;
    }
    l.fleet_size_ = std::max(l.fleet_size_, r.known_daemons_);
    b.last_stamp_ = r.stamp_;
    b.heard_ = now;
    b.contact_timeout_ = r.contact_timeout_;
    if (is_settling(l, now) && !r.local_shares_.empty())
        b.shown_ = to_parts(r.local_shares_);
    if (is_settling(l, now) && b.started_again_)
    {
        for (account_demand const& d : r.demand_)
            b.started_[d.account_] = 1;
    }
    bool const regained = !b.in_contact_ && now < contact_ends(b);
    if (regained)
    {
        b.in_contact_ = true;
        step.effects_.push_back(contact_changed(r.host_, b));
    }
    count(l, b, 1);
    l.next_check_ = std::min(l.next_check_, next_check(b));
    return step;
}

share_ledger
take_back_from(share_ledger state, std::vector<served_daemon> const& elsewhere)
{
    for (served_daemon const& served : elsewhere)
    {
        auto const known = state.borrowers_.find(served.host_);
        bool const left = known != state.borrowers_.end() &&
                          known->second.incarnation_ == served.incarnation_ &&
                          known->second.last_stamp_ < served.stamp_;
        if (!left)
            continue;
        count(state, known->second, -1);
        state.borrowers_.erase(known);
    }
    return state;
}

ledger_step withhold_silent(share_ledger state, instant now)
{
    ledger_step step{std::move(state), {}};
    share_ledger& l = step.state_;
    if (now < l.next_check_)
        return step;
    for (auto& [host, b] : l.borrowers_)
    {
        if (!b.in_contact_ || now < contact_ends(b))
            continue;
        count(l, b, -1);
        b.in_contact_ = false;
        count(l, b, 1);
        step.effects_.push_back(contact_changed(host, b));
    }
    return step;
}

share_ledger take_back_ended(share_ledger state, instant now)
{
    if (now < state.next_check_)
        return state;
    std::erase_if(
        state.borrowers_,
        [&](auto const& known)
        {
            bool const ended = now >= reservation_ends(known.second);
            if (ended)
                count(state, known.second, -1);
            return ended;
        });
    state.next_check_ = next_check(state);
    return state;
}

std::int64_t grantable_part(
    share_ledger const& l, account_name const& account, std::int64_t share,
    instant now)
{
    std::int64_t const own =
        is_settling(l, now) ? settling_part(l, account, share) : share;
    return std::max<std::int64_t>(0, own - part_of(l.withheld_, account));
}

lent_step lend_shares(
    share_ledger state, renewal_request const& r,
    std::vector<lending_terms> const& terms, instant now)
{
    lent_step step{std::move(state), {}};
    share_ledger& l = step.state_;
    borrower& b = l.borrowers_.at(r.host_);
    // A daemon of an earlier build names no timeout.
    if (r.stamp_ != b.last_stamp_ || b.contact_timeout_ <= duration{0})
        return step;
    count(l, b, -1);
    if (is_settling(l, now))
    {
        b.lent_ = b.shown_;
    }
    else
    {
        b.shown_.clear();
        b.lent_ = parts_by_demand(l, terms);
    }
    b.reserved_ = larger_of(b.reserved_, b.lent_);
    count(l, b, 1);
    step.lent_ = to_shares(b.lent_);
    return step;
}

} // namespace jackdawhall::control
