// A document replaces all records set by the previous document. Unchanged
// records keep their revision, so that daemons are sent only the difference.
#include <jackdawhall/control/apply_command.hpp>

namespace jackdawhall::control
{

namespace
{

std::optional<change_outcome>
validate_document(state_machine const& m, document const& d)
{
    if (std::optional<rejected> const error = check_document(d))
        return *error;
    if (d.base_ != m.document_version_)
        return conflict{
            document_key(), static_cast<revision>(m.document_version_)};
    if (d.version_ <= m.document_version_)
        return rejected{
            "the version is not above the current one",
            "choose a version above " + std::to_string(m.document_version_)};
    return std::nullopt;
}

void replace_records(state_machine& m, document const& d)
{
    std::set<record_key> const old = std::exchange(m.document_records_, {});
    for (auto const& [key, body] : d.contents_)
    {
        m.document_records_.insert(key);
        auto const held = m.records_.find(key);
        if (held == m.records_.end() || held->second.body_ != body)
            m.records_.insert_or_assign(key, record{key, m.revision_, body});
    }
    for (record_key const& key : old)
    {
        if (!m.document_records_.contains(key))
            remove_record(m, key);
    }
}

} // namespace

std::string document_operation_id(document const& d)
{
    return "document-" + d.digest_;
}

record_key document_key()
{
    return {"document", "current", 1};
}

std::optional<rejected> check_document(document const& d)
{
    std::set<std::string> services;
    std::set<record_key> seen;
    for (auto const& [key, body] : d.contents_)
    {
        if (std::optional<rejected> const error = check_edit({key, 0, body}))
            return error;
        if (!seen.insert(key).second)
            return rejected{
                to_text(key) + " appears twice in the document",
                "keep one of them"};
        if (std::holds_alternative<service_v2>(body))
            services.insert(key.name_);
    }
    for (auto const& placed : d.contents_)
    {
        route_v2 const* route = std::get_if<route_v2>(&placed.second);
        if (!route)
            continue;
        for (weighted_service const& s : route->services_)
        {
            if (!services.contains(s.service_.str()))
                return rejected{
                    "a route names the unknown service " + s.service_.str(),
                    "add the service, or name another"};
        }
    }
    return std::nullopt;
}

apply_step apply_document(state_machine m, document_command const& c)
{
    document const& wanted = c.document_;
    std::string const operation = document_operation_id(wanted);
    auto const known = m.outcomes_.find(operation);
    if (known != m.outcomes_.end())
    {
        change_outcome const first = known->second;
        return {std::move(m), change_applied{operation, first}};
    }
    if (std::optional<change_outcome> const error =
            validate_document(m, wanted))
        return {std::move(m), change_applied{operation, *error}};
    ++m.revision_;
    replace_records(m, wanted);
    m.document_version_ = wanted.version_;
    m.document_text_ = wanted.text_;
    append_history(
        m, {m.revision_, c.when_, "document",
            "version " + std::to_string(wanted.version_)});
    // Only accepted outcomes are stored: a document that is refused now may be
    // valid when it is resent later.
    accepted const outcome{m.revision_};
    record_outcome(m, operation, outcome);
    return {std::move(m), change_applied{operation, outcome}};
}

} // namespace jackdawhall::control
