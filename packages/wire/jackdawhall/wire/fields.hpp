// The fields of each value, in the order of their numbers on the wire. Append
// only: an old program must find the old fields under their old numbers.
// Not for users of the package.
#pragma once

#include <tuple>

#include <jackdawhall/control.hpp>
#include <jackdawhall/model.hpp>

namespace jackdawhall::wire
{

// Lists the members of a value type once, for writing and for reading.
#define JACKDAWHALL_FIELDS(type, ...)                                          \
    inline auto fields_of(type const& v)                                       \
    {                                                                          \
        return std::apply(                                                     \
            [&](auto... member) { return std::tie((v.*member)...); },          \
            std::tuple{__VA_ARGS__});                                          \
    }                                                                          \
    inline auto fields_of(type& v)                                             \
    {                                                                          \
        return std::apply(                                                     \
            [&](auto... member) { return std::tie((v.*member)...); },          \
            std::tuple{__VA_ARGS__});                                          \
    }

JACKDAWHALL_FIELDS(voter, &voter::host_, &voter::disk_)
JACKDAWHALL_FIELDS(claim_id, &claim_id::account_, &claim_id::key_)
JACKDAWHALL_FIELDS(
    record_key, &record_key::kind_, &record_key::name_, &record_key::schema_)
JACKDAWHALL_FIELDS(removal, &removal::key_, &removal::revision_)
JACKDAWHALL_FIELDS(account_v1, &account_v1::milli_rate_, &account_v1::burst_)
JACKDAWHALL_FIELDS(
    account_v2, &account_v2::milli_rate_, &account_v2::burst_,
    &account_v2::retry_percent_)
JACKDAWHALL_FIELDS(
    key_v1, &key_v1::account_, &key_v1::salt_, &key_v1::hash_,
    &key_v1::withdrawn_)
JACKDAWHALL_FIELDS(
    route_v1, &route_v1::method_, &route_v1::path_prefix_, &route_v1::service_,
    &route_v1::rank_, &route_v1::open_, &route_v1::repeatable_,
    &route_v1::timeout_ms_)
JACKDAWHALL_FIELDS(service_v1, &service_v1::draining_)
JACKDAWHALL_FIELDS(
    account_v3, &account_v3::milli_rate_, &account_v3::burst_,
    &account_v3::rank_)
JACKDAWHALL_FIELDS(key_v2, &key_v2::account_)
JACKDAWHALL_FIELDS(
    weighted_service, &weighted_service::service_, &weighted_service::weight_)
JACKDAWHALL_FIELDS(
    route_v2, &route_v2::virtual_host_, &route_v2::path_prefix_,
    &route_v2::services_, &route_v2::rank_, &route_v2::open_,
    &route_v2::repetition_, &route_v2::timeout_ms_, &route_v2::objective_ms_,
    &route_v2::attempts_)
JACKDAWHALL_FIELDS(
    service_v2, &service_v2::draining_, &service_v2::connections_)
JACKDAWHALL_FIELDS(
    limits_v1, &limits_v1::header_bytes_, &limits_v1::body_bytes_,
    &limits_v1::header_time_ms_, &limits_v1::idle_time_ms_)
JACKDAWHALL_FIELDS(
    document, &document::version_, &document::base_, &document::digest_,
    &document::text_, &document::contents_)
JACKDAWHALL_FIELDS(
    document_command, &document_command::document_, &document_command::when_)
JACKDAWHALL_FIELDS(
    suspect_v1, &suspect_v1::crashes_, &suspect_v1::expires_ms_,
    &suspect_v1::processes_)
JACKDAWHALL_FIELDS(
    departure_v1, &departure_v1::started_, &departure_v1::sequence_,
    &departure_v1::recorded_ms_)
JACKDAWHALL_FIELDS(
    change, &change::operation_id_, &change::author_, &change::edits_)
JACKDAWHALL_FIELDS(accepted, &accepted::revision_)
JACKDAWHALL_FIELDS(conflict, &conflict::key_, &conflict::actual_)
JACKDAWHALL_FIELDS(rejected, &rejected::what_, &rejected::mend_)
JACKDAWHALL_FIELDS(unknown_outcome, &unknown_outcome::what_)
JACKDAWHALL_FIELDS(
    history_entry, &history_entry::revision_, &history_entry::when_,
    &history_entry::author_, &history_entry::summary_)
JACKDAWHALL_FIELDS(
    completed_operation, &completed_operation::operation_id_,
    &completed_operation::outcome_)

inline std::tuple<> fields_of(no_op const&)
{
    return {};
}
JACKDAWHALL_FIELDS(
    change_command, &change_command::change_, &change_command::when_)
JACKDAWHALL_FIELDS(
    claim_command, &claim_command::id_, &claim_command::body_hash_,
    &claim_command::run_, &claim_command::holder_, &claim_command::when_)
JACKDAWHALL_FIELDS(
    release_command, &release_command::id_, &release_command::run_,
    &release_command::holder_)
JACKDAWHALL_FIELDS(
    voters_command, &voters_command::voters_, &voters_command::when_)
JACKDAWHALL_FIELDS(
    log_entry, &log_entry::index_, &log_entry::term_, &log_entry::command_)
JACKDAWHALL_FIELDS(
    claim, &claim::id_, &claim::body_hash_, &claim::run_, &claim::holder_)
JACKDAWHALL_FIELDS(
    snapshot, &snapshot::last_index_, &snapshot::last_term_, &snapshot::voters_,
    &snapshot::revision_, &snapshot::compacted_revision_, &snapshot::records_,
    &snapshot::removals_, &snapshot::operations_, &snapshot::history_,
    &snapshot::claims_, &snapshot::claims_horizon_,
    &snapshot::document_version_, &snapshot::document_text_,
    &snapshot::document_records_)
JACKDAWHALL_FIELDS(
    control::hard_state, &control::hard_state::term_,
    &control::hard_state::voted_for_)

JACKDAWHALL_FIELDS(
    vote_request, &vote_request::term_, &vote_request::candidate_,
    &vote_request::recipient_, &vote_request::last_index_,
    &vote_request::last_term_, &vote_request::pre_vote_)
JACKDAWHALL_FIELDS(
    vote_response, &vote_response::term_, &vote_response::voter_,
    &vote_response::pre_vote_, &vote_response::granted_)
JACKDAWHALL_FIELDS(
    append_request, &append_request::term_, &append_request::leader_,
    &append_request::previous_index_, &append_request::previous_term_,
    &append_request::entries_, &append_request::leader_commit_,
    &append_request::leader_time_, &append_request::echoed_stamp_,
    &append_request::echoed_incarnation_, &append_request::majority_age_,
    &append_request::commit_in_current_term_)
JACKDAWHALL_FIELDS(
    append_response, &append_response::term_, &append_response::voter_,
    &append_response::success_, &append_response::match_index_,
    &append_response::leader_time_, &append_response::stamp_,
    &append_response::incarnation_)
JACKDAWHALL_FIELDS(
    install_snapshot, &install_snapshot::term_, &install_snapshot::leader_,
    &install_snapshot::snapshot_, &install_snapshot::leader_time_)
JACKDAWHALL_FIELDS(
    join_request, &join_request::voter_, &join_request::log_empty_)

JACKDAWHALL_FIELDS(
    configuration_update, &configuration_update::from_,
    &configuration_update::to_, &configuration_update::full_,
    &configuration_update::records_, &configuration_update::removals_)
JACKDAWHALL_FIELDS(control_host_list, &control_host_list::hosts_)
JACKDAWHALL_FIELDS(
    account_demand, &account_demand::account_, &account_demand::milli_rate_)
JACKDAWHALL_FIELDS(local_share, &local_share::account_, &local_share::part_)
JACKDAWHALL_FIELDS(location, &location::region_, &location::zone_)
JACKDAWHALL_FIELDS(located_host, &located_host::host_, &located_host::location_)
JACKDAWHALL_FIELDS(endpoint, &endpoint::address_, &endpoint::port_)
JACKDAWHALL_FIELDS(
    backend_server, &backend_server::host_, &backend_server::location_,
    &backend_server::gate_, &backend_server::service_, &backend_server::id_,
    &backend_server::slots_, &backend_server::connections_,
    &backend_server::state_, &backend_server::incarnation_)
JACKDAWHALL_FIELDS(
    renewal_request, &renewal_request::host_, &renewal_request::incarnation_,
    &renewal_request::stamp_, &renewal_request::known_revision_,
    &renewal_request::newest_schema_, &renewal_request::location_,
    &renewal_request::servers_, &renewal_request::wanted_,
    &renewal_request::membership_version_, &renewal_request::demand_,
    &renewal_request::membership_incarnation_,
    &renewal_request::answered_stamp_, &renewal_request::contact_timeout_,
    &renewal_request::local_shares_, &renewal_request::known_daemons_)
JACKDAWHALL_FIELDS(listed_server, &listed_server::host_, &listed_server::id_)
JACKDAWHALL_FIELDS(
    service_servers, &service_servers::service_, &service_servers::servers_,
    &service_servers::partial_, &service_servers::removed_)
JACKDAWHALL_FIELDS(
    renewal_response, &renewal_response::incarnation_,
    &renewal_response::stamp_, &renewal_response::age_,
    &renewal_response::confirmed_, &renewal_response::update_,
    &renewal_response::leader_, &renewal_response::membership_version_,
    &renewal_response::services_, &renewal_response::control_hosts_,
    &renewal_response::daemons_, &renewal_response::membership_incarnation_,
    &renewal_response::local_shares_)
JACKDAWHALL_FIELDS(
    confirmation_request, &confirmation_request::host_,
    &confirmation_request::incarnation_, &confirmation_request::stamp_,
    &confirmation_request::known_revision_)
JACKDAWHALL_FIELDS(
    confirmation_response, &confirmation_response::incarnation_,
    &confirmation_response::stamp_, &confirmation_response::age_,
    &confirmation_response::confirmed_, &confirmation_response::update_,
    &confirmation_response::membership_incarnation_)
JACKDAWHALL_FIELDS(
    served_daemon, &served_daemon::host_, &served_daemon::incarnation_,
    &served_daemon::stamp_)
JACKDAWHALL_FIELDS(
    membership_report, &membership_report::origin_,
    &membership_report::incarnation_, &membership_report::from_version_,
    &membership_report::to_version_, &membership_report::present_,
    &membership_report::removed_, &membership_report::location_,
    &membership_report::daemons_, &membership_report::demand_,
    &membership_report::newly_served_)
JACKDAWHALL_FIELDS(membership_request, &membership_request::requester_)

JACKDAWHALL_FIELDS(
    grant_report, &grant_report::grant_, &grant_report::remaining_,
    &grant_report::closed_)
JACKDAWHALL_FIELDS(ranked_calls, &ranked_calls::rank_, &ranked_calls::count_)
JACKDAWHALL_FIELDS(
    grant_request, &grant_request::host_, &grant_request::incarnation_,
    &grant_request::account_, &grant_request::number_, &grant_request::waiting_,
    &grant_request::wanted_, &grant_request::reports_,
    &grant_request::waiting_by_rank_)
JACKDAWHALL_FIELDS(
    grant_response, &grant_response::incarnation_, &grant_response::account_,
    &grant_response::number_, &grant_response::result_, &grant_response::grant_,
    &grant_response::tokens_, &grant_response::length_,
    &grant_response::retry_after_)

JACKDAWHALL_FIELDS(
    claim_request, &claim_request::id_, &claim_request::body_hash_,
    &claim_request::run_, &claim_request::holder_)
JACKDAWHALL_FIELDS(
    claim_response, &claim_response::id_, &claim_response::run_,
    &claim_response::result_, &claim_response::holder_,
    &claim_response::requester_)
JACKDAWHALL_FIELDS(
    claim_release, &claim_release::id_, &claim_release::run_,
    &claim_release::holder_)
JACKDAWHALL_FIELDS(
    claim_released, &claim_released::id_, &claim_released::run_,
    &claim_released::holder_)
JACKDAWHALL_FIELDS(
    outcome_request, &outcome_request::number_, &outcome_request::id_)
JACKDAWHALL_FIELDS(
    outcome_response, &outcome_response::number_, &outcome_response::verdict_)
JACKDAWHALL_FIELDS(
    change_request, &change_request::number_, &change_request::requester_,
    &change_request::change_)
JACKDAWHALL_FIELDS(
    change_response, &change_response::number_, &change_response::outcome_,
    &change_response::operation_)

JACKDAWHALL_FIELDS(
    document_request, &document_request::number_, &document_request::requester_,
    &document_request::document_)
JACKDAWHALL_FIELDS(
    resent_document, &resent_document::first_sent_in_,
    &resent_document::request_)

JACKDAWHALL_FIELDS(header, &header::name_, &header::value_)
JACKDAWHALL_FIELDS(
    request, &request::method_, &request::path_, &request::headers_,
    &request::body_)
JACKDAWHALL_FIELDS(answer, &answer::status_, &answer::headers_, &answer::body_)
JACKDAWHALL_FIELDS(not_run, &not_run::reason_, &not_run::retry_after_)
JACKDAWHALL_FIELDS(may_have_run, &may_have_run::reason_)
JACKDAWHALL_FIELDS(ran, &ran::answer_)
JACKDAWHALL_FIELDS(
    call_context, &call_context::root_, &call_context::account_,
    &call_context::rank_, &call_context::timeout_, &call_context::retries_,
    &call_context::depth_, &call_context::repeatable_, &call_context::caller_,
    &call_context::objective_, &call_context::route_rank_)
JACKDAWHALL_FIELDS(
    forward_request, &forward_request::number_, &forward_request::service_,
    &forward_request::server_id_, &forward_request::context_,
    &forward_request::suspect_, &forward_request::request_)
JACKDAWHALL_FIELDS(
    forward_response, &forward_response::number_, &forward_response::verdict_,
    &forward_response::retries_unused_, &forward_response::admitted_,
    &forward_response::in_use_, &forward_response::limit_,
    &forward_response::shed_, &forward_response::makes_calls_,
    &forward_response::time_at_gate_, &forward_response::failures_per_thousand_,
    &forward_response::mean_run_time_)
JACKDAWHALL_FIELDS(cancel_forward, &cancel_forward::number_)
JACKDAWHALL_FIELDS(
    forward_inquiry, &forward_inquiry::incarnation_,
    &forward_inquiry::forwards_)
JACKDAWHALL_FIELDS(
    reported_forward, &reported_forward::number_, &reported_forward::status_)
JACKDAWHALL_FIELDS(forward_report, &forward_report::forwards_)
JACKDAWHALL_FIELDS(
    crash_report, &crash_report::host_, &crash_report::server_id_,
    &crash_report::suspects_, &crash_report::started_)
JACKDAWHALL_FIELDS(
    suspect_completed, &suspect_completed::host_, &suspect_completed::suspect_)
JACKDAWHALL_FIELDS(
    departure_report, &departure_report::host_, &departure_report::server_id_,
    &departure_report::started_, &departure_report::sequence_)

#undef JACKDAWHALL_FIELDS

} // namespace jackdawhall::wire
