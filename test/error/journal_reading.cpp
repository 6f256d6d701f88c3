// A journal is read record by record, and one that cannot be read is an error.
#include <catch2/catch.hpp>

#include <filesystem>
#include <sys/resource.h>

#include <jackdawhall/journal.hpp>
#include <temporary_folder.hpp>

using namespace jackdawhall;
using journal::journal_file;
using journal::raw_record;

namespace
{

constexpr std::size_t record_bytes = 400000;
constexpr std::size_t record_count = 240;

std::size_t peak_memory()
{
    rusage used{};
    ::getrusage(RUSAGE_SELF, &used);
    return static_cast<std::size_t>(used.ru_maxrss) * 1024;
}

} // namespace

// A daemon needed 1.9 times its memory to read its own disk.
TEST_CASE("reading a large journal holds one record at a time")
{
    test::temporary_folder const held;
    std::string const& folder = held.path();
    {
        journal_file j = journal_file::open(folder).value();
        for (std::size_t i = 0; i < record_count; ++i)
            REQUIRE(j.append({3, std::string(record_bytes, 'r')}));
    }
    std::size_t const before = peak_memory();
    std::size_t records = 0;
    std::size_t bytes = 0;
    {
        journal_file const j =
            journal_file::open(
                folder,
                [&](raw_record const& r) -> leaf::result<void>
                {
                    ++records;
                    bytes += r.bytes_.size();
                    return {};
                })
                .value();
    }
    CHECK(records == record_count);
    CHECK(bytes == record_count * record_bytes);
    CHECK(peak_memory() - before < std::size_t{8} << 20);
}

TEST_CASE("a journal that cannot be read is an error, and is left as it is")
{
    test::temporary_folder const held;
    std::string const& folder = held.path();
    std::filesystem::create_directory(folder + "/journal");
    CHECK_FALSE(journal_file::open(folder));
    CHECK(std::filesystem::is_directory(folder + "/journal"));
}

TEST_CASE("what a sink fails with ends the reading")
{
    test::temporary_folder const held;
    std::string const& folder = held.path();
    {
        journal_file j = journal_file::open(folder).value();
        REQUIRE(j.append({3, "one"}));
        REQUIRE(j.append({3, "two"}));
    }
    std::size_t records = 0;
    CHECK_FALSE(journal_file::open(
        folder,
        [&](raw_record const&) -> leaf::result<void>
        {
            ++records;
            return leaf::new_error(user_error{"no", "none"});
        }));
    CHECK(records == 1);
    CHECK(journal_file::open(folder).value().recovered().size() == 2);
}
