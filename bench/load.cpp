// An open-loop caller. Each stream sends at its own rate, by a Poisson process,
// whatever became of earlier requests, and latency counts from the intended
// start (no coordinated omission). A stream may retry hard: it sends a request
// again as soon as it failed. Writes one line for each request:
// stream,start_ms,latency_us,status,attempts
#include <cmath>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>

#include <gflags/gflags.h>
#include <jackdawhall/loop.hpp>
#include <yaml-cpp/yaml.h>

DEFINE_string(profile, "", "profile (YAML)");
DEFINE_string(out, "", "file for the results (CSV)");

namespace
{

namespace jd = jackdawhall;
using jd::duration;
using jd::instant;

struct phase
{
    double begins_s_ = 0;
    double factor_ = 1; // of the stream's rate
};

struct stream
{
    std::string name_;
    std::vector<jd::endpoint> targets_;
    std::string key_;
    std::string method_ = "GET";
    std::string path_;
    double rate_ = 1; // requests a second
    std::vector<phase> phases_;
    int retries_ = 0;
    bool idempotent_ = false; // sends an idempotency key
    std::string timeout_ms_;
};

struct attempt
{
    std::size_t stream_ = 0;
    instant intended_;
    int attempts_ = 0;
    std::string uuid_;
};

jd::endpoint parse_endpoint(std::string const& text)
{
    std::size_t const colon = text.rfind(':');
    return {
        text.substr(0, colon),
        static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1))};
}

stream read_stream(YAML::Node const& node)
{
    stream s;
    s.name_ = node["name"].as<std::string>();
    for (YAML::Node const& target : node["targets"])
        s.targets_.push_back(parse_endpoint(target.as<std::string>()));
    s.key_ = node["key"].as<std::string>("");
    s.method_ = node["method"].as<std::string>("GET");
    s.path_ = node["path"].as<std::string>();
    s.rate_ = node["rate"].as<double>();
    s.retries_ = node["retries"].as<int>(0);
    s.idempotent_ = node["idempotent"].as<bool>(false);
    s.timeout_ms_ = node["timeout_ms"].as<std::string>("");
    for (YAML::Node const& p : node["phases"])
        s.phases_.push_back(
            {p["begins_s"].as<double>(), p["factor"].as<double>()});
    return s;
}

class load
{
public:
    explicit load(YAML::Node const& profile)
        : random_(profile["seed"].as<std::uint64_t>(1)),
          length_(
              static_cast<std::int64_t>(profile["seconds"].as<double>() * 1e6)),
          out_(FLAGS_out),
          client_(
              {[this](std::uint64_t number, jd::loop::backend_result result)
               { finish(number, std::move(result)); },
               [](std::string const&, bool) {}})
    {
        for (YAML::Node const& node : profile["streams"])
            streams_.push_back(read_stream(node));
    }

    void run()
    {
        began_ = jd::loop::read_clocks().now_;
        for (std::size_t i = 0; i < streams_.size(); ++i)
            due_.emplace(began_ + gap(i, began_), i);
        arm();
        loop_.run();
    }

private:
    double rate_at(std::size_t i, instant at) const
    {
        double const s = static_cast<double>((at - began_).count()) / 1e6;
        double factor = 1;
        for (phase const& p : streams_[i].phases_)
            factor = s >= p.begins_s_ ? p.factor_ : factor;
        return streams_[i].rate_ * factor;
    }

    duration gap(std::size_t i, instant at)
    {
        double const u =
            (static_cast<double>(random_.below(1'000'000)) + 1) / 1'000'001;
        double const rate = std::max(0.001, rate_at(i, at));
        return duration{static_cast<std::int64_t>(-std::log(u) / rate * 1e6)};
    }

    void arm()
    {
        if (!due_.empty())
            loop_.set_timer(due_.begin()->first, [this] { send_due(); });
        else if (open_.empty())
            loop_.quit();
    }

    void send_due()
    {
        instant const now = jd::loop::read_clocks().now_;
        while (!due_.empty() && due_.begin()->first <= now)
        {
            auto const [at, i] = *due_.begin();
            due_.erase(due_.begin());
            if (at - began_ >= length_)
                continue;
            attempt a{i, at, 0, {}};
            if (streams_[i].idempotent_)
                a.uuid_ = jd::make_uuid(jd::loop::read_clocks().wall_, random_);
            send(std::move(a));
            due_.emplace(at + gap(i, at), i);
        }
        arm();
    }

    void send(attempt a)
    {
        stream const& s = streams_[a.stream_];
        ++a.attempts_;
        jd::request r{s.method_, s.path_, {}, {}};
        if (!s.key_.empty())
            r.headers_.push_back({jd::key_header, s.key_});
        if (!a.uuid_.empty())
            r.headers_.push_back({jd::idempotency_header, a.uuid_});
        if (!s.timeout_ms_.empty())
            r.headers_.push_back({jd::timeout_header, s.timeout_ms_});
        jd::endpoint const& to = s.targets_[random_.below(s.targets_.size())];
        std::uint64_t const number = ++last_;
        open_.emplace(number, std::move(a));
        client_.run(number, to, r, std::chrono::seconds(10));
    }

    void finish(std::uint64_t number, jd::loop::backend_result result)
    {
        attempt a = std::move(open_.at(number));
        open_.erase(number);
        jd::loop::backend_answered const* answered =
            std::get_if<jd::loop::backend_answered>(&result);
        int const status = answered ? answered->answer_.status_ : 0;
        stream const& s = streams_[a.stream_];
        if (status != 200 && a.attempts_ <= s.retries_)
            return send(std::move(a));
        duration const latency = jd::loop::read_clocks().now_ - a.intended_;
        out_ << s.name_ << "," << (a.intended_ - began_).count() / 1000 << ","
             << latency.count() << "," << status << "," << a.attempts_ << "\n";
        if (due_.empty() && open_.empty())
            loop_.quit();
    }

    jd::random_source random_;
    duration length_;
    std::ofstream out_;
    std::vector<stream> streams_;
    jd::loop::event_loop loop_;
    jd::loop::backend_client client_;
    instant began_;
    std::multimap<instant, std::size_t> due_;
    std::map<std::uint64_t, attempt> open_;
    std::uint64_t last_ = 0;
};

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    load l(YAML::LoadFile(FLAGS_profile));
    l.run();
    return EXIT_SUCCESS;
}
