#include <jackdawhall/daemon/control_disk.hpp>

#include <jackdawhall/wire.hpp>

namespace jackdawhall::daemon
{

namespace
{

constexpr std::uint8_t identity_kind = 1;
constexpr std::uint8_t hard_state_kind = 2;
constexpr std::uint8_t entry_kind = 3;
constexpr std::uint8_t snapshot_kind = 4;

void take_entry(control::recovered_state& r, log_entry entry)
{
    log_index const base = r.snapshot_.last_index_;
    if (entry.index_ <= base)
        return;
    // An entry replaces all from its index on.
    if (entry.index_ - base - 1 < r.entries_.size())
        r.entries_.resize(entry.index_ - base - 1);
    r.entries_.push_back(std::move(entry));
}

} // namespace

leaf::result<void>
take_record(control::recovered_state& r, journal::raw_record const& record)
{
    switch (record.kind_)
    {
    case identity_kind:
    {
        BOOST_LEAF_ASSIGN(r.self_, wire::decode_voter(record.bytes_));
        return {};
    }
    case hard_state_kind:
    {
        BOOST_LEAF_ASSIGN(
            r.hard_state_, wire::decode_hard_state(record.bytes_));
        return {};
    }
    case entry_kind:
    {
        BOOST_LEAF_AUTO(entry, wire::decode_entry(record.bytes_));
        take_entry(r, std::move(entry));
        return {};
    }
    case snapshot_kind:
    {
        BOOST_LEAF_ASSIGN(r.snapshot_, wire::decode_snapshot(record.bytes_));
        r.entries_.clear();
        return {};
    }
    default:
        return leaf::new_error(user_error{
            "the journal holds a record of an unknown kind",
            "run the release of jackdawhall that wrote it, or a newer one"});
    }
}

leaf::result<void> check_identity(
    control::recovered_state& r, host_name const& self, random_source& random,
    bool& new_identity)
{
    new_identity = r.self_.host_.empty();
    if (new_identity)
        r.self_ = {self, random.next()};
    if (r.self_.host_ != self)
        return leaf::new_error(user_error{
            "the data folder belongs to host " + r.self_.host_.str(),
            "name this host's own folder in data_folder"});
    return {};
}

journal::raw_record identity_record(voter const& self)
{
    return {identity_kind, wire::encode(self)};
}

leaf::result<void>
write_store(journal::journal_file& to, control::store_hard_state const& s)
{
    return to.append({hard_state_kind, wire::encode(s.hard_state_)});
}

leaf::result<void>
write_store(journal::journal_file& to, control::store_entries const& s)
{
    for (log_entry const& entry : s.entries_)
        BOOST_LEAF_CHECK(to.append({entry_kind, wire::encode(entry)}));
    return {};
}

leaf::result<void> write_store(
    journal::journal_file& to, control::store_snapshot const& s,
    voter const& self)
{
    std::vector<journal::raw_record> records{
        identity_record(self),
        {hard_state_kind, wire::encode(s.hard_state_)},
        {snapshot_kind, wire::encode(s.snapshot_)}};
    for (log_entry const& entry : s.retained_entries_)
        records.push_back({entry_kind, wire::encode(entry)});
    return to.replace(records);
}

} // namespace jackdawhall::daemon
