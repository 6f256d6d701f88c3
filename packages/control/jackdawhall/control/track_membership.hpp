// Service discovery. A daemon announces the backend servers on its host with
// each renewal; its control host reports changes to the other control hosts;
// each daemon learns the servers of the services that it calls. This is soft
// state: all of it expires, and none of it is stored on disk.
#pragma once

#include <map>
#include <set>

#include <jackdawhall/control/allocate_grants.hpp>
#include <jackdawhall/control/effect.hpp>
#include <jackdawhall/model.hpp>

namespace jackdawhall::control
{

// The servers of a daemon that has been silent for longer than this are
// removed.
inline constexpr duration announcement_lifetime = std::chrono::seconds(4);
// The servers reported by a control host that has been silent for longer than
// this are removed; until then, routing continues with the last known set.
inline constexpr duration peer_server_lifetime = std::chrono::seconds(30);
inline constexpr duration report_interval = std::chrono::seconds(1);
// Fraction of each account's rate that is split evenly among the control hosts,
// so that a host can grant tokens before it has seen demand for the account.
inline constexpr double evenly_split_fraction = 0.2;

// Host and id of a backend server.
using server_key = std::pair<host_name, std::string>;

struct attached_daemon
{
    instant heard_; // time of its last renewal
    std::vector<backend_server> servers_;
    std::int64_t last_stamp_ = 0; // of its last renewal
    // Whether it confirmed an answer. Until then it may hear none and be
    // granted nothing, and its demand does not count.
    bool confirmed_ = false;
    bool reported_ = false; // to the other control hosts, as served here
    std::uint64_t incarnation_ = 0;
    std::int64_t confirmed_stamp_ = 0; // of the last renewal it confirmed
    // In thousandths of a request per second.
    std::map<account_name, std::int64_t> demand_;
    auto operator<=>(attached_daemon const&) const = default;
};

// Latest report of another control host.
struct peer_control_host
{
    std::uint64_t incarnation_ = 0;
    std::uint64_t version_ = 0; // the report's to_version_
    instant heard_;
    std::map<server_key, backend_server> servers_;
    location location_;
    std::int64_t daemons_ = 0;
    std::map<account_name, std::int64_t> demand_; // sum over its daemons
    // Demand at its earlier run, whose daemons may still hold what it lent.
    std::map<account_name, std::int64_t> earlier_demand_;
    instant earlier_until_;
    auto operator<=>(peer_control_host const&) const = default;
};

// Removed servers that are remembered for each service, so that daemons can be
// told of them.
inline constexpr std::size_t max_removed_servers = 256;

// Servers of one service, and for each server its description as reported by
// each control host.
struct service_members
{
    std::uint64_t version_ = 0; // membership::version_ at the last change
    std::map<server_key, std::map<host_name, backend_server>> servers_;
    // membership::version_ at the last change of each server, also of those
    // removed after forgotten_version_.
    std::map<server_key, std::uint64_t> changed_;
    std::uint64_t forgotten_version_ = 0;
    auto operator<=>(service_members const&) const = default;
};

struct membership
{
    host_name self_;
    location location_;
    std::vector<host_name> peer_hosts_; // the other control hosts
    std::uint64_t incarnation_ = 0;
    std::uint64_t version_ = 1; // incremented by each change of a service
    std::map<service_name, service_members> services_;
    std::map<host_name, attached_daemon> attached_daemons_;
    std::map<host_name, peer_control_host> peers_;
    std::uint64_t reported_version_ = 1; // to_version_ of the last report
    // Attached daemons' servers that changed since the last report.
    std::set<server_key> unreported_servers_;
    // Demand as last reported. All control hosts must compute shares from the
    // same figures, or the shares add up to more than 1 while demand grows.
    std::map<account_name, std::int64_t> reported_demand_;
    instant report_due_;
    instant started_at_; // start of this host's run
    auto operator<=>(membership const&) const = default;
};

struct membership_step
{
    membership state_;
    effects effects_;
};

// Applies the servers and the demand in a daemon's renewal.
membership
apply_announcement(membership state, renewal_request const& r, instant now);

// Services that the daemon calls and that changed since its membership version,
// each with the servers that changed. Every service that it calls, with all its
// servers, if its version is none of this run of the host.
//
// Load pattern: many daemons that renew while servers come and go one by one,
// as in a release or after the restart of a control host.
std::vector<service_servers>
changed_services(membership const& state, renewal_request const& r);

// Whether a control host knows that a majority of the voters is in contact with
// it, as it was lately.
enum class majority_contact
{
    recent,
    unknown
};

// This host's share of an account's rate: evenly_split_fraction is split evenly
// among the live control hosts, the rest in proportion to their daemons'
// demand; without any demand, all of it is split evenly. The shares of all
// control hosts add up to 1.
//
// A host that is out of contact takes over no share of hosts that are silent to
// it, and one that has just started has an even share until it has heard from
// the others: they may go on granting theirs.
host_share compute_host_share(
    membership const& state, account_name const& account,
    majority_contact contact, instant now);

// Number of daemons attached to the live control hosts, and for a host that is
// out of contact also to those it no longer hears; 0 for one that has just
// started, which does not know. Daemons divide budgets by it.
std::int64_t
count_daemons(membership const& state, majority_contact contact, instant now);

// This host and the other live control hosts.
std::vector<located_host>
live_control_hosts(membership const& state, instant now);

// Applies another control host's report, or requests a full report if this one
// does not follow the last report applied.
membership_step
apply_report(membership state, membership_report const& report, instant now);

// Responds to membership_request with a full report.
membership_step
send_full_report(membership state, membership_request const& request);

// When a report is due, or servers of attached daemons have changed, removes
// expired daemons and control hosts and sends a report to the other control
// hosts.
membership_step expire_and_report(membership state, instant now);

// All servers of a service, each once; this host's own description of a server
// takes precedence over those of other control hosts.
std::vector<backend_server>
servers_of(membership const& state, service_name const& service);

} // namespace jackdawhall::control
