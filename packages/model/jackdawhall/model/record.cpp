#include <jackdawhall/model/record.hpp>

#include <jackdawhall/model/verdict.hpp>

namespace jackdawhall
{

std::string to_text(record_key const& key)
{
    return key.kind_ + "/" + key.name_ + "@" + std::to_string(key.schema_);
}

std::string departure_name(host_name const& host, std::string const& server_id)
{
    return host.str() + "/" + server_id;
}

std::string_view to_text(repetition r)
{
    switch (r)
    {
    case repetition::repeatable:
        return "repeatable";
    case repetition::once_per_key:
        return "once_per_key";
    case repetition::once_per_attempt:
        return "once_per_attempt";
    }
    return "once_per_attempt";
}

std::optional<std::pair<std::string, std::uint32_t>>
schema_of(record_body const& body)
{
    using schema = std::pair<std::string, std::uint32_t>;
    return std::visit(
        overloaded{
            [](account_v1 const&) -> std::optional<schema> {
                return schema{"account", 1};
            },
            [](account_v2 const&) -> std::optional<schema> {
                return schema{"account", 2};
            },
            [](key_v1 const&) -> std::optional<schema> {
                return schema{"key", 1};
            },
            [](route_v1 const&) -> std::optional<schema> {
                return schema{"route", 1};
            },
            [](service_v1 const&) -> std::optional<schema> {
                return schema{"service", 1};
            },
            [](suspect_v1 const&) -> std::optional<schema> {
                return schema{"suspect", 1};
            },
            [](account_v3 const&) -> std::optional<schema> {
                return schema{"account", 3};
            },
            [](key_v2 const&) -> std::optional<schema> {
                return schema{"key", 2};
            },
            [](route_v2 const&) -> std::optional<schema> {
                return schema{"route", 2};
            },
            [](service_v2 const&) -> std::optional<schema> {
                return schema{"service", 2};
            },
            [](limits_v1 const&) -> std::optional<schema> {
                return schema{"limits", 1};
            },
            [](departure_v1 const&) -> std::optional<schema> {
                return schema{"departure", 1};
            },
            [](unknown_record const&) -> std::optional<schema>
            { return std::nullopt; },
        },
        body);
}

} // namespace jackdawhall
