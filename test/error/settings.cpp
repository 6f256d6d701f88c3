// Every error in a settings file is reported at once, with its line, its key
// and what to write; generated files never crash the check.
#include <catch2/catch.hpp>

#include <fstream>
#include <unistd.h>

#include <jackdawhall/settings.hpp>

using namespace jackdawhall;
using namespace jackdawhall::settings;

namespace
{

// A folder with the files that the settings name.
struct secret_folder
{
    secret_folder()
    {
        char name[] = "/tmp/jackdawhall-settings-XXXXXX";
        path_ = mkdtemp(name);
        std::ofstream(path_ + "/secret") << "0123456789abcdef\n";
        std::ofstream(path_ + "/short") << "abc\n";
    }
    ~secret_folder()
    {
        ::unlink((path_ + "/secret").c_str());
        ::unlink((path_ + "/short").c_str());
        ::rmdir(path_.c_str());
    }
    secret_folder(secret_folder const&) = delete;
    secret_folder& operator=(secret_folder const&) = delete;
    std::string path_;
};

std::string const good = R"(host: host-1
region: quebec
zone: quebec-a
roles: [call, control]
listen:
  callers: 127.0.1.1:8080
  peers: 127.0.1.1:7070
  operators: 127.0.1.1:9090
control_hosts:
  - {host: host-1, peers: 127.0.1.1:7070}
data_folder: data
fleet_secret_file: secret
operator_token_file: secret
log: {level: info, format: json}
retries_per_request: 3
)";

std::string replaced(std::string const& from, std::string const& to)
{
    std::string text = good;
    text.replace(text.find(from), from.size(), to);
    return text;
}

problem only_problem(std::string const& text, std::string const& folder)
{
    checked_settings const checked = check_settings(text, folder);
    REQUIRE(checked.problems_.size() == 1);
    return checked.problems_[0];
}

} // namespace

TEST_CASE("a good file has no problem")
{
    secret_folder const folder;
    checked_settings const checked = check_settings(good, folder.path_);
    for (problem const& p : checked.problems_)
        UNSCOPED_INFO(to_text("file", p));
    CHECK(checked.problems_.empty());
    CHECK(checked.settings_.control_);
    CHECK(checked.settings_.log_format_ == log_format::json);
    CHECK(checked.settings_.callers_ == endpoint{"127.0.1.1", 8080});
    CHECK(checked.settings_.data_folder_ == folder.path_ + "/data");
}

TEST_CASE("each problem names its line, its key and the mend")
{
    secret_folder const folder;
    struct example
    {
        std::string from_;
        std::string to_;
        int line_;
        std::string key_;
    };
    example const e = GENERATE(
        example{"zone: quebec-a", "zone: Quebec A", 3, "zone"},
        example{"[call, control]", "[call, control, extra]", 4, "roles"},
        example{
            "callers: 127.0.1.1:8080", "callers: localhost:8080", 6,
            "listen.callers"},
        example{
            "callers: 127.0.1.1:8080", "callers: 127.0.1.1:99999", 6,
            "listen.callers"},
        example{
            "retries_per_request: 3", "retries_per_request: 3s", 15,
            "retries_per_request"},
        example{
            "retries_per_request: 3", "retries_per_requst: 3", 15,
            "retries_per_requst"},
        example{"level: info", "level: loud", 14, "log.level"},
        example{
            "fleet_secret_file: secret", "fleet_secret_file: short", 12,
            "fleet_secret_file"},
        example{
            "fleet_secret_file: secret", "fleet_secret_file: none", 12,
            "fleet_secret_file"},
        example{
            "operators: 127.0.1.1:9090", "operators: 127.0.1.1:8080", 6,
            "listen"});
    problem const p = only_problem(replaced(e.from_, e.to_), folder.path_);
    CHECK(p.line_ == e.line_);
    CHECK(p.key_ == e.key_);
    CHECK_FALSE(p.mend_.empty());
}

TEST_CASE("combinations that cannot work are refused")
{
    secret_folder const folder;
    CHECK(
        only_problem(replaced("data_folder: data\n", ""), folder.path_).key_ ==
        "data_folder");
    CHECK(
        only_problem(
            replaced(
                "control_hosts:\n",
                "control_hosts:\n  - {host: host-2, peers: 127.0.1.2:7070}\n"),
            folder.path_)
            .key_ == "control_hosts");
    CHECK(
        only_problem(replaced("host: host-1", "host: host-9"), folder.path_)
            .key_ == "control_hosts");
}

TEST_CASE("all problems are reported at once")
{
    checked_settings const checked = check_settings("host: A\nx: 1\n", "/tmp");
    CHECK(checked.problems_.size() >= 8);
}

TEST_CASE("generated files are refused without a crash")
{
    random_source random(4);
    for (int i = 0; i < 3000; ++i)
    {
        std::string text = good;
        for (std::uint64_t k = 0; k <= random.below(4); ++k)
        {
            std::size_t const at = random.below(text.size());
            switch (random.below(3))
            {
            case 0:
                text.erase(at, 1 + random.below(10));
                break;
            case 1:
                text[at] = static_cast<char>(random.below(256));
                break;
            default:
                text.insert(at, text.substr(random.below(text.size()), 9));
            }
        }
        checked_settings const checked = check_settings(text, "/nowhere");
        REQUIRE_FALSE(checked.problems_.empty()); // no secret files there
    }
}
