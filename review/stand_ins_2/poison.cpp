// A request crashes the server that begins to run it; the server is back after
// some seconds, under the id that it had. The request comes again, with the
// same path, caller and body, at either of two machines.
#include "harness.hpp"

using namespace stand_in;

namespace
{

constexpr std::int64_t contact_ms = 3000;
constexpr std::int64_t back_after_ms = 2000;
constexpr std::int64_t comes_again_ms = 4500;
constexpr int times = 12;
constexpr std::size_t allowed_retries = 3;

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2)
        return could_not_run;
    record::get().open(argv[1]);
    bool const trouble = is_troubled();
    bool const new_ids = std::getenv("NEW_IDS") != nullptr;
    std::string const home = deployment::side_ip(1);
    deployment fleet(5, {"ledger", "front", "front"});
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
    int life = 0;
    auto const run = [&](app_server& server, begun const& b)
    {
        std::lock_guard const lock(mutex);
        runs.push_back(b);
        note("run " + b.id_ + " " + b.request_.path() + " at " + b.server_);
        if (!trouble || b.request_.path() != "/l/poison")
            return true;
        crashes.push_back(b.at_ms_);
        server.crash();
        return false;
    };
    std::unique_ptr<app_server> server;
    auto const start_server = [&]
    {
        std::string const id =
            new_ids ? "i-ledger-" + std::to_string(++life) : "i-ledger";
        server = std::make_unique<app_server>(app_server::options{
            id, "ledger", fleet.server(home), fleet.orders(home), 16, 1500, 300,
            run});
        return server->start();
    };
    if (!start_server() ||
        !wait_until(
            20000, [&] { return fleet.all_ready() && server->is_known(); }))
        return could_not_run;
    sleep_ms(1500);

    std::atomic<bool> over{false};
    std::thread keeper(
        [&]
        {
            while (!over)
            {
                if (server->ended())
                {
                    server->end();
                    sleep_ms(back_after_ms);
                    start_server();
                }
                sleep_ms(10);
            }
        });
    std::mutex results_mutex;
    std::map<int, int> posts;
    std::vector<std::thread> clients;
    for (int n = 0; n < 3; ++n)
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
                        ask(fleet.callers(deployment::side_ip(2)), r, 6000);
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
        ask(fleet.callers(deployment::side_ip(2 + n % 2)), r, 5000);
        sleep_ms(sent[r.id_] + comes_again_ms - now_ms());
    }
    over = true;
    keeper.join();
    for (std::thread& t : clients)
        t.join();
    server->end();

    std::lock_guard const lock(mutex);
    std::size_t late = 0;
    for (begun const& b : runs)
    {
        bool const poison = b.request_.path() == "/l/poison";
        late += poison && crashes.size() >= 3 &&
                        sent[b.id_] > crashes[2] + contact_ms
                    ? 1
                    : 0;
    }
    note(
        "crashes: " + std::to_string(crashes.size()) +
        "; at servers later than contact after the third: " +
        std::to_string(late));
    for (auto const& [status, count] : posts)
        note(
            "posts answered " + std::to_string(status) + ": " +
            std::to_string(count));
    if (posts[200] == 0)
        return could_not_run;
    return late > allowed_retries ? broken : held;
}
