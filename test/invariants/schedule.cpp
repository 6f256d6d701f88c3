#include "schedule.hpp"

#include <algorithm>
#include <iterator>

#include "scenario.hpp"

namespace jackdawhall::test
{

namespace
{

constexpr std::size_t hosts = 6;
constexpr double rate = 40;
constexpr std::int64_t burst = 30;
constexpr double clock_error = 0.004;
constexpr double rate_drift = 0.01;
constexpr duration in_force_within = std::chrono::seconds(5);

account_name const acme = name_literal<account_name>("acme");

std::size_t control_hosts_of(profile load)
{
    return load == profile::changes ? 5 : 3;
}

fleet_options options_for(profile load, std::uint64_t seed)
{
    fleet_options o;
    o.seed_ = seed;
    o.hosts_ = hosts;
    o.control_hosts_ = control_hosts_of(load);
    o.clock_error_ = clock_error;
    if (load == profile::changes)
        o.sync_time_ = std::chrono::milliseconds(20);
    return o;
}

bool all_vote(memory_fleet const& fleet, std::size_t control_hosts)
{
    for (std::size_t i = 0; i < control_hosts; ++i)
    {
        if (!fleet.is_up(i))
            return false;
        control::consensus_state const& c = fleet.control_of(i).consensus_;
        std::vector<voter> const& voters = c.log_.voters();
        bool const votes =
            std::find(voters.begin(), voters.end(), c.self_) != voters.end();
        if (!votes || voters.size() != control_hosts ||
            c.commit_ < c.log_.voters_index())
            return false;
    }
    return true;
}

// One schedule in progress.
class schedule
{
public:
    schedule(profile load, std::uint64_t seed, std::vector<fault> const& faults)
        : load_(load), control_hosts_(control_hosts_of(load)),
          fleet_(options_for(load, seed)), random_(seed * 7919 + 1)
    {
        set_up();
        began_ = fleet_.now();
        for (fault const& f : faults)
            plan(f);
    }

    findings run()
    {
        while (fleet_.now() < began_ + load_length)
        {
            act();
            fleet_.run_for(duration{
                static_cast<std::int64_t>(1000 + random_.below(40000))});
        }
        heal();
        fleet_.run_for(std::chrono::seconds(15));
        findings wrong = check();
        check_alive(wrong);
        return wrong;
    }

private:
    void set_up()
    {
        wait_until_ready(fleet_, hosts);
        make_change(
            fleet_,
            {put_account("acme", rate, burst), put_key("acme", "first"),
             put_account("other", 1000, 1000), put_key("other", "first"),
             put_route("plans", repeatable_route("/plans", "plans")),
             put_route("pay", payment_route("/payments", "payments"))});
        for (std::size_t i = 0; i < hosts; ++i)
        {
            backend_options b;
            b.id_ = name_of_backend(i);
            b.service_ =
                name_literal<service_name>(i % 2 == 1 ? "payments" : "plans");
            fleet_.add_backend(i, b);
        }
        fleet_.run_for(std::chrono::seconds(3));
    }

    static std::string name_of_backend(std::size_t i)
    {
        return "server-" + std::to_string(i);
    }

    // --- Faults

    void plan(fault const& f)
    {
        fleet_.at(began_ + f.begins_, [this, f] { begin(f); });
    }

    void end_later(fault const& f, std::function<void()> end)
    {
        fleet_.at(fleet_.now() + f.lasts_, std::move(end));
    }

    void kill_for_a_while(fault const& f, std::size_t i, bool lose_disk)
    {
        // With two of three disks lost nothing could be kept; that is a
        // disaster and not a fault that the fleet is built for.
        bool const may_lose =
            lose_disk && i < control_hosts_ && all_vote(fleet_, control_hosts_);
        fleet_.kill(i);
        if (may_lose)
            fleet_.lose_disk(i);
        end_later(f, [this, i] { fleet_.start(i); });
    }

    void freeze_for_a_while(fault const& f, std::size_t i)
    {
        fleet_.freeze(i);
        end_later(f, [this, i] { fleet_.thaw(i); });
    }

    void cut_for_a_while(fault const& f, std::size_t from, std::size_t to)
    {
        fleet_.cut(from, to);
        end_later(f, [this, from, to] { fleet_.heal(from, to); });
    }

    void isolate_for_a_while(fault const& f, std::size_t i)
    {
        for (std::size_t k = 0; k < hosts; ++k)
        {
            if (k == i)
                continue;
            cut_for_a_while(f, i, k);
            cut_for_a_while(f, k, i);
        }
    }

    void begin(fault const& f)
    {
        std::size_t const target = fleet_.leader().value_or(f.host_);
        switch (f.kind_)
        {
        case fault_kind::kill:
            return kill_for_a_while(f, f.host_, false);
        case fault_kind::kill_and_lose_disk:
            return kill_for_a_while(f, f.host_ % control_hosts_, true);
        case fault_kind::freeze:
            return freeze_for_a_while(f, f.host_);
        case fault_kind::isolate:
            return isolate_for_a_while(f, f.host_);
        case fault_kind::cut_one_way:
            return cut_for_a_while(f, f.host_, f.other_);
        case fault_kind::cut_both_ways:
            cut_for_a_while(f, f.host_, f.other_);
            return cut_for_a_while(f, f.other_, f.host_);
        case fault_kind::kill_leader:
            return kill_for_a_while(f, target, false);
        case fault_kind::freeze_leader:
            return freeze_for_a_while(f, target);
        case fault_kind::isolate_leader:
            return isolate_for_a_while(f, target);
        case fault_kind::crash_backend:
            crash_for_a_while(f);
        }
    }

    void crash_for_a_while(fault const& f)
    {
        std::string const old = backend_names_[f.host_];
        if (!fleet_.backend_up(old))
            return;
        fleet_.crash_backend(old);
        std::size_t const i = f.host_;
        end_later(
            f,
            [this, old, i]
            {
                std::string const fresh = old + "b";
                fleet_.restart_backend(old, fresh);
                backend_names_[i] = fresh;
            });
    }

    void heal()
    {
        fleet_.heal_all();
        for (std::size_t i = 0; i < hosts; ++i)
        {
            fleet_.thaw(i);
            fleet_.start(i);
        }
    }

    // --- Load

    std::size_t any_host()
    {
        return static_cast<std::size_t>(random_.below(hosts));
    }

    void send(request r)
    {
        std::size_t const i = any_host();
        if (fleet_.is_up(i))
            fleet_.send_request(i, std::move(r));
    }

    void act()
    {
        if (load_ == profile::changes)
            return change_record();
        std::string const body = "b" + std::to_string(++bodies_);
        std::uint64_t const choice = random_.below(100);
        if (choice < 45)
            send(request_with_key("GET", "/plans", "acme", body));
        else if (choice < 55)
            send(request_with_key("GET", "/plans/other", "other", body));
        else if (choice < 75)
            pay(body);
        else if (choice < 92)
            pay_again();
        else if (choice < 99)
            change_record();
        else
            withdraw();
    }

    void pay(std::string const& body)
    {
        request r = with_header(
            request_with_key("POST", "/payments", "acme", body),
            idempotency_header, new_idempotency_key(fleet_));
        payments_.push_back(r);
        send(std::move(r));
    }

    void pay_again()
    {
        if (payments_.empty())
            return;
        std::size_t const newest = payments_.size() - 1;
        std::size_t const back =
            random_.below(std::min<std::size_t>(payments_.size(), 8));
        send(payments_[newest - back]);
    }

    // Two operators at two hosts change one record, as they saw it.
    void change_record()
    {
        std::string const name = "a" + std::to_string(random_.below(4));
        revision& seen = seen_[name];
        for (std::size_t i = 0; i < 2; ++i)
        {
            std::size_t const at = random_.below(control_hosts_);
            if (!fleet_.is_up(at))
                continue;
            // Now and then an operator resends an earlier change, as it was.
            std::string const operation =
                name + "-op" +
                std::to_string(operations_ / (1 + random_.below(2)));
            ++operations_;
            change const fresh{
                operation,
                "operator",
                {put_account(name, static_cast<double>(operations_), 1, seen)}};
            change const& sent =
                submitted_.try_emplace(operation, fresh).first->second;
            changes_.push_back(fleet_.submit(at, sent));
        }
        for (std::uint64_t const number : changes_)
        {
            change_event const& c =
                fleet_.recorded_history().changes_.at(number);
            if (!c.outcome_ || c.change_.edits_[0].key_.name_ != name)
                continue;
            if (accepted const* a = std::get_if<accepted>(&*c.outcome_))
                seen = std::max(seen, a->revision_);
            if (conflict const* k = std::get_if<conflict>(&*c.outcome_))
                seen = std::max(seen, k->actual_);
        }
    }

    // The key of "other" is withdrawn once; until its outcome is known the
    // operator sends the change again.
    void withdraw()
    {
        std::size_t const at = random_.below(control_hosts_);
        if (fleet_.is_up(at))
            withdrawals_.push_back(fleet_.submit(
                at, {"withdraw",
                     "operator",
                     {put_key("other", "first", 1, true)}}));
    }

    // --- Checks

    findings check()
    {
        history const& h = fleet_.recorded_history();
        findings wrong;
        auto const add = [&](findings more)
        { std::move(more.begin(), more.end(), std::back_inserter(wrong)); };
        add(check_at_most_once(h, "/payments"));
        add(check_not_run(h));
        add(check_rate(h, acme, rate, burst, rate_drift));
        add(check_answers(h));
        add(check_forwards(h, 1 + 3));
        add(check_no_reversion(h));
        add(check_changes(h));
        for (std::uint64_t const number : withdrawals_)
        {
            change_event const& c = h.changes_.at(number);
            if (c.outcome_ && std::holds_alternative<accepted>(*c.outcome_))
                add(check_no_runs_after(
                    h, "/plans/other", *c.answered_at_ + in_force_within));
        }
        return wrong;
    }

    // After all faults have ended the fleet must serve again.
    void check_alive(findings& wrong)
    {
        if (!all_vote(fleet_, control_hosts_))
            wrong.push_back("not every control host votes again");
        std::uint64_t const n = fleet_.send_request(
            any_host(), request_with_key("GET", "/plans", "acme", "after"));
        fleet_.run_for(std::chrono::seconds(3));
        std::optional<verdict> const v = fleet_.verdict_of(n);
        if (!v || !std::holds_alternative<ran>(*v))
            wrong.push_back("a request after the faults did not run");
    }

    profile load_;
    std::size_t control_hosts_;
    memory_fleet fleet_;
    random_source random_;
    duration began_{0};
    int bodies_ = 0;
    int operations_ = 0;
    std::vector<request> payments_;
    std::map<std::string, revision> seen_;
    std::vector<std::uint64_t> changes_;
    std::map<std::string, change> submitted_; // by operation id
    std::vector<std::uint64_t> withdrawals_;
    std::vector<std::string> backend_names_{
        name_of_backend(0), name_of_backend(1), name_of_backend(2),
        name_of_backend(3), name_of_backend(4), name_of_backend(5)};
};

} // namespace

std::string to_text(fault const& f)
{
    static constexpr char const* names[] = {
        "kill",           "kill_and_lose_disk", "freeze",      "isolate",
        "cut_one_way",    "cut_both_ways",      "kill_leader", "freeze_leader",
        "isolate_leader", "crash_backend"};
    return std::string(names[static_cast<std::size_t>(f.kind_)]) + " host " +
           std::to_string(f.host_) + " (" + std::to_string(f.other_) + ") at " +
           std::to_string(f.begins_.count() / 1000) + " ms for " +
           std::to_string(f.lasts_.count() / 1000) + " ms";
}

findings
run_schedule(profile load, std::uint64_t seed, std::vector<fault> const& faults)
{
    schedule s(load, seed, faults);
    return s.run();
}

} // namespace jackdawhall::test
