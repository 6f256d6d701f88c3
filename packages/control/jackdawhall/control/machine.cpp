#include <jackdawhall/control/machine.hpp>

namespace jackdawhall::control
{

namespace
{

void add_claim(state_machine& m, claim const& c)
{
    std::optional<wall_time> const made = uuid_time(c.id_.key_);
    if (!made)
        return;
    m.claims_[*made][c.id_] = {c.body_hash_, c.run_, c.holder_};
    ++m.claim_count_;
}

} // namespace

snapshot take_snapshot(
    state_machine const& m, log_index last_index, term_number last_term,
    std::vector<voter> voters)
{
    snapshot s;
    s.last_index_ = last_index;
    s.last_term_ = last_term;
    s.voters_ = std::move(voters);
    s.revision_ = m.revision_;
    s.compacted_revision_ = m.compacted_revision_;
    for (auto const& held : m.records_)
        s.records_.push_back(held.second);
    s.removals_.assign(m.removals_.begin(), m.removals_.end());
    for (std::string const& id : m.operations_)
        s.operations_.push_back({id, m.outcomes_.at(id)});
    s.history_.assign(m.history_.begin(), m.history_.end());
    for (auto const& at : m.claims_)
    {
        for (auto const& [id, held] : at.second)
            s.claims_.push_back({id, held.body_hash_, held.run_, held.holder_});
    }
    s.claims_horizon_ = m.claims_horizon_;
    s.document_version_ = m.document_version_;
    s.document_text_ = m.document_text_;
    s.document_records_.assign(
        m.document_records_.begin(), m.document_records_.end());
    return s;
}

state_machine from_snapshot(snapshot const& s)
{
    state_machine m;
    m.revision_ = s.revision_;
    m.compacted_revision_ = s.compacted_revision_;
    for (record const& r : s.records_)
        m.records_.emplace(r.key_, r);
    m.removals_.assign(s.removals_.begin(), s.removals_.end());
    for (completed_operation const& operation : s.operations_)
    {
        m.operations_.push_back(operation.operation_id_);
        m.outcomes_.emplace(operation.operation_id_, operation.outcome_);
    }
    m.history_.assign(s.history_.begin(), s.history_.end());
    for (claim const& c : s.claims_)
        add_claim(m, c);
    m.claims_horizon_ = s.claims_horizon_;
    m.document_version_ = s.document_version_;
    m.document_text_ = s.document_text_;
    m.document_records_.insert(
        s.document_records_.begin(), s.document_records_.end());
    return m;
}

void remove_record(state_machine& m, record_key const& key)
{
    m.records_.erase(key);
    m.removals_.push_back({key, m.revision_});
    if (m.removals_.size() > max_removals)
    {
        m.compacted_revision_ = m.removals_.front().revision_;
        m.removals_.pop_front();
    }
}

void record_outcome(
    state_machine& m, std::string const& operation_id,
    change_outcome const& outcome)
{
    m.outcomes_.emplace(operation_id, outcome);
    m.operations_.push_back(operation_id);
    if (m.operations_.size() > max_past_operations)
    {
        m.outcomes_.erase(m.operations_.front());
        m.operations_.pop_front();
    }
}

void append_history(state_machine& m, history_entry entry)
{
    m.history_.push_back(std::move(entry));
    if (m.history_.size() > max_history)
        m.history_.pop_front();
}

configuration_update update_since(state_machine const& m, revision have)
{
    configuration_update update;
    update.from_ = have;
    update.to_ = m.revision_;
    update.full_ =
        have < m.compacted_revision_ || have > m.revision_ || have == 0;
    for (auto const& held : m.records_)
    {
        if (update.full_ || held.second.revision_ > have)
            update.records_.push_back(held.second);
    }
    for (removal const& gone : m.removals_)
    {
        if (!update.full_ && gone.revision_ > have)
            update.removals_.push_back(gone);
    }
    return update;
}

} // namespace jackdawhall::control
