#include <jackdawhall/ctl/command.hpp>

namespace jackdawhall::ctl
{

namespace
{

using words = std::vector<std::string>;

leaf::result<command> parse_account(words const& w, options const& o)
{
    if (w.size() == 2 && w[1] == "list")
        return list_records{
            "account",
            {"name", "schema", "rate", "burst", "retry_percent", "revision"}};
    if (w.size() == 3 && w[1] == "set")
        return set_account{w[2]};
    if (w.size() == 3 && w[1] == "remove")
        return remove_record{{"account", w[2], o.schema_}};
    return bad_usage("unknown command 'account'");
}

leaf::result<command> parse_key(words const& w)
{
    if (w.size() == 2 && w[1] == "list")
        return list_records{
            "key", {"name", "account", "withdrawn", "revision"}};
    if (w.size() == 4 && w[1] == "create")
        return create_key{w[2], w[3]};
    if (w.size() == 3 && w[1] == "withdraw")
        return withdraw_key{w[2]};
    if (w.size() == 3 && w[1] == "remove")
        return remove_record{{"key", w[2], 1}};
    return bad_usage("unknown command 'key'; keys are named ACCOUNT/KEY");
}

leaf::result<command>
parse_rank(std::string const& route, std::string const& text)
{
    if (text.size() != 1 || text[0] < '0' || text[0] > '9')
        return bad_usage("a rank is 0 (matters most) to 9");
    return set_rank{route, static_cast<rank>(text[0] - '0')};
}

leaf::result<command> parse_route(words const& w)
{
    if (w.size() == 2 && w[1] == "list")
        return list_records{
            "route",
            {"name", "method", "path", "service", "rank", "open", "repeatable",
             "timeout_ms", "revision"}};
    if (w.size() == 3 && w[1] == "set")
        return set_route{w[2]};
    if (w.size() == 4 && w[1] == "rank")
        return parse_rank(w[2], w[3]);
    if (w.size() == 3 && w[1] == "remove")
        return remove_record{{"route", w[2], 1}};
    return bad_usage("unknown command 'route'");
}

leaf::result<command> parse_service(words const& w)
{
    if (w.size() == 2 && w[1] == "list")
        return list_records{"service", {"name", "draining", "revision"}};
    if (w.size() == 3 && (w[1] == "drain" || w[1] == "undrain"))
        return drain_service{w[2], w[1] == "drain"};
    return bad_usage("unknown command 'service'");
}

} // namespace

leaf::error_id bad_usage(std::string const& what)
{
    return leaf::new_error(user_error{what, "see 'jackdawhallctl --help'"});
}

leaf::result<command> parse_command(words const& w, options const& o)
{
    if (w.empty())
        return bad_usage("no command");
    if (w[0] == "account")
        return parse_account(w, o);
    if (w[0] == "key")
        return parse_key(w);
    if (w[0] == "route")
        return parse_route(w);
    if (w[0] == "service")
        return parse_service(w);
    if (w[0] == "status" && w.size() == 1)
        return show_status{};
    if (w[0] == "history" && w.size() == 1)
        return show_history{};
    if (w[0] == "counters" && w.size() == 1)
        return show_counters{};
    if (w[0] == "apply" && w.size() == 1)
        return apply_file{};
    return bad_usage("unknown command '" + w[0] + "'");
}

std::string usage()
{
    return "--control ADDRESS:PORT[,...] --token_file FILE COMMAND\n\n"
           "  account list | set NAME --rate R --burst B [--retry_percent P]\n"
           "          | remove NAME [--schema N]\n"
           "  key create ACCOUNT KEY | list | withdraw ACCOUNT/KEY\n"
           "          | remove ACCOUNT/KEY\n"
           "  route list | set NAME --path P --service S [--method M]\n"
           "          [--rank N] [--open] [--repeatable] [--timeout_ms T]\n"
           "          | rank NAME N | remove NAME\n"
           "  service list | drain NAME | undrain NAME\n"
           "  apply -f FILE [--dry_run]\n"
           "  status | history | counters\n\n"
           "Changes also take --operation_id, --expected_revision, --author\n"
           "and --wait. --output=json prints JSON. Exit status: 0 done,\n"
           "1 conflict or rejected, 2 usage, 3 unreachable, 4 unknown\n"
           "outcome.";
}

} // namespace jackdawhall::ctl
