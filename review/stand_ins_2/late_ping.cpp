// A daemon is restarted while the server beside it goes on. The server leaves:
// it deregisters, is acknowledged, and serves on. A ping of before that, which
// was on its way for some seconds, arrives afterwards.
#include "harness.hpp"

using namespace stand_in;

namespace
{

constexpr std::int64_t drain_ms = 2000;
constexpr std::int64_t contact_ms = 3000;
constexpr std::int64_t ping_late_ms = 2500;
constexpr std::int64_t serves_on_ms = 10000;

struct client_result
{
    std::string id_;
    int status_ = 0;
};

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2)
        return could_not_run;
    record::get().open(argv[1]);
    bool const trouble = is_troubled();
    std::string const leaving = deployment::side_ip(1);
    std::string const staying = deployment::side_ip(2);
    std::string const entry = deployment::side_ip(3);
    deployment fleet(5, {"work", "work", "other"});
    fleet.start_all();
    std::string const config = configuration(
        1, 0, service_json("work") + "," + service_json("other"),
        route_json("/w/", "non_idempotent", "work", 5000));
    if (!fleet.configure(config, 20000))
        return could_not_run;

    std::mutex mutex;
    std::vector<begun> runs;
    auto const run = [&](app_server&, begun const& b)
    {
        std::lock_guard const lock(mutex);
        runs.push_back(b);
        note("run " + b.id_ + " at " + b.server_);
        return true;
    };
    auto const make_server = [&](std::string const& id, std::string const& ip)
    {
        return std::make_unique<app_server>(app_server::options{
            id, "work", fleet.server(ip), fleet.orders(ip), 16, 1500, 300,
            run});
    };
    std::unique_ptr<app_server> const first = make_server("i-first", leaving);
    std::unique_ptr<app_server> const second = make_server("i-second", staying);
    if (!first->start() || !second->start())
        return could_not_run;
    bool const up = wait_until(
        20000,
        [&] {
            return fleet.all_ready() && first->is_known() && second->is_known();
        });
    if (!up)
        return could_not_run;

    std::atomic<bool> over{false};
    std::vector<client_result> results;
    std::vector<std::thread> clients;
    for (int n = 0; n < 10; ++n)
        clients.emplace_back(
            [&]
            {
                while (!over)
                {
                    request r;
                    r.method_ = "POST";
                    r.body_ = "amount=1";
                    r.path_ = "/w/" + std::to_string(now_ms());
                    r.id_ = new_id();
                    int const status = ask(fleet.callers(entry), r, 6000);
                    std::lock_guard const lock(mutex);
                    results.push_back({r.id_, status});
                    sleep_ms(50);
                }
            });
    sleep_ms(4000);
    std::size_t before = 0;
    {
        std::lock_guard const lock(mutex);
        for (begun const& b : runs)
            before += b.server_ == "i-first" ? 1 : 0;
    }
    first->stop_pings();
    std::int64_t restarted = 0;
    if (trouble)
    {
        note("the daemon beside i-first gets SIGTERM");
        fleet.send(leaving, SIGTERM);
        fleet.await_end(leaving);
        note("the daemon beside i-first has ended and starts again");
        fleet.start(leaving);
        restarted = now_ms();
        wait_until(
            5000,
            [&]
            {
                int const fd = connect_to(fleet.orders(leaving));
                if (fd >= 0)
                    close(fd);
                return fd >= 0;
            });
    }
    note("i-first sends a ping, which is late");
    std::string const late = first->next_ping("ready");
    std::int64_t const arrives = now_ms() + ping_late_ms;
    sleep_ms(200);
    int const acked =
        exchange(fleet.orders(leaving), first->deregistration(), 1000).status();
    std::int64_t const acked_at = now_ms();
    note("i-first deregisters: " + std::to_string(acked));
    sleep_ms(arrives - now_ms());
    int const taken = exchange(fleet.orders(leaving), late, 1000).status();
    note("the late ping arrives: " + std::to_string(taken));
    sleep_ms(acked_at + serves_on_ms - now_ms());
    first->end();
    sleep_ms(3000);
    over = true;
    for (std::thread& t : clients)
        t.join();

    std::lock_guard const lock(mutex);
    std::int64_t const from =
        std::max(acked_at + drain_ms, restarted + contact_ms);
    std::set<std::string> late_runs;
    for (begun const& b : runs)
    {
        if (b.server_ == "i-first" && b.at_ms_ > from)
            late_runs.insert(b.id_);
    }
    int served = 0;
    int lost = 0;
    for (client_result const& r : results)
    {
        served += r.status_ == 200 ? 1 : 0;
        lost += r.status_ != 200 && late_runs.contains(r.id_) ? 1 : 0;
    }
    note(
        "requests at i-first before: " + std::to_string(before) +
        "; served in all: " + std::to_string(served) +
        "; at i-first later than drain after the ack, at machines in touch: " +
        std::to_string(late_runs.size()) +
        "; of these broken off by its exit: " + std::to_string(lost));
    if (acked != 200 || before == 0 || served < 100)
        return could_not_run;
    return late_runs.empty() ? held : broken;
}
