// Who yields when a daemon holds too much for others: the party that holds most
// together, not whoever has the single largest message.
#include <catch2/catch.hpp>

#include <jackdawhall/loop.hpp>

using namespace jackdawhall;
using namespace jackdawhall::loop;

namespace
{

constexpr std::size_t kib = 1 << 10;

backend_exchange const faulty{{"10.0.0.1", 80}};
backend_exchange const sound{{"10.0.0.2", 80}};
unread_answer const slow{"10.0.0.3"};

} // namespace

TEST_CASE("the party with most together yields, its largest holder first")
{
    held_bytes h;
    for (holder_number n = 1; n <= 300; ++n)
        h = set_held(std::move(h), n, faulty, (100 + n % 7) * kib);
    h = set_held(std::move(h), 301, sound, 8000 * kib);
    h = set_held(std::move(h), 302, slow, 7000 * kib);
    CHECK(choose_yielding(h) == holder_number{6}); // 106 KiB, the oldest
}

TEST_CASE("requests and unread answers of a caller count together")
{
    held_bytes h;
    h = set_held(std::move(h), 1, request_in_progress{slow.caller_}, 60 * kib);
    h = set_held(std::move(h), 2, slow, 50 * kib);
    h = set_held(std::move(h), 3, sound, 100 * kib);
    CHECK(choose_yielding(h) == holder_number{1});
}

TEST_CASE("a holder counts once, with what it has now")
{
    held_bytes h;
    h = set_held(std::move(h), 1, sound, 100 * kib);
    h = set_held(std::move(h), 1, slow, 40 * kib);
    CHECK(h.total_ == 40 * kib);
    CHECK(h.peak_ == 100 * kib);
    CHECK(h.parties_.size() == 1);
    h = set_held(std::move(h), 1, slow, 0);
    CHECK(h.total_ == 0);
    CHECK(h.parties_.empty());
    CHECK(h.by_bytes_.empty());
    CHECK(choose_yielding(h) == std::nullopt);
}

TEST_CASE("those who hold most yield in the next round, until it is enough")
{
    event_loop loop;
    budget_ptr const budget = std::make_shared<memory_budget>(200 * kib);
    std::vector<int> gave_up;
    std::vector<std::unique_ptr<budget_share>> shares;
    for (int n = 0; n < 4; ++n)
        shares.push_back(std::make_unique<budget_share>(
            budget,
            [&, n]
            {
                gave_up.push_back(n);
                shares.at(static_cast<std::size_t>(n)).reset();
            }));
    shares.at(0)->set(sound, 80 * kib);
    for (std::size_t n = 1; n < 4; ++n)
        shares.at(n)->set(faulty, (60 + n) * kib);
    CHECK(gave_up.empty());
    event_loop::delayed stop;
    stop.set(std::chrono::milliseconds(20), [&] { loop.quit(); });
    loop.run();
    CHECK(gave_up == std::vector<int>{3, 2});
    CHECK(budget->held().total_ == (80 + 61) * kib);
}
