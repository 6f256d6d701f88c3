// The system starts for the first time: all machines within 0.3 s. The process
// of one core machine is killed while it starts, and is started again a second
// later, then with "bootstrap" false.
#include "harness.hpp"

using namespace stand_in;

namespace
{

constexpr std::int64_t last_start_ms = 280;
constexpr std::int64_t killed_ms = 250;
constexpr std::int64_t back_after_ms = 1000;
constexpr std::int64_t traffic_starts_ms = 8000; // after the machines
constexpr std::int64_t wait_ms = 50000;
constexpr std::int64_t read_back_ms = 4000; // longer than `contact`

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2)
        return could_not_run;
    record::get().open(argv[1]);
    bool const trouble = is_troubled();
    char const* const text = std::getenv("KILLED");
    int const killed = text ? std::atoi(text) : 1;
    deployment fleet(5, {"work", "work"});
    std::string const victim = deployment::core_ip(killed);
    std::int64_t const began = now_ms();
    for (int n : {1, 2, 4, 5})
        fleet.start(deployment::core_ip(n));
    for (int n : {1, 2})
        fleet.start(deployment::side_ip(n));
    note("all machines but core 3 have started");
    sleep_ms(began + killed_ms - now_ms());
    if (trouble)
    {
        fleet.send(victim, SIGKILL);
        fleet.await_end(victim);
        note("the process of core " + std::to_string(killed) + " is killed");
    }
    sleep_ms(began + last_start_ms - now_ms());
    fleet.start(deployment::core_ip(3));
    note("core 3 has started");
    if (trouble)
    {
        sleep_ms(began + killed_ms + back_after_ms - now_ms());
        fleet.start(victim);
        note("the process of core " + std::to_string(killed) + " is back");
    }

    std::atomic<int> runs{0};
    auto const run = [&](app_server&, begun const& b)
    {
        ++runs;
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
        1, 0, service_json("work"),
        route_json("/w/", "idempotent", "work", 5000));
    bool acked = false;
    std::thread operators(
        [&]
        {
            acked = fleet.configure(config, wait_ms);
            note(acked ? "configuration acknowledged" : "no acknowledgement");
        });
    sleep_ms(began + traffic_starts_ms - now_ms());
    note("clients begin");
    std::map<int, int> answers;
    while (now_ms() < began + wait_ms + 2000 && answers[200] < 20)
    {
        request r;
        r.path_ = "/w/" + std::to_string(now_ms());
        r.id_ = new_id();
        int const status = ask(fleet.callers(deployment::side_ip(1)), r, 2000);
        ++answers[status];
        sleep_ms(200);
    }
    operators.join();
    int reads = 0;
    int texts = 0;
    std::int64_t const read_until = now_ms() + read_back_ms;
    for (int n = 0; now_ms() < read_until; ++n)
    {
        int const core = n % 5 + 1;
        int const status = exchange(
                               fleet.orders(deployment::core_ip(core)),
                               call_text("config.get", ""), 1000)
                               .status();
        note(
            "read back at core " + std::to_string(core) + ": " +
            std::to_string(status));
        ++reads;
        texts += status == 200 ? 1 : 0;
        sleep_ms(200);
    }
    bool all_run = true;
    for (int n = 1; n <= 5; ++n)
        all_run = all_run && fleet.runs(deployment::core_ip(n));
    for (std::unique_ptr<app_server> const& server : servers)
        server->end();
    for (auto const& [status, count] : answers)
        note(
            "answers " + std::to_string(status) + ": " + std::to_string(count));
    note(
        std::string("acknowledged: ") + (acked ? "yes" : "no") +
        "; all core processes run: " + (all_run ? "yes" : "no") +
        "; requests served: " + std::to_string(answers[200]) + "; read back: " +
        std::to_string(texts) + " of " + std::to_string(reads));
    if (!all_run)
        return could_not_run;
    return !acked && answers[200] == 0 && texts == 0 ? broken : held;
}
