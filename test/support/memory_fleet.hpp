// Deterministic in-memory simulation of several hosts in virtual time. The
// simulated network delays and drops messages and can be partitioned, disks
// lose unsynced stores in a crash, hosts freeze and crash, and backend servers
// are simulated. It is a front end that links only the control and calls
// packages; any other front end could do the same.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include <jackdawhall/calls.hpp>
#include <jackdawhall/control.hpp>

namespace jackdawhall::test
{

// --- History
// ------------------------------------------------------------------

// A run that a simulated backend server began.
struct run_event
{
    duration at_{0}; // virtual time, not a host's clock
    host_name host_;
    std::string server_;
    request request_;
    std::string root_;
};

// A verdict that a caller received.
struct verdict_event
{
    duration at_{0};
    std::uint64_t request_ = 0; // as numbered by send_request
    verdict verdict_;
};

struct sent_event
{
    duration at_{0};
    host_name host_;
    request request_;
};

struct change_event
{
    duration submitted_at_{0};
    std::optional<duration> answered_at_;
    change change_;
    std::optional<change_outcome> outcome_;
};

// The first forward of a call that entered with an account key: it spent a
// token.
struct token_event
{
    duration at_{0};
    account_name account_;
};

// The answer to a backend server that leaves.
struct departure_event
{
    duration at_{0};
    calls::departure_outcome outcome_ = calls::departure_outcome::unrecorded;
};

struct history
{
    std::vector<run_event> runs_;
    std::vector<verdict_event> verdicts_;
    std::map<std::uint64_t, sent_event> sent_;
    std::map<std::uint64_t, change_event> changes_;
    std::vector<token_event> tokens_;
    std::map<std::string, std::size_t> forwards_; // by root
    // By the number of the departure_awaited.
    std::map<std::uint64_t, departure_event> departures_;
    // Hosts whose configuration revision decreased.
    std::vector<std::string> reversions_;
};

// --- Fleet
// --------------------------------------------------------------------

struct fleet_options
{
    std::uint64_t seed_ = 1;
    std::size_t hosts_ = 5;
    std::size_t control_hosts_ = 3;
    // Number of control hosts named in the settings; 0: all of them.
    std::size_t control_seeds_ = 0;
    std::size_t durable_copies_ = 1; // minimum durable copies of a log entry
    duration min_delay_ = std::chrono::microseconds(300);
    duration max_delay_ = std::chrono::milliseconds(3);
    duration sync_time_ = std::chrono::milliseconds(2);
    double clock_error_ = 0; // host clock rates deviate by at most this
    std::uint32_t retries_ = 3;
    calls::shutdown_periods shutdown_periods_;
    rate_tolerance tolerance_; // of shared rates
    // Within which a change must be in force; the daemons' defaults if empty.
    std::optional<duration> in_force_;
};

struct backend_options
{
    std::string id_;
    service_name service_;
    std::uint32_t slots_ = 8;
    duration service_time_ = std::chrono::milliseconds(2);
    std::string calls_;  // path requested downstream; empty: none
    bool fails_ = false; // every run ends with a broken connection
    std::uint32_t failures_per_thousand_ = 0; // of runs, whose answers are lost
    bool announces_ = true;
};

class memory_fleet
{
public:
    explicit memory_fleet(fleet_options o);

    // --- Time
    duration now() const { return now_; }
    void run_for(duration d);
    // Runs until `done` returns true or `timeout` has elapsed; returns the last
    // result of `done`.
    bool run_until(std::function<bool()> const& done, duration timeout);
    void at(duration when, std::function<void()> f);

    // --- Hosts
    host_name host(std::size_t i) const;
    void kill(std::size_t i);
    void start(std::size_t i);
    void freeze(std::size_t i);
    void thaw(std::size_t i);
    void lose_disk(std::size_t i); // the host must be down
    // A full disk takes no store. The host's control node ends at the first one
    // and begins again from the disk a second later, as a daemon's does.
    void fill_disk(std::size_t i);
    void free_disk(std::size_t i);
    bool is_up(std::size_t i) const { return hosts_.at(i).up_; }
    bool is_frozen(std::size_t i) const { return hosts_.at(i).frozen_; }
    instant clock(std::size_t i) const { return clock_of(hosts_.at(i)).now_; }
    void request_stop(std::size_t i);
    bool stopped(std::size_t i) const { return hosts_.at(i).stopped_; }
    calls::state const& calls_of(std::size_t i) const;
    control::state const& control_of(std::size_t i) const;
    // Whether a control node runs; none does for a second after a disk failed.
    bool has_control(std::size_t i) const;
    std::optional<std::size_t> leader() const;

    // --- Network: a cut link drops messages without notice to the sender
    void cut(std::size_t from, std::size_t to);
    void heal(std::size_t from, std::size_t to);
    void isolate(std::size_t i);
    void heal_all();
    // A link with `peer` ends, as host `at` sees it. Others go on.
    void end_link(std::size_t at, std::size_t peer);

    // --- Backend servers
    void add_backend(std::size_t host, backend_options b);
    void crash_backend(std::string const& id);
    void restart_backend(std::string const& id, std::string const& new_id);
    void set_backend_state(std::string const& id, server_state state);
    backend_options& backend(std::string const& id);
    bool backend_up(std::string const& id) const;
    // What a server says of itself beside its usual announcements.
    void announce(std::size_t host, calls::announcement a);
    void deregister(std::size_t host, calls::server_deregistered gone);
    // Lets the server wait for the acknowledgement of its departure. Returns
    // the key of the answer in the history's departures_.
    std::uint64_t await_departure(std::size_t host, std::string const& id);

    // --- Callers and operators
    std::uint64_t send_request(std::size_t host, request r);
    void disconnect_caller(std::uint64_t request);
    // Both return the index into the history's changes_.
    std::uint64_t submit(std::size_t host, change c);
    std::uint64_t submit(std::size_t host, document d);
    std::optional<verdict> verdict_of(std::uint64_t request) const;

    history const& recorded_history() const { return history_; }
    random_source& random() { return random_; }

private:
    struct store
    {
        control::store_number number_;
        control::effect effect_;
    };
    struct deferred_effect
    {
        control::store_number after_;
        control::effect effect_;
    };
    using node_input = std::variant<calls::input, control::input>;
    struct sim_host
    {
        host_name name_;
        location location_;
        bool up_ = false;
        bool frozen_ = false;
        bool stopped_ = false;
        std::uint64_t generation_ = 0; // incremented by each kill
        double clock_rate_ = 1;
        duration clock_offset_{0};
        std::optional<calls::state> calls_;
        std::optional<control::state> control_;
        std::optional<control::recovered_state> disk_;
        std::vector<store> unsynced_;
        std::deque<deferred_effect> deferred_effects_;
        control::store_number last_store_ = 0;
        control::store_number synced_ = 0;
        bool syncing_ = false;
        bool disk_full_ = false;
        std::uint64_t disk_runs_ = 0; // of the control node, in this process
        std::deque<node_input> deferred_inputs_;
        duration timer_due_{-1};
        revision newest_revision_ = 0;
        // Changes submitted to this process, which numbers them from 1.
        std::vector<std::uint64_t> changes_;
    };
    struct sim_backend
    {
        backend_options options_;
        std::size_t host_ = 0;
        bool up_ = true;
        server_state state_ = server_state::ready;
        std::uint64_t generation_ = 0;
        std::map<calls::call_number, request> running_;
        endpoint address_;
    };
    struct event
    {
        duration at_;
        std::uint64_t order_;
        std::function<void()> action_;
        bool operator>(event const& other) const
        {
            return std::pair(at_, order_) > std::pair(other.at_, other.order_);
        }
    };

    bool is_control(std::size_t i) const { return i < options_.control_hosts_; }
    std::size_t index_of(host_name const& name) const;
    clock_reading clock_of(sim_host const& h) const;
    duration to_virtual_time(sim_host const& h, instant at) const;

    void deliver(std::size_t i, node_input in);
    void step(std::size_t i, node_input in);
    void schedule_timer(std::size_t i);
    void carry_out(std::size_t i, calls::effect e);
    void carry_out(std::size_t i, control::effect e);
    void perform(std::size_t i, control::effect e);
    std::size_t named_control_hosts() const;
    control::consensus_settings consensus_settings(std::size_t i) const;
    void start_control(std::size_t i);
    void fail_disk(std::size_t i);
    void answer_without_control(std::size_t i, control::input const& in);
    void start_sync(std::size_t i);
    void finish_sync(std::size_t i, control::store_number number);
    void transmit(std::size_t from, outgoing out);
    void record_forward(forward_request const& f, std::size_t from);
    void start_run(std::size_t i, calls::run_on_backend const& r);
    void finish_run(
        std::size_t i, std::string const& server, calls::call_number run,
        calls::backend_outcome outcome);
    void announce(std::string const& id);
    std::uint64_t number_change(std::size_t host, std::uint64_t submitted);
    void
    give_change(std::size_t host, std::uint64_t submitted, control::input in);
    void record_reversion(std::size_t i);

    fleet_options options_;
    random_source random_;
    duration now_{std::chrono::seconds(1)};
    std::uint64_t next_order_ = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::vector<sim_host> hosts_;
    std::set<std::pair<std::size_t, std::size_t>> cut_links_;
    std::map<std::pair<std::size_t, std::size_t>, duration> last_delivery_;
    std::map<std::string, sim_backend> backends_;
    std::uint64_t last_request_ = 0;
    std::uint64_t last_departure_ = 0;
    std::map<std::uint64_t, std::size_t> request_host_;
    std::map<std::uint64_t, std::function<void(verdict const&)>>
        nested_handlers_;
    std::uint64_t last_change_ = 0;
    history history_;
};

// Applies a store effect to the contents of a disk; other effects are ignored.
// Stores must be applied in the order of their numbers.
void apply_store(control::recovered_state& disk, control::effect const& e);

} // namespace jackdawhall::test
