#include <jackdawhall/settings/check.hpp>

namespace jackdawhall::settings
{

namespace
{

constexpr std::uint32_t most_ms = 600'000;
constexpr std::uint32_t most_grace_s = 600;
constexpr double most_slack = 1e6;

} // namespace

void read_infrastructure(check& c, YAML::Node const& map)
{
    YAML::Node const section = map["infrastructure"];
    if (!section.IsMap())
        return complain(
            c, section, "infrastructure", "is no map",
            "add orders, callers and readiness under it");
    allow_only(
        c, section, "infrastructure.",
        {"callers", "readiness", "orders", "backend", "beside", "lost_disks",
         "revoke_ms", "in_force_ms", "grace_s", "retry_share", "retry_slack",
         "retry_window_s", "rate_overage", "rate_slack", "rate_window_s"});
    infrastructure i;
    i.orders_ = read_endpoint(c, section, "orders", "infrastructure.");
    if (c.settings_.call_)
    {
        i.callers_ = read_endpoint(c, section, "callers", "infrastructure.");
        i.readiness_ =
            read_endpoint(c, section, "readiness", "infrastructure.");
        i.backend_ = read_endpoint(c, section, "backend", "infrastructure.");
        i.beside_ = read_name<service_name>(c, section, "beside");
    }
    read_number(c, section, "lost_disks", 0, 3, i.lost_disks_);
    read_number(c, section, "revoke_ms", 100, most_ms, i.revoke_ms_);
    read_number(c, section, "in_force_ms", 100, most_ms, i.in_force_ms_);
    read_number(c, section, "grace_s", 1, most_grace_s, i.grace_s_);
    read_fraction(c, section, "retry_share", 0, 1, i.retry_share_);
    read_fraction(c, section, "retry_slack", 0, most_slack, i.retry_slack_);
    read_number(
        c, section, "retry_window_s", 1, most_grace_s, i.retry_window_s_);
    read_fraction(c, section, "rate_overage", 0, 1, i.rate_overage_);
    read_fraction(c, section, "rate_slack", 0, most_slack, i.rate_slack_);
    read_number(c, section, "rate_window_s", 1, most_grace_s, i.rate_window_s_);
    c.settings_.infrastructure_ = i;
}

} // namespace jackdawhall::settings
