// A request crashes each server that begins to run it, while the server writes
// its answer; another process of the server is back after some seconds, under a
// new id. The request comes again, with the same path, caller and body, at
// either of two machines.
#include "harness.hpp"

using namespace stand_in;

namespace
{

constexpr std::int64_t contact_ms = 3000;
constexpr std::int64_t back_after_ms = 2000;
constexpr std::int64_t comes_again_ms = 4500;
constexpr int times = 12;
constexpr int servers = 3;
constexpr std::size_t allowed_retries = 3;

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2)
        return could_not_run;
    record::get().open(argv[1]);
    bool const trouble = is_troubled();
    bool const before_answer = std::getenv("BEFORE_ANSWER") != nullptr;
    deployment fleet(5, {"ledger", "ledger", "ledger", "front", "front"});
    fleet.start_all();
    std::string const config = configuration(
        1, 0, service_json("ledger") + "," + service_json("front"),
        route_json("/l/", "idempotent", "ledger", 4000) + "," +
            route_json("/post/", "non_idempotent", "ledger", 4000));
    if (!fleet.configure(config, 20000))
        return could_not_run;

    std::mutex mutex;
    std::vector<std::int64_t> crashes;
    std::vector<begun> runs;
    auto const run = [&](app_server& server, begun const& b)
    {
        std::lock_guard const lock(mutex);
        runs.push_back(b);
        note("run " + b.id_ + " " + b.request_.path() + " at " + b.server_);
        if (!trouble || b.request_.path() != "/l/poison")
            return true;
        crashes.push_back(b.at_ms_);
        if (!before_answer)
        {
            send_all(
                b.connection_,
                "HTTP/1.1 200 OK\r\nX-Jackdawhall-Attempt-Id: " + b.id_ +
                    "\r\nX-Jackdawhall-Server-Stamp: " + b.server_ + "." +
                    b.id_ + "\r\nContent-Length: 5000\r\n\r\nthe beginning");
            sleep_ms(5);
        }
        server.crash();
        return false;
    };
    std::vector<std::unique_ptr<app_server>> all(servers);
    std::vector<int> lives(servers, 0);
    auto const start_server = [&](std::size_t n)
    {
        std::string const ip = deployment::side_ip(static_cast<int>(n) + 1);
        std::string const id =
            "i-" + std::to_string(n + 1) + "-" + std::to_string(++lives[n]);
        all[n] = std::make_unique<app_server>(app_server::options{
            id, "ledger", fleet.server(ip), fleet.orders(ip), 16, 1500, 300,
            run});
        return all[n]->start();
    };
    for (std::size_t n = 0; n < all.size(); ++n)
    {
        if (!start_server(n))
            return could_not_run;
    }
    bool const up = wait_until(
        20000,
        [&]
        {
            bool known = fleet.all_ready();
            for (auto const& server : all)
                known = known && server->is_known();
            return known;
        });
    if (!up)
        return could_not_run;
    sleep_ms(1500);

    std::atomic<bool> over{false};
    std::vector<std::thread> keepers;
    for (std::size_t n = 0; n < all.size(); ++n)
        keepers.emplace_back(
            [&, n]
            {
                while (!over)
                {
                    if (all[n]->ended())
                    {
                        all[n]->end();
                        sleep_ms(back_after_ms);
                        start_server(n);
                    }
                    sleep_ms(10);
                }
            });
    std::mutex results_mutex;
    std::map<int, int> posts;
    std::vector<std::thread> clients;
    for (int n = 0; n < 9; ++n)
        clients.emplace_back(
            [&]
            {
                while (!over)
                {
                    request r;
                    r.method_ = "POST";
                    r.id_ = new_id();
                    r.path_ = "/post/" + r.id_;
                    r.body_ = "amount=1";
                    int const status =
                        ask(fleet.callers(deployment::side_ip(4)), r, 6000);
                    {
                        std::lock_guard const lock(results_mutex);
                        ++posts[status];
                    }
                    sleep_ms(100);
                }
            });
    std::map<std::string, std::int64_t> sent;
    for (int n = 0; n < times; ++n)
    {
        request r;
        r.id_ = new_id();
        r.path_ = "/l/poison";
        sent[r.id_] = now_ms();
        ask(fleet.callers(deployment::side_ip(4 + n % 2)), r, 5000);
        sleep_ms(sent[r.id_] + comes_again_ms - now_ms());
    }
    over = true;
    for (std::thread& t : keepers)
        t.join();
    for (std::thread& t : clients)
        t.join();
    for (auto const& server : all)
        server->end();

    std::lock_guard const lock(mutex);
    std::set<std::string> late;
    for (begun const& b : runs)
    {
        if (b.request_.path() == "/l/poison" && crashes.size() >= 3 &&
            sent[b.id_] > crashes[2] + contact_ms)
            late.insert(b.id_);
    }
    for (auto const& [status, count] : posts)
        note(
            "posts answered " + std::to_string(status) + ": " +
            std::to_string(count));
    note(
        "crashes: " + std::to_string(crashes.size()) +
        "; retries at servers, sent later than contact after the third: " +
        std::to_string(late.size()));
    if (posts[200] == 0)
        return could_not_run;
    return late.size() > allowed_retries ? broken : held;
}
