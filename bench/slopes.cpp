// Slopes for docs/CAPACITY.md: processor time, bytes and memory of one node for
// each kind of work, at several sizes, driven from memory without sockets.
// Times include encoding and decoding of the messages.
#include <chrono>
#include <cstdio>
#include <fstream>
#include <string>
#include <unistd.h>

#include <gflags/gflags.h>
#include <jackdawhall/calls.hpp>
#include <jackdawhall/control.hpp>
#include <jackdawhall/wire.hpp>

namespace
{

using namespace jackdawhall;
using namespace std::chrono_literals;

std::size_t resident_bytes()
{
    std::ifstream in("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    in >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

double cpu_us()
{
    timespec t{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
    return static_cast<double>(t.tv_sec) * 1e6 +
           static_cast<double>(t.tv_nsec) / 1e3;
}

host_name host(std::size_t i)
{
    return host_name::make("host-" + std::to_string(i)).value();
}

service_name service(std::size_t i)
{
    return service_name::make("service-" + std::to_string(i)).value();
}

// A control node that leads alone; its stores count as synced at once.
struct lone_leader
{
    lone_leader()
    {
        control::consensus_settings c;
        c.self_ = host(0);
        c.control_hosts_ = {host(0)};
        control::recovered_state disk;
        disk.self_ = {host(0), 1};
        disk.entries_ = {{1, 1, voters_command{{disk.self_}, {}}}};
        disk.hard_state_.term_ = 1;
        node_ = control::make_state(c, disk, random_source(1), now_);
        for (int i = 0; i < 100; ++i)
        {
            now_ += 100ms;
            give(timer_expired{});
        }
    }

    // Gives an input; returns the bytes that it sends.
    std::size_t give(control::input in)
    {
        control::node_step step = control::run(
            std::move(node_), std::move(in), clock_reading{now_, wall_});
        node_ = std::move(step.state_);
        std::size_t bytes = 0;
        control::store_number stored = 0;
        for (control::effect const& e : step.effects_)
        {
            if (send const* s = std::get_if<send>(&e))
                bytes += wire::encode(s->outgoing_.message_).size();
            if (auto const* s = std::get_if<control::store_entries>(&e))
                stored = s->number_;
            if (auto const* s = std::get_if<control::store_hard_state>(&e))
                stored = std::max(stored, s->number_);
            if (auto const* s = std::get_if<control::store_snapshot>(&e))
                stored = std::max(stored, s->number_);
        }
        if (stored != 0)
            bytes += give(control::stores_synced{stored});
        return bytes;
    }

    std::size_t give_message(message const& m)
    {
        std::string const bytes = wire::encode(m);
        return give(received{host(1), wire::decode_message(bytes).value()});
    }

    instant now_{1h};
    wall_time wall_{std::chrono::milliseconds{1'800'000'000'000}};
    control::state node_;
};

renewal_request
make_renewal(std::size_t i, revision have, std::uint64_t version)
{
    renewal_request r;
    r.host_ = host(i);
    r.incarnation_ = i;
    r.known_revision_ = have;
    r.membership_version_ = version;
    backend_server s;
    s.host_ = host(i);
    s.service_ = service(i % 260);
    s.id_ = "run-" + std::to_string(i);
    r.servers_ = {s};
    for (std::size_t k = 1; k <= 5; ++k)
        r.wanted_.push_back(service((i + k) % 260));
    return r;
}

void measure_renewals(std::size_t daemons)
{
    lone_leader leader;
    std::size_t const before = resident_bytes();
    for (std::size_t i = 0; i < daemons; ++i)
        leader.give_message(make_renewal(i, 0, 0));
    std::size_t const memory = resident_bytes() - before;
    std::uint64_t const version = leader.node_.membership_.version_;
    std::size_t const up =
        wire::encode(message{make_renewal(0, 0, version)}).size();
    double const began = cpu_us();
    std::size_t down = 0;
    constexpr std::size_t rounds = 3;
    for (std::size_t round = 0; round < rounds; ++round)
    {
        for (std::size_t i = 0; i < daemons; ++i)
            down += leader.give_message(make_renewal(i, 0, version));
        leader.now_ += 1s;
        leader.give(timer_expired{});
    }
    double const each = (cpu_us() - began) / double(rounds * daemons);
    std::printf(
        "renewal daemons=%zu cpu_us=%.2f up_bytes=%zu down_bytes=%.0f "
        "memory_bytes_per_daemon=%.0f\n",
        daemons, each, up, double(down) / double(rounds * daemons),
        double(memory) / double(daemons));
}

void measure_push(std::size_t daemons)
{
    lone_leader leader;
    for (std::size_t i = 0; i < daemons; ++i)
        leader.give_message(make_renewal(i, 0, 0));
    constexpr int changes = 20;
    double const began = cpu_us();
    std::size_t bytes = 0;
    for (int i = 0; i < changes; ++i)
        bytes += leader.give(control::operator_change{
            1,
            {"op" + std::to_string(i),
             "x",
             {{{"account", "a" + std::to_string(i), 1},
               0,
               account_v1{1000, 1}}}}});
    std::printf(
        "push daemons=%zu cpu_us_per_change=%.0f bytes_per_daemon=%.0f\n",
        daemons, (cpu_us() - began) / changes,
        double(bytes) / changes / double(daemons));
}

void measure_claims(std::size_t claims)
{
    lone_leader leader;
    random_source random(7);
    std::size_t const before = resident_bytes();
    double const began = cpu_us();
    for (std::size_t i = 0; i < claims; ++i)
        leader.give_message(claim_request{
            {name_literal<account_name>("acme"),
             make_uuid(leader.wall_ + std::chrono::milliseconds(i), random)},
            "0123456789abcdef0123456789abcdef",
            random.hex(16),
            host(1)});
    double const cpu = cpu_us() - began;
    std::printf(
        "claim held=%zu cpu_us=%.2f memory_bytes=%.0f\n", claims,
        cpu / double(claims),
        double(resident_bytes() - before) / double(claims));
    double const shot = cpu_us();
    snapshot const taken =
        control::take_snapshot(leader.node_.machine_, 1, 1, {});
    std::size_t const size = wire::encode(taken).size();
    std::printf(
        "snapshot claims=%zu cpu_ms=%.1f bytes=%zu\n", claims,
        (cpu_us() - shot) / 1000, size);
}

void measure_grants(std::size_t holders)
{
    lone_leader leader;
    leader.give(control::operator_change{
        1,
        {"op",
         "x",
         {{{"account", "acme", 1}, 0, account_v1{1'000'000'000, 1'000'000}}}}});
    std::size_t const rounds = 40000 / holders;
    double const began = cpu_us();
    std::size_t bytes = 0;
    std::uint64_t number = 0;
    for (std::size_t round = 0; round < rounds; ++round)
    {
        for (std::size_t i = 0; i < holders; ++i)
        {
            grant_request r;
            r.host_ = host(i);
            r.account_ = name_literal<account_name>("acme");
            r.number_ = ++number;
            r.waiting_ = 1;
            r.wanted_ = 10;
            bytes += leader.give_message(r);
        }
        leader.now_ += 250ms;
    }
    std::printf(
        "grant holders=%zu cpu_us=%.2f down_bytes=%.0f\n", holders,
        (cpu_us() - began) / double(rounds * holders),
        double(bytes) / double(rounds * holders));
}

void measure_configuration(std::size_t records)
{
    std::size_t const before = resident_bytes();
    configuration_update update;
    update.to_ = 1;
    update.full_ = true;
    for (std::size_t i = 0; i < records; ++i)
        update.records_.push_back(
            {{"key", "acme/k" + std::to_string(i), 1},
             1,
             key_v1{
                 name_literal<account_name>("acme"), std::string(32, 's'),
                 std::string(64, 'h'), false}});
    calls::configuration c = calls::apply_update({}, update);
    std::size_t const memory = resident_bytes() - before;
    double const began = cpu_us();
    constexpr int changes = 20;
    for (int i = 0; i < changes; ++i)
    {
        configuration_update one;
        one.from_ = c.revision_;
        one.to_ = c.revision_ + 1;
        one.records_ = {update.records_.front()};
        c = calls::apply_update(std::move(c), one);
    }
    std::printf(
        "configuration records=%zu cpu_us_per_change=%.0f "
        "memory_bytes_per_record=%.0f whole_bytes=%zu\n",
        records, (cpu_us() - began) / changes, double(memory) / double(records),
        wire::encode(message{update}).size());
}

// A request through the entry's filters, the gate's, and back.
void measure_call()
{
    calls::settings s;
    s.self_ = host(0);
    s.control_hosts_ = {host(9)};
    instant now{1h};
    calls::state node = calls::make_state(s, random_source(3), now);
    configuration_update update;
    update.to_ = 1;
    update.full_ = true;
    route_v1 open{"", "/plans", service(1), 5, true, true, 1000};
    update.records_ = {{{"route", "r", 1}, 1, open}};
    node.configuration_ = calls::apply_update({}, update);
    node.configuration_.fresh_until_ = now + 10h;
    calls::announcement a;
    a.id_ = "s";
    a.service_ = service(1);
    a.slots_ = 10;
    backend_server server;
    server.host_ = host(0);
    server.service_ = service(1);
    server.id_ = "s";
    server.slots_ = 10;
    node.servers_[service(1)] = {server};
    auto const step = [&](calls::input in)
    {
        calls::node_step done =
            calls::run(std::move(node), std::move(in), clock_reading{now, {}});
        node = std::move(done.state_);
        return std::move(done.effects_);
    };
    step(a);
    constexpr int rounds = 20000;
    double const began = cpu_us();
    for (int i = 0; i < rounds; ++i)
    {
        now += 100us;
        if (i % 10000 == 0)
            step(a);
        calls::effects down = step(calls::caller_request{
            static_cast<std::uint64_t>(i) + 1, {"GET", "/plans/7", {}, {}}});
        send const& forwarded = std::get<send>(down.at(0));
        std::string const bytes = wire::encode(forwarded.outgoing_.message_);
        calls::effects run =
            step(received{host(0), wire::decode_message(bytes).value()});
        calls::run_on_backend const& r =
            std::get<calls::run_on_backend>(run.at(0));
        calls::effects up = step(calls::run_finished{
            r.run_, calls::answered{answer{200, {}, std::string(200, 'x')}}});
        send const& answered = std::get<send>(up.at(0));
        std::string const back = wire::encode(answered.outgoing_.message_);
        step(received{host(0), wire::decode_message(back).value()});
    }
    std::printf(
        "call decisions_and_codec_cpu_us=%.2f\n", (cpu_us() - began) / rounds);
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    measure_call();
    for (std::size_t n : {500, 2000, 9800})
        measure_renewals(n);
    for (std::size_t n : {500, 2000, 9800})
        measure_push(n);
    for (std::size_t n : {1000, 10000, 100000})
        measure_claims(n);
    for (std::size_t n : {10, 100, 1000})
        measure_grants(n);
    for (std::size_t n : {1000, 10000, 50000})
        measure_configuration(n);
    return 0;
}
