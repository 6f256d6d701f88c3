// A generated schedule: faults over a fixed time of steady load, and the
// promises checked on the history that it leaves.
#pragma once

#include <string>
#include <vector>

#include "checkers.hpp"

namespace jackdawhall::test
{

enum class fault_kind : std::uint8_t
{
    kill,
    kill_and_lose_disk,
    freeze,
    isolate,
    cut_one_way,
    cut_both_ways,
    kill_leader,
    freeze_leader,
    isolate_leader,
    crash_backend,
    last_ = crash_backend
};

struct fault
{
    fault_kind kind_ = fault_kind::kill;
    std::size_t host_ = 0;
    std::size_t other_ = 1;
    duration begins_{0}; // after the load begins
    duration lasts_{0};
};

std::string to_text(fault const& f);

// Length of the load; faults end with it, and the fleet then heals.
inline constexpr duration load_length = std::chrono::seconds(20);

// What a schedule loads the fleet with.
enum class profile
{
    all,    // requests, payments, changes and a withdrawal on six hosts
    changes // changes alone, close together, on five control hosts
};

// Runs a schedule and returns what was wrong.
findings run_schedule(
    profile load, std::uint64_t seed, std::vector<fault> const& faults);

} // namespace jackdawhall::test
