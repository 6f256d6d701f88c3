// Generated schedules of faults under load, checked against all promises. One
// seed is one schedule; RapidCheck makes it, and shrinks one that fails.
#include <cstdio>
#include <cstdlib>
#include <iostream>

#include <gflags/gflags.h>
#include <rapidcheck.h>

#include "schedule.hpp"

DEFINE_uint64(seeds, 60, "how many schedules");
DEFINE_uint64(first, 1, "first seed");
DEFINE_string(profile, "all", "all, or changes: changes alone, more faults");

namespace
{

namespace test = jackdawhall::test;

rc::Gen<test::fault> any_fault()
{
    using jackdawhall::duration;
    return rc::gen::build<test::fault>(
        rc::gen::set(
            &test::fault::kind_,
            rc::gen::map(
                rc::gen::inRange(
                    0, static_cast<int>(test::fault_kind::last_) + 1),
                [](int kind) { return static_cast<test::fault_kind>(kind); })),
        rc::gen::set(&test::fault::host_, rc::gen::inRange<std::size_t>(0, 6)),
        rc::gen::set(&test::fault::other_, rc::gen::inRange<std::size_t>(0, 6)),
        rc::gen::set(
            &test::fault::begins_,
            rc::gen::map(
                rc::gen::inRange<std::int64_t>(0, 18000),
                [](std::int64_t ms) { return duration{ms * 1000}; })),
        rc::gen::set(
            &test::fault::lasts_,
            rc::gen::map(
                rc::gen::inRange<std::int64_t>(
                    1, FLAGS_profile == "changes" ? 2500 : 8000),
                [](std::int64_t ms) { return duration{ms * 1000}; })));
}

bool passes(std::uint64_t seed)
{
    rc::detail::TestParams params;
    params.seed = seed;
    params.maxSuccess = 1;
    params.maxSize = 12;
    rc::detail::TestMetadata metadata;
    metadata.id = "seed " + std::to_string(seed);
    auto const result = rc::detail::checkTestable(
        [seed]
        {
            bool const changes = FLAGS_profile == "changes";
            auto const faults = *rc::gen::resize(
                changes ? 30 : 8,
                rc::gen::container<std::vector<test::fault>>(any_fault()));
            for (test::fault const& f : faults)
                RC_LOG() << test::to_text(f) << "\n";
            test::findings const wrong = test::run_schedule(
                changes ? test::profile::changes : test::profile::all, seed,
                faults);
            for (std::string const& w : wrong)
                RC_LOG() << "wrong: " << w << "\n";
            RC_ASSERT(wrong.empty());
        },
        metadata, params);
    bool const passed = result.is<rc::detail::SuccessResult>();
    if (!passed)
    {
        std::cout << "seed " << seed << " failed: ";
        rc::detail::printResultMessage(result, std::cout);
        std::cout << std::endl;
    }
    return passed;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("--seeds N --first S: runs N schedules");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::uint64_t passed = 0;
    for (std::uint64_t i = 0; i < FLAGS_seeds; ++i)
        passed += passes(FLAGS_first + i) ? 1 : 0;
    std::cout << "schedules: " << passed << " passed, " << FLAGS_seeds - passed
              << " failed" << std::endl;
    return passed == FLAGS_seeds ? EXIT_SUCCESS : EXIT_FAILURE;
}
