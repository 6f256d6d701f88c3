// A core machine freezes just before the operator sends the first
// configuration to it. The operator moves on to another one, by which time
// clients have begun to send requests.
#include "harness.hpp"

using namespace stand_in;

namespace
{

// After the machines, as on the users' sheets.
constexpr std::int64_t traffic_starts_ms = 8000;
constexpr std::int64_t operator_starts_ms = 7500;
constexpr std::int64_t frozen_ms = 4000;
constexpr std::int64_t operator_waits_ms = 1000;
constexpr std::int64_t operator_backoff_ms = 1000;
constexpr int allowed = 10;

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2)
        return could_not_run;
    record::get().open(argv[1]);
    bool const trouble = is_troubled();
    deployment fleet(5, {"work", "work", "front"});
    std::int64_t const began = now_ms();
    fleet.start_all();
    auto const run = [&](app_server&, begun const& b)
    {
        note("run " + b.id_ + " at " + b.server_);
        return true;
    };
    std::vector<std::unique_ptr<app_server>> servers;
    for (int n : {1, 2})
    {
        std::string const ip = deployment::side_ip(n);
        servers.push_back(std::make_unique<app_server>(app_server::options{
            "i-" + std::to_string(n), "work", fleet.server(ip),
            fleet.orders(ip), 16, 1500, 20, run}));
        if (!servers.back()->start())
            return could_not_run;
    }
    std::string const config = configuration(
        1, 0, service_json("work") + "," + service_json("front"),
        route_json("/w/", "idempotent", "work", 5000));
    std::atomic<bool> acked{false};
    std::thread operators(
        [&]
        {
            sleep_ms(began + operator_starts_ms - now_ms());
            for (int n = 0; n < 10 && !acked; ++n)
            {
                int const core = n % 5 + 1;
                int const status =
                    exchange(
                        fleet.orders(deployment::core_ip(core)),
                        call_text("config.put", config), operator_waits_ms)
                        .status();
                note(
                    "the operator asks core " + std::to_string(core) + ": " +
                    std::to_string(status));
                acked = status == 200;
                if (!acked)
                    sleep_ms(operator_backoff_ms << n);
            }
        });
    sleep_ms(began + operator_starts_ms - 200 - now_ms());
    bool const ready = fleet.all_ready();
    note(std::string("all daemons are ready: ") + (ready ? "yes" : "no"));
    if (trouble)
    {
        fleet.send(deployment::core_ip(1), SIGSTOP);
        note("core 1 freezes");
    }
    std::thread thaws(
        [&]
        {
            sleep_ms(frozen_ms);
            if (!trouble)
                return;
            fleet.send(deployment::core_ip(1), SIGCONT);
            note("core 1 wakes");
        });
    sleep_ms(began + traffic_starts_ms - now_ms());
    std::mutex mutex;
    std::map<int, int> answers;
    std::vector<std::thread> clients;
    for (int n = 0; n < 3; ++n)
        clients.emplace_back(
            [&]
            {
                while (now_ms() < began + traffic_starts_ms + 8000)
                {
                    request r;
                    r.path_ = "/w/" + std::to_string(now_ms());
                    r.id_ = new_id();
                    int const status =
                        ask(fleet.callers(deployment::side_ip(3)), r, 5000);
                    {
                        std::lock_guard const lock(mutex);
                        ++answers[status];
                    }
                    sleep_ms(50);
                }
            });
    for (std::thread& t : clients)
        t.join();
    operators.join();
    thaws.join();
    for (std::unique_ptr<app_server> const& server : servers)
        server->end();
    for (auto const& [status, count] : answers)
        note(
            "answers " + std::to_string(status) + ": " + std::to_string(count));
    if (!ready || !acked || answers[200] == 0)
        return could_not_run;
    return answers[404] > allowed ? broken : held;
}
