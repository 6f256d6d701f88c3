// Answers without an end from one faulty server: what is allocated stays near
// the budget, they alone are given up, and a sound server's large answer that
// comes in meanwhile is whole.
#include <catch2/catch.hpp>

#include <malloc.h>

#include <scripted_server.hpp>

using namespace jackdawhall;
using namespace jackdawhall::loop;
using jackdawhall::test::script;
using jackdawhall::test::scripted_server;

namespace
{

constexpr std::size_t mib = 1 << 20;
constexpr std::size_t budget_bytes = 24 * mib;
// Beside the budget: one round of reads, and what the servers themselves hold.
constexpr std::size_t margin = 24 * mib;
constexpr std::size_t endless_runs = 300;
constexpr std::size_t sound_bytes = 6 * mib;

std::string const head = "HTTP/1.1 200 OK\r\nx-id: a\r\n";

// Bytes in use by the program, mapped blocks among them.
std::size_t bytes_in_use()
{
    struct mallinfo2 const info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

struct outcome
{
    std::size_t endless_given_up_ = 0;
    std::size_t sound_whole_ = 0;
    std::size_t most_in_use_ = 0;
};

outcome play(std::uint16_t faulty, std::uint16_t sound, std::size_t sound_runs)
{
    event_loop loop;
    outcome seen;
    std::size_t left = endless_runs + sound_runs;
    backend_client client(
        {[&](std::uint64_t run, backend_result r)
         {
             backend_broken const* b = std::get_if<backend_broken>(&r);
             if (run < endless_runs)
                 seen.endless_given_up_ +=
                     b && b->reason_ == indeterminate_reason::answer_too_large;
             else if (auto const* a = std::get_if<backend_answered>(&r))
                 seen.sound_whole_ += a->answer_.body_.size() == sound_bytes;
             if (--left == 0)
                 loop.quit();
         },
         [](std::string const&, bool) {}},
        std::make_shared<memory_budget>(budget_bytes));
    std::size_t const before = bytes_in_use();
    for (std::size_t run = 0; run < endless_runs + sound_runs; ++run)
        client.run(
            run, {"127.0.0.1", run < endless_runs ? faulty : sound},
            {"GET", "/", {}, {}}, std::chrono::seconds(20),
            {"x-id", "a", true});
    event_loop::delayed sample;
    std::function<void()> measure = [&]
    {
        std::size_t const now = bytes_in_use();
        seen.most_in_use_ = std::max(
            seen.most_in_use_, now > before ? now - before : std::size_t{0});
        sample.set(std::chrono::milliseconds(1), measure);
    };
    measure();
    loop.run();
    return seen;
}

} // namespace

TEST_CASE("endless answers of a server yield, and others' answers are whole")
{
    scripted_server const faulty(
        {{head + "Transfer-Encoding: chunked\r\n\r\n",
          "4000\r\n" + std::string(0x4000, 'x') + "\r\n"}});
    scripted_server const sound(
        {{head + "Content-Length: " + std::to_string(sound_bytes) + "\r\n\r\n" +
              std::string(sound_bytes, 'y'),
          {}}});
    outcome const seen = play(faulty.port(), sound.port(), 1);
    CHECK(seen.endless_given_up_ == endless_runs);
    CHECK(seen.sound_whole_ == 1);
    CHECK(seen.most_in_use_ < budget_bytes + margin);
}
