// A small fake backend server: slots, a service time, calls of its own down the
// chain, and failures on request. It announces itself to the daemon beside it,
// and prints one line for each request that it runs.
//
// A request's headers steer it: "fake-crash: 1" ends the process at once,
// "fake-truncate: 1" states a longer body than it sends, "fake-sleep-ms: N"
// replaces the service time, and "fake-body-bytes: N" makes the answer longer.
// From SIGUSR1 until SIGUSR2, requests that begin take ten times as long.
#include <cstdlib>
#include <deque>
#include <iostream>
#include <unistd.h>

#include <gflags/gflags.h>
#include <glib-unix.h>
#include <jackdawhall/loop.hpp>
#include <nlohmann/json.hpp>

DEFINE_string(listen, "127.0.0.1:9001", "address to serve on");
DEFINE_string(daemon, "127.0.0.1:8080", "callers' address of its daemon");
DEFINE_string(service, "plans", "service that it serves");
DEFINE_string(id, "", "id of this run; by default the process id");
DEFINE_uint32(slots, 8, "requests at once");
DEFINE_uint32(service_ms, 0, "time that a request takes, in milliseconds");
DEFINE_string(calls, "", "path that each request calls through its daemon");
DEFINE_bool(echo_headers, false, "answer with the headers of the request");
DEFINE_string(repeated, "", "header field of requests to repeat in answers");
DEFINE_bool(times, false, "print when each request began and ended, in ms");
DEFINE_uint32(drain_s, 2, "longest wait for requests at the stop, in seconds");
DEFINE_bool(silent, false, "announce nothing");
DEFINE_string(announced, "", "address to announce; by default --listen");

namespace
{

namespace jd = jackdawhall;

constexpr guint slow_factor = 10;
// From the announcement that the server is draining on.
constexpr std::chrono::seconds shortest_drain(2);
constexpr guint drain_check_interval_ms = 100;

std::int64_t time_of_day_ms()
{
    return g_get_real_time() / 1000;
}

jd::endpoint parse_endpoint(std::string const& text)
{
    std::size_t const colon = text.rfind(':');
    return {
        text.substr(0, colon),
        static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1))};
}

struct waiting_request
{
    std::uint64_t number_;
    jd::request request_;
};

class fake_backend
{
public:
    fake_backend()
        : server_(
              parse_endpoint(FLAGS_listen), 10000,
              {[this](std::uint64_t number, jd::request r, std::string const&)
               { take(number, std::move(r)); },
               [](std::uint64_t) {}}),
          client_(
              {[this](std::uint64_t call, jd::loop::backend_result)
               { finish(call); },
               [](std::string const&, bool) {}})
    {
    }

    int run()
    {
        if (!server_.listen("--listen"))
            return EXIT_FAILURE;
        loop_.on_stop_signal(
            [this]
            {
                if (state_ == "draining")
                    return loop_.quit();
                state_ = "draining";
                announce();
                draining_since_ = std::chrono::steady_clock::now();
                g_timeout_add(
                    drain_check_interval_ms,
                    [](gpointer self) -> gboolean
                    {
                        static_cast<fake_backend*>(self)->end_if_drained();
                        return G_SOURCE_CONTINUE;
                    },
                    this);
            });
        g_unix_signal_add(SIGUSR1, set_slow<true>, this);
        g_unix_signal_add(SIGUSR2, set_slow<false>, this);
        if (!FLAGS_silent)
        {
            announce();
            g_timeout_add_seconds(
                1,
                [](gpointer self) -> gboolean
                {
                    static_cast<fake_backend*>(self)->announce();
                    return G_SOURCE_CONTINUE;
                },
                this);
        }
        loop_.run();
        return EXIT_SUCCESS;
    }

private:
    template <bool Slow>
    static gboolean set_slow(gpointer self)
    {
        static_cast<fake_backend*>(self)->slow_ = Slow;
        return G_SOURCE_CONTINUE;
    }

    void end_if_drained()
    {
        std::chrono::steady_clock::duration const since =
            std::chrono::steady_clock::now() - draining_since_;
        bool const idle = running_ == 0 && since >= shortest_drain;
        if (idle || since >= std::chrono::seconds(FLAGS_drain_s))
            loop_.quit();
    }

    void announce()
    {
        nlohmann::json body{
            {"id",
             FLAGS_id.empty() ? "run-" + std::to_string(getpid()) : FLAGS_id},
            {"service", FLAGS_service},
            {"address",
             FLAGS_announced.empty() ? FLAGS_listen : FLAGS_announced},
            {"slots", FLAGS_slots},
            {"connections", 500},
            {"state", state_}};
        jd::request const r{"POST", "/.jackdawhall/announce", {}, body.dump()};
        client_.run(
            ++last_announcement_, parse_endpoint(FLAGS_daemon), r,
            std::chrono::seconds(1));
    }

    void take(std::uint64_t number, jd::request r)
    {
        queue_.push_back({number, std::move(r)});
        start();
    }

    void start()
    {
        while (running_ < FLAGS_slots && !queue_.empty())
        {
            waiting_request next = std::move(queue_.front());
            queue_.pop_front();
            ++running_;
            begin(std::move(next));
        }
    }

    void begin(waiting_request w)
    {
        std::cout << "ran " << w.request_.method_ << " " << w.request_.path_
                  << " key="
                  << jd::find_header(
                         w.request_.headers_, jd::idempotency_header)
                  << std::endl;
        if (FLAGS_times)
            std::cout << "at " << time_of_day_ms() << " began "
                      << w.request_.path_ << " left="
                      << jd::find_header(
                             w.request_.headers_, jd::timeout_header)
                      << std::endl;
        if (!jd::find_header(w.request_.headers_, "fake-crash").empty())
            std::_Exit(EXIT_FAILURE);
        std::string const sleep =
            jd::find_header(w.request_.headers_, "fake-sleep-ms");
        guint const usual = sleep.empty()
                                ? FLAGS_service_ms
                                : static_cast<guint>(std::atoi(sleep.c_str()));
        guint const time = slow_ ? usual * slow_factor : usual;
        std::uint64_t const number = w.number_;
        open_.emplace(number, std::move(w));
        if (time == 0)
            return call_down(number);
        struct timer
        {
            fake_backend* self_;
            std::uint64_t number_;
        };
        g_timeout_add(
            time,
            [](gpointer data) -> gboolean
            {
                std::unique_ptr<timer> const t(static_cast<timer*>(data));
                t->self_->call_down(t->number_);
                return G_SOURCE_REMOVE;
            },
            new timer{this, number});
    }

    void call_down(std::uint64_t number)
    {
        if (FLAGS_calls.empty())
            return finish(number);
        jd::headers const& given = open_.at(number).request_.headers_;
        jd::request r{"GET", FLAGS_calls, {}, {}};
        r.headers_.push_back(
            {jd::ticket_header, jd::find_header(given, jd::ticket_header)});
        client_.run(
            number, parse_endpoint(FLAGS_daemon), r, std::chrono::seconds(30));
    }

    void finish(std::uint64_t number)
    {
        auto const open = open_.find(number);
        if (open == open_.end())
            return;
        jd::request const& r = open->second.request_;
        jd::answer a{200, {{"content-type", "text/plain"}}, {}};
        a.body_ = FLAGS_service + " answered " + r.method_ + " " + r.path_ +
                  " " + r.body_ + "\n";
        std::string const more = jd::find_header(r.headers_, "fake-body-bytes");
        if (!more.empty())
            a.body_.append(std::strtoul(more.c_str(), nullptr, 10), 'a');
        if (!FLAGS_repeated.empty())
            a.headers_.push_back(
                {FLAGS_repeated, jd::find_header(r.headers_, FLAGS_repeated)});
        if (FLAGS_echo_headers)
        {
            for (jd::header const& field : r.headers_)
                a.body_ += field.name_ + ": " + field.value_ + "\n";
        }
        if (FLAGS_times)
            std::cout << "at " << time_of_day_ms() << " ended " << r.path_
                      << std::endl;
        server_.answer(number, a);
        open_.erase(open);
        --running_;
        start();
    }

    jd::loop::event_loop loop_;
    jd::loop::http_server server_;
    jd::loop::backend_client client_;
    std::deque<waiting_request> queue_;
    std::map<std::uint64_t, waiting_request> open_;
    std::uint32_t running_ = 0;
    std::uint64_t last_announcement_ = 1ULL << 62;
    std::string state_ = "ready";
    bool slow_ = false;
    std::chrono::steady_clock::time_point draining_since_;
};

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    fake_backend backend;
    return backend.run();
}
