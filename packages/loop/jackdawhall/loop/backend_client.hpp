// Sends runs to backend servers over HTTP/1.1 and says what became of each:
// answered whole, not connected (no byte was sent), or broken.
//
// Connections are kept and used again one run at a time, for as long as the
// server allows. An answer whose length does not fit, that a reset cut short,
// or that belongs to another request is never passed on.
//
// A refusal is passed on only if it answers this very send: a connection that
// has carried a request which was not answered with a success never carries
// that request again, and on a kept connection an answer must repeat the
// request's id where servers do so.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include <jackdawhall/loop/later.hpp>
#include <jackdawhall/loop/memory_budget.hpp>
#include <jackdawhall/loop/server_prober.hpp>
#include <jackdawhall/model.hpp>

namespace jackdawhall::loop
{

struct backend_answered
{
    answer answer_;
};
struct backend_not_connected
{
    bool server_failed_ = true; // false: given up before connecting
};
struct backend_broken
{
    indeterminate_reason reason_;
};
using backend_result =
    std::variant<backend_answered, backend_not_connected, backend_broken>;

struct backend_handlers
{
    std::function<void(std::uint64_t run, backend_result result)> done_;
    std::function<void(std::string const& server_id, bool alive)> probed_;
};

inline constexpr std::size_t max_answer_bytes = 8 << 20;
// Of all answers in progress, for a client without a budget of its process.
inline constexpr std::size_t max_held_bytes = 32 << 20;
// Answers to other requests, and informational ones, before a run's own.
inline constexpr std::uint32_t max_other_answers = 16;

// How the answers of a server are told apart and known to be whole.
struct answer_rules
{
    // Header field that a server repeats in its answer, so that a late answer
    // to an earlier request is recognised; in lower case, empty: none.
    std::string echoed_name_;
    std::string echoed_value_;
    // An answer without a length is whole when its connection ends in order.
    bool may_lack_length_ = false;
    // The run ends as lost once its kept connection is found dead, so that it
    // can be repeated while there is time; others wait for the kernel.
    bool may_be_repeated_ = false;
    auto operator<=>(answer_rules const&) const = default;
};

class backend_client
{
public:
    explicit backend_client(
        backend_handlers handlers,
        budget_ptr budget = std::make_shared<memory_budget>(max_held_bytes));
    ~backend_client();
    backend_client(backend_client const&) = delete;
    backend_client& operator=(backend_client const&) = delete;

    // Sends `r`; done_ follows once, within `timeout`.
    void
    run(std::uint64_t run, endpoint const& to, request const& r,
        duration timeout, answer_rules const& rules = {});

    // Closes the run's connection; done_ still follows.
    void cancel(std::uint64_t run);

    // Connects to a server and closes again; probed_ follows.
    void probe(std::string const& server_id, endpoint const& to);

private:
    struct connection;

    static bool has_failed(connection const& c, std::size_t id_hash);
    connection* take_kept(endpoint const& to, std::size_t id_hash);
    connection& connect_to(endpoint const& to);
    void send(connection& c);
    void begin_answer(connection& c);
    void take_bytes(connection& c);
    bool take_answer(connection& c);
    void pass_over(connection& c);
    static std::size_t allocated(connection const& c);
    static void count(connection& c);
    void give_up(connection& c);
    void finish_broken(connection& c, indeterminate_reason reason);
    void take_end(connection& c, bool clean);
    void keep(connection& c, duration longest);
    void time_out(connection& c);
    void forget_unheard(endpoint const& to, instant since);
    void finish(connection& c, backend_result result);
    void drop(connection& c);
    void collect();

    backend_handlers handlers_;
    server_prober prober_;
    budget_ptr budget_;
    std::map<connection*, std::unique_ptr<connection>> connections_;
    std::map<std::uint64_t, connection*> runs_;
    // Idle connections; the one used last is at the end.
    std::map<endpoint, std::vector<connection*>> kept_;
    std::vector<std::unique_ptr<connection>> closed_;
    later collect_{[this] { collect(); }};
};

} // namespace jackdawhall::loop
