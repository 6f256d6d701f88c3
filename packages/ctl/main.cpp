// jackdawhallctl: the operators' client.
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include <gflags/gflags.h>
#include <jackdawhall/ctl.hpp>

DEFINE_string(control, "", "operators' addresses of control hosts, with ','");
DEFINE_string(token_file, "", "file with the operators' token");
DEFINE_string(output, "table", "table or json");
DEFINE_string(operation_id, "", "id of the change; a resend has the same");
DEFINE_string(author, "", "who makes the change; by default $USER");
DEFINE_int64(expected_revision, -1, "revision that the record must have");
DEFINE_bool(dry_run, false, "apply: show the difference only");
DEFINE_bool(wait, false, "return once the change is in force everywhere");
DEFINE_string(f, "", "apply: file of records (YAML)");
DEFINE_double(rate, -1, "account: requests per second");
DEFINE_int64(burst, -1, "account: requests at once");
DEFINE_int64(retry_percent, -1, "account: retries per hundred first tries");
DEFINE_uint32(schema, 1, "schema version of the record");
DEFINE_string(method, "", "route: HTTP method; by default every one");
DEFINE_string(path, "", "route: path, and all below it");
DEFINE_string(service, "", "route: service that serves it");
DEFINE_int64(rank, -1, "route: 0 matters most, 9 least");
DEFINE_bool(open, false, "route: needs no key");
DEFINE_bool(repeatable, false, "route: may run more than once");
DEFINE_int64(timeout_ms, 1000, "route: time for a call, in milliseconds");

namespace
{

namespace jd = jackdawhall;
namespace ctl = jackdawhall::ctl;

std::vector<jd::endpoint> parse_hosts(std::string const& text)
{
    std::vector<jd::endpoint> hosts;
    std::istringstream in(text);
    for (std::string one; std::getline(in, one, ',');)
    {
        std::size_t const colon = one.rfind(':');
        int const port =
            colon == std::string::npos ? 0 : std::atoi(one.c_str() + colon + 1);
        if (port < 1 || port > 65535)
            return {};
        hosts.push_back(
            {one.substr(0, colon), static_cast<std::uint16_t>(port)});
    }
    return hosts;
}

std::string read_token(std::string const& path)
{
    std::ifstream in(path);
    std::string token;
    std::getline(in, token);
    return token;
}

std::string default_author()
{
    char const* user = std::getenv("USER");
    return user ? user : "unknown";
}

std::string fresh_operation_id()
{
    jd::random_source random = jd::random_source::from_system_entropy();
    return random.hex(16);
}

template <class Value>
std::optional<Value> if_given(Value value)
{
    return value < 0 ? std::nullopt : std::optional<Value>(value);
}

ctl::options read_options()
{
    ctl::options o;
    o.json_ = FLAGS_output == "json";
    o.operation_id_ =
        FLAGS_operation_id.empty() ? fresh_operation_id() : FLAGS_operation_id;
    o.author_ = FLAGS_author.empty() ? default_author() : FLAGS_author;
    if (FLAGS_expected_revision >= 0)
        o.expected_ = static_cast<jd::revision>(FLAGS_expected_revision);
    o.dry_run_ = FLAGS_dry_run;
    o.wait_ = FLAGS_wait;
    o.file_ = FLAGS_f;
    o.rate_ = if_given(FLAGS_rate);
    o.burst_ = if_given(FLAGS_burst);
    o.retry_percent_ = if_given(FLAGS_retry_percent);
    o.schema_ = FLAGS_schema;
    o.method_ = FLAGS_method;
    o.path_ = FLAGS_path;
    o.service_ = FLAGS_service;
    o.rank_ = if_given(FLAGS_rank);
    o.open_ = FLAGS_open;
    o.repeatable_ = FLAGS_repeatable;
    o.timeout_ms_ = FLAGS_timeout_ms;
    return o;
}

int complain(jd::user_error const& e, int status)
{
    std::cerr << "jackdawhallctl: " << e.what_ << "; " << e.mend_ << "\n";
    return status;
}

int run(ctl::control_client const& client, std::vector<std::string> const& w)
{
    ctl::options const o = read_options();
    return jd::leaf::try_handle_all(
        [&] { return ctl::run_command(client, w, o, std::cout); },
        [&](jd::user_error const& e)
        {
            bool const silent =
                e.what_.find("gave no answer") != std::string::npos;
            return complain(
                e, silent ? ctl::unreachable_status : ctl::usage_status);
        },
        [] {
            return complain({"unknown error", "report it"}, EXIT_FAILURE);
        });
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(ctl::usage());
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    ctl::control_client const client{
        parse_hosts(FLAGS_control), read_token(FLAGS_token_file)};
    if (client.hosts_.empty())
        return complain(
            {"--control names no address", "write ADDRESS:PORT[,...]"},
            ctl::usage_status);
    if (client.token_.empty())
        return complain(
            {"--token_file names no readable file with a token",
             "name the file that operator_token_file names"},
            ctl::usage_status);
    if (FLAGS_output != "table" && FLAGS_output != "json")
        return complain(
            {"--output is neither table nor json", "write one of them"},
            ctl::usage_status);
    return run(client, {argv + 1, argv + argc});
}
