// A new journal comes into force by its own sync job alone, and leaves no file
// behind.
#include <catch2/catch.hpp>

#include <filesystem>
#include <set>

#include <jackdawhall/journal.hpp>
#include <temporary_folder.hpp>

using namespace jackdawhall;
using journal::journal_file;
using journal::raw_record;
using folder = test::temporary_folder;

namespace
{

raw_record const first{3, "first"};
raw_record const second{3, "second"};
raw_record const third{3, "third"};

void sync(journal_file& j)
{
    journal::sync_job const job = j.take_sync_job();
    REQUIRE(journal::run(job));
    j.finish(job);
}

std::set<std::string> files_in(std::string const& path)
{
    std::set<std::string> names;
    for (auto const& entry : std::filesystem::directory_iterator(path))
        names.insert(entry.path().filename().string());
    return names;
}

} // namespace

// A stalled job of a journal that had failed put an unsynced file in place.
TEST_CASE("a job of a closed journal puts no later file into force")
{
    folder const f;
    journal::sync_job stalled;
    {
        journal_file j = journal_file::open(f.path()).value();
        REQUIRE(j.append(first));
        sync(j);
        REQUIRE(j.replace({second}));
        stalled = j.take_sync_job();
    }
    {
        journal_file j = journal_file::open(f.path()).value();
        REQUIRE(j.replace({third}));
        CHECK_FALSE(journal::run(stalled));
    }
    journal_file const j = journal_file::open(f.path()).value();
    CHECK(j.recovered() == std::vector<raw_record>{first});
}

// Each took the room of a whole state until the next start.
TEST_CASE("files that a newer one replaced before their sync are removed")
{
    folder const f;
    journal_file j = journal_file::open(f.path()).value();
    REQUIRE(j.replace({first}));
    REQUIRE(j.replace({second}));
    journal::sync_job const job = j.take_sync_job();
    REQUIRE(j.replace({third}));
    REQUIRE(journal::run(job));
    j.finish(job);
    sync(j);
    CHECK(files_in(f.path()) == std::set<std::string>{"journal", "lock"});
}
