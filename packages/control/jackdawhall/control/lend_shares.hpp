// Lends parts of this host's shares of shared rates to its daemons, which spend
// them while no control host answers.
//
// Each part has one owner at every moment. A daemon spends what it was lent
// from its contact timeout after the host's last answer reached it, and until
// local_share_lifetime after it sent the renewal that was answered. The host
// gives the part up, by its own clock, its contact timeout after it received
// the last renewal whose answer the daemon has confirmed, and takes it back
// local_share_lifetime after it last heard from the daemon. So neither needs to
// know how long the messages were on their way.
//
// A host that has just started does not know what was lent before. Until all of
// that has ended, it grants the parts that daemons show it, and for each daemon
// that has started again, and so holds nothing any more, an even part of the
// accounts that it has callers of. If all daemons that it hears have started
// again, it grants its whole share.
#pragma once

#include <map>
#include <vector>

#include <jackdawhall/control/effect.hpp>
#include <jackdawhall/model.hpp>

namespace jackdawhall::control
{

// Parts of accounts' rates, in units of whole_rate.
using share_parts = std::map<account_name, std::int64_t>;

// A daemon that this host may have lent shares to.
struct borrower
{
    std::uint64_t incarnation_ = 0;
    duration contact_timeout_{0};
    std::int64_t last_stamp_ = 0; // of its last renewal
    instant heard_;               // when that arrived
    // When the last renewal arrived whose answer the daemon confirmed.
    instant contact_;
    bool in_contact_ = true;
    bool confirmed_ = false; // an answer, so that it spends nothing meanwhile
    bool started_again_ = false; // since it knew the size of the fleet
    share_parts lent_;           // in the last answer
    share_parts reserved_;       // the most that the daemon may hold
    share_parts shown_;          // lent to it before this host started
    // Accounts that it has callers of, if it started again; each counts 1.
    share_parts started_;
    auto operator<=>(borrower const&) const = default;
};

struct share_ledger
{
    instant started_at_; // start of this host's run
    std::map<host_name, borrower> borrowers_;
    share_parts reserved_;        // sum over the borrowers
    share_parts withheld_;        // sum over those out of contact
    share_parts shown_;           // sum over those that confirmed an answer
    share_parts started_;         // sum over those that confirmed an answer
    std::int64_t fleet_size_ = 0; // as daemons knew it; 0: none did
    instant next_check_; // when a borrower's contact or reservation may end
    auto operator<=>(share_ledger const&) const = default;
};

struct ledger_step
{
    share_ledger state_;
    effects effects_;
};

// Whether shares that were lent before this host started may still be spent.
bool is_settling(share_ledger const& l, instant now);

// Whether what was lent to the daemon is withheld from the buckets.
bool is_withheld(share_ledger const& l, host_name const& daemon);

// Notes a daemon's renewal.
ledger_step
note_renewal(share_ledger state, renewal_request const& r, instant now);

// Takes back at once what daemons hold no more, since another host serves them.
// To be called after the buckets are refilled, because these grow.
share_ledger
take_back_from(share_ledger state, std::vector<served_daemon> const& elsewhere);

// Gives up what was lent to daemons whose contact has ended. To be called
// before the buckets are refilled, because these shrink.
ledger_step withhold_silent(share_ledger state, instant now);

// Takes back what daemons may no longer spend. To be called after the buckets
// are refilled, because these grow.
share_ledger take_back_ended(share_ledger state, instant now);

// The part of a rate that this host may grant, given its share.
std::int64_t grantable_part(
    share_ledger const& l, account_name const& account, std::int64_t share,
    instant now);

// What a daemon would be lent of an account: the part of this host's share that
// answers to the daemon's demand.
struct lending_terms
{
    account_name account_;
    std::int64_t share_ = 0;  // of this host, in units of whole_rate
    std::int64_t demand_ = 0; // of the daemon
    std::int64_t total_ = 0;  // of all daemons attached to this host
    auto operator<=>(lending_terms const&) const = default;
};

struct lent_step
{
    share_ledger state_;
    std::vector<local_share> lent_;
};

// Lends to a daemon whose renewal was noted. All that is lent never exceeds
// this host's share. A host that is settling lends what the daemon shows; a
// renewal that came late is lent nothing.
lent_step lend_shares(
    share_ledger state, renewal_request const& r,
    std::vector<lending_terms> const& terms, instant now);

} // namespace jackdawhall::control
