// Messages between the daemon where a call entered and the gate of a backend
// server, and the context that goes along a chain of calls.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include <jackdawhall/model/name.hpp>
#include <jackdawhall/model/record.hpp>
#include <jackdawhall/model/request.hpp>
#include <jackdawhall/model/time.hpp>
#include <jackdawhall/model/verdict.hpp>

namespace jackdawhall
{

// Context of a call, propagated along the call chain.
struct call_context
{
    std::string root_;     // request id of the first call in the chain
    account_name account_; // empty: the route needs no key
    rank rank_ = lowest_rank;
    // Rank of the route of the first call in the chain, which an account cannot
    // override; orders calls of equal rank_.
    rank route_rank_ = lowest_rank;
    duration timeout_{0};       // time left to answer the caller
    std::uint32_t retries_ = 0; // retries left for calls further down the chain
    std::uint32_t depth_ = 0;
    bool repeatable_ = false;
    service_name caller_;   // service attached to the daemon where the call
                            // entered; empty: unknown
    duration objective_{0}; // latency objective: later answers are worth less;
                            // 0: none
    auto operator<=>(call_context const&) const = default;
};

// Sent by the daemon where a call entered, to the gate of a backend server.
struct forward_request
{
    std::uint64_t number_ = 0;
    service_name service_;
    std::string server_id_;
    call_context context_;
    std::string suspect_; // fingerprint used to attribute crashes
    request request_;
    auto operator<=>(forward_request const&) const = default;
};
struct forward_response
{
    std::uint64_t number_ = 0;
    verdict verdict_;
    std::uint32_t retries_unused_ = 0; // of context_.retries_ in the request
    rank admitted_ = lowest_rank; // least important rank that the gate admits
    std::uint32_t in_use_ = 0;    // running and queued calls at the gate
    std::uint32_t limit_ = 0;     // concurrent runs that the gate allows
    bool shed_ = false;       // the backend server itself answered 503 although
                              // none of its own calls had failed
    bool makes_calls_ = true; // the server makes calls while it runs requests
    duration time_at_gate_{0}; // from receipt of the request to this response
    // Recent runs of the server; see calls::run_statistics.
    std::uint32_t failures_per_thousand_ = 0;
    duration mean_run_time_{0}; // 0: unknown
    auto operator<=>(forward_response const&) const = default;
};
struct cancel_forward
{
    std::uint64_t number_ = 0;
    auto operator<=>(cancel_forward const&) const = default;
};
// Sent to a gate after a link with its host ended: asks what became of forwards
// that have no answer.
struct forward_inquiry
{
    // Run of the gate's daemon that the forwards were sent to.
    std::uint64_t incarnation_ = 0;
    std::vector<std::uint64_t> forwards_; // their numbers
    auto operator<=>(forward_inquiry const&) const = default;
};
enum class forward_status : std::uint8_t
{
    in_progress,  // its answer follows
    answered,     // its answer was sent, and is sent again on inquiry
    not_received, // and refused should it arrive later
    unknown,      // it may have run
    last_ = unknown
};
struct reported_forward
{
    std::uint64_t number_ = 0;
    forward_status status_ = forward_status::unknown;
    auto operator<=>(reported_forward const&) const = default;
};
// What a gate knows of an entry's forwards: the response to a forward_inquiry,
// and sent unasked after a link with the entry's host ended.
struct forward_report
{
    std::vector<reported_forward> forwards_;
    auto operator<=>(forward_report const&) const = default;
};
// Reports the fingerprints of the requests that were running when a backend
// server crashed.
struct crash_report
{
    host_name host_;
    std::string server_id_;
    std::vector<std::string> suspects_;
    // Start of the process that crashed, which tells it from the next one under
    // the same id: milliseconds since the Unix epoch.
    std::int64_t started_ = 0;
    auto operator<=>(crash_report const&) const = default;
};
// Reports that a server ran a suspect to a good end.
struct suspect_completed
{
    host_name host_;
    std::string suspect_;
    auto operator<=>(suspect_completed const&) const = default;
};

} // namespace jackdawhall
