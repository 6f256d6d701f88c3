// The settings for the users' infrastructure: seeds, secrets in the file, and
// the section of addresses and bounds.
#include <catch2/catch.hpp>

#include <jackdawhall/settings.hpp>

using namespace jackdawhall;
using namespace jackdawhall::settings;

namespace
{

std::string const good = R"(host: "10.1.0.26"
region: quebec
zone: qc-a
roles: [call]
listen:
  peers: "10.1.0.26:7000"
  operators: "10.1.0.26:7015"
control_seeds: [10.1.0.30:8540,10.2.0.27:8540]
first_start: false
fleet_secret: "0123456789abcdef"
operator_token: "0123456789abcdef"
infrastructure:
  callers: "10.1.0.26:8548"
  readiness: "10.1.0.26:8546"
  orders: "10.1.0.26:8540"
  beside: pay
  backend: "10.1.0.26:8547"
  lost_disks: 2
  grace_s: 6
  retry_share: 0.2
)";

std::string replaced(std::string const& from, std::string const& to)
{
    std::string text = good;
    return text.replace(text.find(from), from.size(), to);
}

std::vector<problem> problems_of(std::string const& text)
{
    return check_settings(text, ".").problems_;
}

} // namespace

TEST_CASE("the settings are taken")
{
    checked_settings const checked = check_settings(good, ".");
    REQUIRE(checked.problems_.empty());
    daemon_settings const& s = checked.settings_;
    CHECK(s.control_hosts_learnt_);
    CHECK_FALSE(s.first_start_);
    REQUIRE(s.control_hosts_.size() == 2);
    CHECK(s.control_hosts_.front().host_.str() == "10.1.0.30");
    CHECK(s.control_hosts_.front().peers_ == endpoint{"10.1.0.30", 7000});
    REQUIRE(s.infrastructure_);
    CHECK(s.infrastructure_->callers_ == endpoint{"10.1.0.26", 8548});
    CHECK(s.infrastructure_->lost_disks_ == 2);
    CHECK(s.infrastructure_->retry_share_ == 0.2);
}

TEST_CASE("each error names its key")
{
    auto const [text, key] = GENERATE(table<std::string, std::string>(
        {{replaced("10.1.0.30:8540", "nowhere"), "control_seeds"},
         {replaced("first_start: false", "first_start: maybe"), "first_start"},
         {replaced("  lost_disks: 2", "  lost_disks: many"), "lost_disks"},
         {replaced("  retry_share: 0.2", "  retry_share: 2"), "retry_share"},
         {replaced("  grace_s: 6", "  grace: 6"), "infrastructure.grace"},
         {replaced("  orders: \"10.1.0.26:8540\"\n", ""), "orders"},
         {replaced("fleet_secret: \"0123456789abcdef\"", "fleet_secret: short"),
          "fleet_secret"}}));
    CAPTURE(text);
    std::vector<problem> const problems = problems_of(text);
    REQUIRE(problems.size() == 1);
    CHECK(problems.front().key_ == key);
    CHECK_FALSE(problems.front().mend_.empty());
}

TEST_CASE("the example is valid")
{
    CHECK(read_settings(JACKDAWHALL_EXAMPLE).problems_.empty());
}
