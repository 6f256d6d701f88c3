// Drives the nodes of one daemon. Inputs queue up and are given to their node
// one after the other; effects are carried out in order. Effects that follow a
// store wait until the store is synced.
#pragma once

#include <array>
#include <deque>
#include <filesystem>
#include <memory>
#include <optional>
#include <set>

#include <jackdawhall/calls.hpp>
#include <jackdawhall/control.hpp>
#include <jackdawhall/daemon/control_disk.hpp>
#include <jackdawhall/daemon/log.hpp>
#include <jackdawhall/daemon/metrics.hpp>
#include <jackdawhall/daemon/shutdown.hpp>
#include <jackdawhall/loop.hpp>
#include <jackdawhall/platform.hpp>
#include <jackdawhall/settings.hpp>
#include <jackdawhall/wire.hpp>

namespace jackdawhall::daemon
{

class daemon
{
public:
    explicit daemon(settings::daemon_settings s);

    // Opens the journal and all addresses. Fails with user_error.
    leaf::result<void> start();

    // Says where the settings were read from, for reading them again.
    void remember_settings_file(std::string path);

    // Runs until a stop signal and the graceful stop after it. Returns the exit
    // status of the process.
    int run();

private:
    // An effect of the control node that waits for a store.
    struct held_effect
    {
        control::store_number after_ = 0;
        control::effect effect_;
    };

    // Writes a line to the log.
    void
    say(severity level, part from, std::string const& sentence,
        log_fields const& fields = {});

    leaf::result<void> begin_control();
    leaf::result<void> start_control();
    leaf::result<void> start_own_front();
    leaf::result<void> start_infrastructure();
    void reload();
    void watch_settings_file();

    // Inputs.
    void give(calls::input in);
    void give(control::input in);
    void work_off();
    void step_calls(calls::input in);
    void step_control(control::input in);
    void answer_without_control(control::input const& in);
    void arm_timer();
    void timer_fired();

    // Messages.
    void receive_bytes(host_name const& from, std::string bytes);
    void receive(host_name const& from, message m);
    void
    take_undelivered(host_name const& to, std::string bytes, bool withdrawn);
    void transmit(outgoing out);
    void connect_address(host_name const& host, message const& m);

    // Effects of the call node.
    void carry_out(calls::effect e);
    void answer_http(calls::answer_caller a);
    void answer_leaving_server(calls::answer_departure const& d);
    void log_answer(calls::answer_caller const& a);
    void run_on_backend(calls::run_on_backend const& r);
    void take_backend_result(std::uint64_t run, loop::backend_result result);

    // Effects of the control node.
    void carry_out(control::effect e);
    void perform(control::effect e);
    void store_done(control::store_number number);
    void start_sync();
    void release_held();

    // HTTP.
    // Of either front end for callers.
    loop::http_handlers
    caller_handlers(decltype(loop::http_handlers::requested_) requested);
    void
    caller_request(std::uint64_t number, request r, std::string const& remote);
    void
    announce(std::uint64_t number, request const& r, std::string const& remote);
    void operator_request(std::uint64_t number, request const& r);
    bool is_operator(request const& r) const;
    answer answer_operator_read(request const& r) const;
    void take_operator_change(std::uint64_t number, request const& r);
    wire::json status() const;
    wire::json counters() const;
    wire::json records(std::string const& kind) const;
    answer ready() const;
    std::string metrics() const;

    // The users' infrastructure.
    void infrastructure_request(std::uint64_t number, request r);
    void infrastructure_order(std::uint64_t number, request const& r);
    void answer_order(std::uint64_t number, platform::order& o);
    void
    take_deregistration(std::uint64_t number, calls::server_deregistered gone);
    void take_document(std::uint64_t number, document d);
    std::string document_text() const;
    bool is_ready() const;
    void follow_limits();

    // The disk failed: what reached it is unknown, so the control node ends
    // here and begins again from the disk, as after a restart.
    void fail_disk(std::string const& what);
    void restart_control();
    std::string try_start_control();
    // Answers all changes and documents in progress: their outcome is unknown.
    void fail_pending_changes(std::string const& why);

    // Shutdown.
    void take_stop_signal();
    void go_on_with_shutdown();
    void arm_shutdown_timer();
    void take_link_lost(host_name const& host, std::uint64_t newest);
    void enter_shutdown_phase();
    void end_shutdown();
    open_work count_open_work() const;
    std::vector<loop::http_server*> answering_servers() const;

    // The bytes held for others.
    void count_kept_by_calls();
    void log_yield(loop::yielded const& y);

    settings::daemon_settings settings_;
    loop::event_loop loop_;
    loop::budget_ptr budget_;
    loop::budget_share kept_by_calls_;
    calls::state calls_;
    std::optional<control::state> control_;
    std::optional<journal::journal_file> journal_;
    std::unique_ptr<loop::peer_links> links_;
    std::unique_ptr<loop::http_server> callers_;
    std::unique_ptr<loop::http_server> operators_;
    std::unique_ptr<loop::http_server> orders_;    // of the infrastructure
    std::unique_ptr<loop::http_server> readiness_; // of the infrastructure
    std::unique_ptr<loop::backend_client> backends_;
    std::string settings_file_;
    std::optional<std::filesystem::file_time_type> settings_written_;
    loop::event_loop::delayed settings_watch_;
    revision limits_as_of_ = 0; // revision whose limits the callers' side has

    std::deque<std::variant<calls::input, control::input>> inputs_;
    bool working_ = false;

    control::store_number last_store_ = 0;
    control::store_number synced_store_ = 0;
    bool syncing_ = false;        // a sync job is in progress
    std::uint64_t disk_runs_ = 0; // of the control node, in this process
    loop::event_loop::delayed restart_;
    std::string disk_problem_; // latest reason why the node cannot start
    std::deque<held_effect> held_;

    std::map<std::uint64_t, instant> request_began_;
    std::set<std::uint64_t> operator_changes_; // waiting for their outcome
    // Documents that wait for their outcome: number at the control node, and
    // at the server for orders.
    std::map<std::uint64_t, std::uint64_t> order_documents_;
    std::uint64_t last_document_ = 0;
    latency request_latency_;
    std::array<latency, static_cast<std::size_t>(calls::stage::last_) + 1>
        stage_latency_;
    latency sync_latency_;
    shutdown_state shutdown_;
    loop::event_loop::delayed shutdown_timer_;
};

} // namespace jackdawhall::daemon
