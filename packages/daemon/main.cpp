// jackdawhalld: the daemon beside a backend server, or on a control host.
#include <cstdlib>
#include <iostream>

#include <gflags/gflags.h>
#include <jackdawhall/daemon.hpp>
#include <malloc.h>

DEFINE_string(settings, "", "settings file (YAML); see examples/");
DEFINE_bool(check_settings, false, "check the settings file and exit");

namespace
{

constexpr int bad_settings_status = 2;

namespace jd = jackdawhall;

// Blocks of this size and more are given back to the system as soon as they are
// freed. Left to itself, the library raises the bound with each freed block.
constexpr int returned_block_bytes = 128 << 10;

void keep_freed_memory_small()
{
    mallopt(M_MMAP_THRESHOLD, returned_block_bytes);
    mallopt(M_TRIM_THRESHOLD, returned_block_bytes);
}

int run_daemon(jd::settings::daemon_settings const& settings)
{
    jd::daemon::set_up_log(settings);
    jd::daemon::daemon daemon(settings);
    daemon.remember_settings_file(FLAGS_settings);
    return jd::leaf::try_handle_all(
        [&]() -> jd::leaf::result<int>
        {
            BOOST_LEAF_CHECK(daemon.start());
            return daemon.run();
        },
        [](jd::user_error const& e)
        {
            std::cerr << "jackdawhalld: " << e.what_ << "; " << e.mend_ << "\n";
            return bad_settings_status;
        },
        [](jd::internal_error const& e)
        {
            std::cerr << "jackdawhalld: internal error: " << e.what_ << "\n";
            return EXIT_FAILURE;
        },
        []
        {
            std::cerr << "jackdawhalld: unknown internal error\n";
            return EXIT_FAILURE;
        });
}

} // namespace

int main(int argc, char** argv)
{
    keep_freed_memory_small();
    gflags::SetUsageMessage("--settings FILE [--check_settings]");
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_settings.empty() || argc > 1)
    {
        std::cerr << "jackdawhalld: no settings file, or an argument that is "
                     "no flag; write --settings FILE\n";
        return bad_settings_status;
    }
    jd::settings::checked_settings const checked =
        jd::settings::read_settings(FLAGS_settings);
    for (jd::settings::problem const& p : checked.problems_)
        std::cerr << jd::settings::to_text(FLAGS_settings, p) << "\n";
    if (!checked.problems_.empty())
        return bad_settings_status;
    if (FLAGS_check_settings)
    {
        std::cout << FLAGS_settings << ": valid\n";
        return EXIT_SUCCESS;
    }
    return run_daemon(checked.settings_);
}
