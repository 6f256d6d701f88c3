// The document: compare-and-set on its version, resends, and what daemons are
// sent of it.
#include <catch2/catch.hpp>

#include <jackdawhall/control.hpp>

using namespace jackdawhall;
using namespace jackdawhall::control;

namespace
{

std::pair<record_key, record_body> service(std::string const& name)
{
    return {{"service", name, 2}, service_v2{}};
}

std::pair<record_key, record_body>
route_to(std::string const& name, std::int64_t timeout_ms)
{
    route_v2 r;
    r.virtual_host_ = "a.example";
    r.path_prefix_ = "/" + name + "/";
    r.services_ = {{service_name::make(name).value(), 1}};
    r.timeout_ms_ = timeout_ms;
    return {{"route", r.virtual_host_ + r.path_prefix_, 2}, r};
}

document make(
    std::int64_t version, std::int64_t base, std::string digest,
    std::vector<std::pair<record_key, record_body>> contents)
{
    return {version, base, std::move(digest), "text", std::move(contents)};
}

change_outcome put(state_machine& m, document d)
{
    apply_step step = apply_document(std::move(m), {std::move(d), {}});
    m = std::move(step.machine_);
    return std::get<change_applied>(step.applied_).outcome_;
}

template <class Outcome>
bool is(change_outcome const& outcome)
{
    return std::holds_alternative<Outcome>(outcome);
}

} // namespace

TEST_CASE("one of two documents on the same base wins")
{
    state_machine m;
    REQUIRE(is<accepted>(put(m, make(1, 0, "a", {service("plans")}))));
    CHECK(is<accepted>(put(m, make(5, 1, "b", {service("plans")}))));
    CHECK(is<conflict>(put(m, make(5, 1, "c", {service("desk")}))));
    CHECK(m.document_version_ == 5);
    CHECK(m.records_.contains({"service", "plans", 2}));
}

TEST_CASE("an accepted document is accepted again, also when others followed")
{
    state_machine m;
    document const first = make(1, 0, "a", {service("plans")});
    REQUIRE(is<accepted>(put(m, first)));
    REQUIRE(is<accepted>(put(m, make(2, 1, "b", {service("desk")}))));
    CHECK(is<accepted>(put(m, first)));
    CHECK(m.document_version_ == 2);
}

TEST_CASE("a document that was refused may be right later")
{
    state_machine m;
    REQUIRE(is<accepted>(put(m, make(1, 0, "a", {service("plans")}))));
    document const early = make(3, 2, "c", {service("plans")});
    CHECK(is<conflict>(put(m, early)));
    REQUIRE(is<accepted>(put(m, make(2, 1, "b", {service("plans")}))));
    CHECK(is<accepted>(put(m, early)));
}

TEST_CASE("an invalid document changes nothing")
{
    state_machine m;
    REQUIRE(is<accepted>(put(m, make(4, 0, "a", {service("plans")}))));
    state_machine const before = m;
    CHECK(is<rejected>(put(m, make(4, 4, "same version", {service("plans")}))));
    CHECK(is<rejected>(put(m, make(5, 4, "b", {route_to("nowhere", 100)}))));
    CHECK(is<rejected>(
        put(m, make(5, 4, "c", {service("plans"), route_to("plans", 0)}))));
    CHECK(is<rejected>(
        put(m, make(5, 4, "d", {service("plans"), service("plans")}))));
    CHECK(m == before);
}

TEST_CASE("daemons are sent what changed, and what is gone")
{
    state_machine m;
    put(m, make(
               1, 0, "a",
               {service("plans"), service("desk"), route_to("plans", 100),
                route_to("desk", 100)}));
    revision const before = m.revision_;
    put(m, make(
               2, 1, "b",
               {service("plans"), service("desk"), route_to("plans", 200)}));
    configuration_update const update = update_since(m, before);
    REQUIRE(update.records_.size() == 1);
    CHECK(update.records_.front().key_.name_ == "a.example/plans/");
    REQUIRE(update.removals_.size() == 1);
    CHECK(update.removals_.front().key_.name_ == "a.example/desk/");
}

TEST_CASE("a snapshot keeps the document")
{
    state_machine m;
    put(m, make(7, 0, "a", {service("plans")}));
    state_machine const back = from_snapshot(take_snapshot(m, 3, 1, {}));
    CHECK(back == m);
}
