// An HTTP/1.1 server on one address. Each request gets a number and is
// answered later under it; its body is held until it is whole. Requests are
// bounded in size and in the time they may take to come in, connections in
// number and in how long they may be idle.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <jackdawhall/loop/byte_stream.hpp>
#include <jackdawhall/loop/later.hpp>
#include <jackdawhall/loop/memory_budget.hpp>
#include <jackdawhall/model.hpp>

namespace jackdawhall::loop
{

struct http_limits
{
    std::uint32_t header_bytes_ = 16 << 10;
    std::uint64_t body_bytes_ = 1 << 20;
    duration header_time_ = std::chrono::seconds(10); // first to last byte
    // From the last byte of an answer to the first one of the next request.
    duration idle_time_ = std::chrono::seconds(60);
    auto operator<=>(http_limits const&) const = default;
};

struct http_handlers
{
    std::function<void(
        std::uint64_t number, request r, std::string const& remote_address)>
        requested_;
    // The connection broke before the request was answered.
    std::function<void(std::uint64_t number)> left_;
    // The caller ended its sending side before it was answered. It may have
    // left, or wait for the answer; the request is still to be answered.
    std::function<void(std::uint64_t number)> finished_ = {};
    // The process holds too much: the request is to be given back, as far as
    // that is possible before it is answered.
    std::function<void(std::uint64_t number)> give_back_ = {};
};

// Of all connections, for a server without a budget of its process.
inline constexpr std::size_t max_server_bytes = 256 << 20;

class http_server
{
public:
    http_server(
        endpoint listen, std::uint32_t max_connections, http_handlers handlers,
        budget_ptr budget = std::make_shared<memory_budget>(max_server_bytes));
    ~http_server();
    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;

    // Fails with user_error if the address cannot be listened on; `key` is the
    // setting to change.
    leaf::result<void> listen(std::string const& key);

    // Holds for requests that begin from now on.
    void set_limits(http_limits const& limits) { limits_ = limits; }

    // Answers a request, unless its caller has left.
    void answer(std::uint64_t number, jackdawhall::answer a);

    // From now on each answer is the last of its connection.
    void announce_closing() { closing_ = true; }

    // Accepts no more connections, and closes those without a request. Calls
    // `drained`, in a later round of the loop, when none is left.
    void stop_accepting(std::function<void()> drained);

    std::size_t open_requests() const { return open_.size(); }
    std::size_t open_connections() const { return connections_.size(); }
    // Bytes of answers that were not written yet.
    std::size_t unwritten() const;

private:
    struct connection;

    void accept();
    void take_bytes(connection& c);
    void take_part(connection& c);
    void take_request(connection& c);
    void take_end(connection& c, stream_end how);
    void take_last_byte(connection& c);
    void refuse(connection& c, jackdawhall::answer a);
    void respond(connection& c, jackdawhall::answer a, bool last);
    static void count(connection& c);
    void give_up(connection& c);
    void answer_written(connection& c);
    void begin_request(connection& c);
    void linger(connection& c);
    void close(connection& c);
    void time_out(connection& c);
    void arm(connection& c, duration after);
    void collect();

    endpoint listen_;
    std::uint32_t max_connections_;
    http_handlers handlers_;
    budget_ptr budget_;
    http_limits limits_;
    int listener_ = -1;
    source_ptr acceptable_;
    bool closing_ = false;
    std::function<void()> drained_;
    std::uint64_t last_number_ = 0;
    std::map<std::uint64_t, std::unique_ptr<connection>> connections_;
    std::map<std::uint64_t, connection*> open_; // by number of the request
    std::vector<std::unique_ptr<connection>> closed_;
    later collect_{[this] { collect(); }};
};

} // namespace jackdawhall::loop
