#include <jackdawhall/model/size.hpp>

#include <numeric>

#include <jackdawhall/model/step.hpp>

namespace jackdawhall
{

namespace
{

// Bytes of a value's numbers, and of the lengths of its texts and lists.
constexpr std::size_t fixed_bytes = 24;

template <class List, class Size>
std::size_t sum(List const& list, Size size)
{
    return std::accumulate(
        list.begin(), list.end(), std::size_t{0},
        [&](std::size_t total, auto const& each)
        { return total + size(each); });
}

std::size_t size_of(voter const& v)
{
    return fixed_bytes + v.host_.str().size();
}

std::size_t size_of(record_key const& k)
{
    return fixed_bytes + k.kind_.size() + k.name_.size();
}

std::size_t size_of(claim_id const& id)
{
    return fixed_bytes + id.account_.str().size() + id.key_.size();
}

std::size_t size_of(weighted_service const& s)
{
    return fixed_bytes + s.service_.str().size();
}

std::size_t size_of(record_body const& body)
{
    std::size_t const texts = std::visit(
        overloaded{
            [](key_v1 const& k) {
                return k.account_.str().size() + k.salt_.size() +
                       k.hash_.size();
            },
            [](key_v2 const& k) { return k.account_.str().size(); },
            [](route_v1 const& r) {
                return r.method_.size() + r.path_prefix_.size() +
                       r.service_.str().size();
            },
            [](route_v2 const& r)
            {
                return r.virtual_host_.size() + r.path_prefix_.size() +
                       sum(r.services_, [](weighted_service const& s)
                           { return size_of(s); });
            },
            [](unknown_record const& r) { return r.payload_.size(); },
            [](auto const&) { return std::size_t{0}; },
        },
        body);
    return 2 * fixed_bytes + texts;
}

std::size_t size_of(edit const& e)
{
    return size_of(e.key_) + (e.body_ ? size_of(*e.body_) : 0);
}

std::size_t size_of(change_outcome const& outcome)
{
    return std::visit(
        overloaded{
            [](accepted const&) { return fixed_bytes; },
            [](conflict const& c) { return size_of(c.key_); },
            [](rejected const& r)
            { return fixed_bytes + r.what_.size() + r.mend_.size(); },
            [](unknown_outcome const& u)
            { return fixed_bytes + u.what_.size(); },
        },
        outcome);
}

std::size_t size_of(document const& d)
{
    return 2 * fixed_bytes + d.digest_.size() + d.text_.size() +
           sum(d.contents_, [](auto const& placed)
               { return size_of(placed.first) + size_of(placed.second); });
}

std::size_t size_of(change const& c)
{
    return fixed_bytes + c.operation_id_.size() + c.author_.size() +
           sum(c.edits_, [](edit const& e) { return size_of(e); });
}

std::size_t size_of(std::vector<voter> const& voters)
{
    return sum(voters, [](voter const& v) { return size_of(v); });
}

std::size_t size_of(command const& c)
{
    return std::visit(
        overloaded{
            [](no_op const&) { return std::size_t{0}; },
            [](change_command const& m) { return size_of(m.change_); },
            [](claim_command const& m)
            {
                return size_of(m.id_) + m.body_hash_.size() + m.run_.size() +
                       m.holder_.str().size();
            },
            [](release_command const& m)
            { return size_of(m.id_) + m.run_.size() + m.holder_.str().size(); },
            [](voters_command const& m) { return size_of(m.voters_); },
            [](document_command const& m) { return size_of(m.document_); },
        },
        c);
}

std::size_t size_of(claim const& c)
{
    return size_of(c.id_) + c.body_hash_.size() + c.run_.size() +
           c.holder_.str().size();
}

std::size_t size_of(history_entry const& e)
{
    return fixed_bytes + e.author_.size() + e.summary_.size();
}

} // namespace

std::size_t estimated_size(log_entry const& entry)
{
    return 2 * fixed_bytes + size_of(entry.command_);
}

std::size_t estimated_size(snapshot const& s)
{
    std::size_t const records =
        sum(s.records_,
            [](record const& r) { return size_of(r.key_) + size_of(r.body_); });
    std::size_t const removals =
        sum(s.removals_, [](removal const& r) { return size_of(r.key_); });
    std::size_t const operations =
        sum(s.operations_, [](completed_operation const& o)
            { return o.operation_id_.size() + size_of(o.outcome_); });
    std::size_t const history =
        sum(s.history_, [](history_entry const& e) { return size_of(e); });
    std::size_t const claims =
        sum(s.claims_, [](claim const& c) { return size_of(c); });
    std::size_t const document =
        s.document_text_.size() + sum(s.document_records_,
                                      [](record_key const& k)
                                      { return size_of(k); });
    return fixed_bytes + size_of(s.voters_) + records + removals + operations +
           history + claims + document;
}

} // namespace jackdawhall
