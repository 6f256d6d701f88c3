// Soft state: which backend servers there are. A daemon announces the servers
// beside it with each renewal; its control host tells the other control hosts
// what changed; each daemon is told of the services that it calls. Everything
// here expires, and none of it is on disk.
#pragma once

#include <map>
#include <set>

#include <jackdawhall/control/allocate_grants.hpp>
#include <jackdawhall/control/effect.hpp>
#include <jackdawhall/model.hpp>

namespace jackdawhall::control
{

// Servers of a daemon that was silent for this long are dropped.
inline constexpr duration announcement_lifetime = std::chrono::seconds(4);
// Servers reported by a control host that was silent for this long are dropped;
// until then routing goes on with the last known set.
inline constexpr duration origin_lifetime = std::chrono::seconds(30);
inline constexpr duration report_interval = std::chrono::seconds(1);
// A control host that was silent for longer is not named to daemons, and the
// demand that it reported counts no more.
inline constexpr duration origin_silence = std::chrono::seconds(4);
// Part of each account's rate that is shared out evenly among the control
// hosts, so that each can serve an account that it did not meet before.
inline constexpr double even_share = 0.2;

// Host and id of a backend server.
using server_key = std::pair<host_name, std::string>;

struct attached_daemon
{
    instant heard_;
    std::vector<backend_server> servers_;
    std::map<account_name, std::int64_t> demand_; // milli-requests a second
    auto operator<=>(attached_daemon const&) const = default;
};

// What another control host reported.
struct origin
{
    std::uint64_t incarnation_ = 0;
    std::uint64_t version_ = 0;
    instant heard_;
    std::map<server_key, backend_server> servers_;
    location location_;
    std::int64_t daemons_ = 0;
    std::map<account_name, std::int64_t> demand_; // of its daemons
    auto operator<=>(origin const&) const = default;
};

// Servers of one service, each as the control host says that heard of it last.
struct service_members
{
    std::uint64_t version_ = 0; // membership::version_ of the last change
    std::map<server_key, std::map<host_name, backend_server>> servers_;
    auto operator<=>(service_members const&) const = default;
};

struct membership
{
    host_name self_;
    location location_;
    std::vector<host_name> others_; // the other control hosts
    std::uint64_t incarnation_ = 0;
    std::uint64_t version_ = 1; // raised by each change of any service
    std::map<service_name, service_members> services_;
    std::map<host_name, attached_daemon> attached_;
    std::map<host_name, origin> origins_;
    // Changes of the attached daemons' servers since the last report.
    std::uint64_t reported_ = 1;
    std::set<server_key> changed_;
    // Demand as last reported: every host must count with the same figures,
    // or their parts add up to more than the whole while the demand grows.
    std::map<account_name, std::int64_t> reported_demand_;
    instant report_due_;
    auto operator<=>(membership const&) const = default;
};

struct membership_step
{
    membership state_;
    effects effects_;
};

// Takes the servers in a daemon's renewal.
membership
take_announcement(membership state, renewal_request const& r, instant now);

// Servers of the wanted services that changed since the daemon's version.
std::vector<service_servers>
changed_services(membership const& state, renewal_request const& r);

// Takes another control host's report, or asks it for a whole one.
// This host's part of an account's rate, as its daemons' demand is of all
// daemons' demand; the shares of all control hosts add up to 1.
host_part
part_of_host(membership const& state, account_name const& account, instant now);

// Daemons heard of lately, by any control host.
std::int64_t count_daemons(membership const& state, instant now);

// This host and the other control hosts heard of lately.
std::vector<located_host>
live_control_hosts(membership const& state, instant now);

membership_step
take_report(membership state, membership_report const& report, instant now);

// Answers membership_request with a whole report.
membership_step
report_whole(membership state, membership_request const& wanted);

// Drops what expired, and reports to the other control hosts when due.
membership_step pass_time(membership state, instant now);

// All servers of a service, each once.
std::vector<backend_server>
servers_of(membership const& state, service_name const& service);

} // namespace jackdawhall::control
