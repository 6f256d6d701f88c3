// A torn tail is cut off; damage to what had been synced is refused, so that a
// voter never goes on with a memory that has holes.
#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>

#include <jackdawhall/journal.hpp>
#include <temporary_folder.hpp>

using namespace jackdawhall;
using journal::journal_file;
using journal::raw_record;
using folder = test::temporary_folder;

namespace
{

void sync(journal_file& j)
{
    journal::sync_job const job = j.take_sync_job();
    REQUIRE(journal::run(job));
    j.finish(job);
}

raw_record numbered(int i)
{
    return {3, "record " + std::to_string(i)};
}

std::string read(std::string const& path)
{
    std::ifstream in(path, std::ios::binary);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

void write(std::string const& path, std::string const& bytes)
{
    std::ofstream(path, std::ios::binary | std::ios::trunc) << bytes;
}

// Ten records, synced after each fifth.
void fill(folder const& f)
{
    journal_file j = journal_file::open(f.path()).value();
    for (int i = 0; i < 10; ++i)
    {
        REQUIRE(j.append(numbered(i)));
        if (i % 5 == 4)
            sync(j);
    }
}

} // namespace

TEST_CASE("records come back in order, and a second process is kept out")
{
    folder const f;
    fill(f);
    journal_file const j = journal_file::open(f.path()).value();
    CHECK(j.recovered().size() == 10);
    CHECK(j.recovered().at(9) == numbered(9));
    CHECK_FALSE(journal_file::open(f.path()));
}

TEST_CASE("a tail torn at any byte is cut off, and writing goes on")
{
    folder const f;
    fill(f);
    std::string const whole = read(f.file("journal"));
    std::size_t const record = whole.size() / 10;
    for (std::size_t cut = 5 * record + 1; cut < whole.size(); ++cut)
    {
        write(f.file("journal"), whole.substr(0, cut));
        journal_file j = journal_file::open(f.path()).value();
        REQUIRE(j.recovered().size() == cut / record);
        REQUIRE(j.append(numbered(99)));
        sync(j);
    }
    journal_file const j = journal_file::open(f.path()).value();
    CHECK(j.recovered().back() == numbered(99));
}

TEST_CASE("a flipped bit in what was synced is refused")
{
    folder const f;
    fill(f);
    std::string const whole = read(f.file("journal"));
    std::size_t const record = whole.size() / 10;
    for (std::size_t at = 0; at < 5 * record; at += 7)
    {
        std::string damaged = whole;
        damaged[at] = static_cast<char>(damaged[at] ^ 0x10);
        write(f.file("journal"), damaged);
        REQUIRE_FALSE(journal_file::open(f.path()));
    }
}

TEST_CASE("a replaced journal holds only the new records once synced")
{
    folder const f;
    fill(f);
    {
        journal_file j = journal_file::open(f.path()).value();
        REQUIRE(j.replace({numbered(50), numbered(51)}));
        REQUIRE(j.append(numbered(52)));
    }
    // Not synced: the old journal is still in force.
    CHECK(journal_file::open(f.path()).value().recovered().size() == 10);
    {
        journal_file j = journal_file::open(f.path()).value();
        REQUIRE(j.replace({numbered(50)}));
        journal::sync_job const first = j.take_sync_job();
        REQUIRE(j.replace({numbered(60), numbered(61)}));
        REQUIRE(journal::run(first)); // a newer file was begun meanwhile
        j.finish(first);
        sync(j);
        REQUIRE(j.append(numbered(62)));
        sync(j);
    }
    journal_file const j = journal_file::open(f.path()).value();
    REQUIRE(j.recovered().size() == 3);
    CHECK(j.recovered().at(2) == numbered(62));
}
