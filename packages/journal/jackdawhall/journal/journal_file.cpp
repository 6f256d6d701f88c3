#include <jackdawhall/journal/journal_file.hpp>

#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <optional>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>
#include <utility>

#include <xxhash.h>

#include <jackdawhall/journal/journal_reader.hpp>

namespace jackdawhall::journal
{

namespace
{

constexpr char file_name[] = "/journal";
constexpr char fresh_name[] = "journal.new.";
constexpr char lock_name[] = "/lock";

template <class Integer>
void put(std::string& bytes, Integer value)
{
    bytes.append(reinterpret_cast<char const*>(&value), sizeof value);
}

std::string frame(raw_record const& r, std::uint64_t synced)
{
    std::string checked;
    put(checked, r.kind_);
    put(checked, synced);
    checked += r.bytes_;
    std::string framed;
    put(framed, static_cast<std::uint32_t>(r.bytes_.size()));
    put(framed, static_cast<std::uint64_t>(
                    XXH3_64bits(checked.data(), checked.size())));
    return framed + checked;
}

leaf::error_id disk_error(std::string const& what)
{
    return leaf::new_error(internal_error{what + ": " + std::strerror(errno)});
}

leaf::error_id bad_folder(std::string const& what, std::string const& mend)
{
    return leaf::new_error(user_error{what, mend});
}

// A file of the data folder that cannot be opened: a full disk passes, other
// causes need a person.
leaf::error_id cannot_open(std::string const& what, std::string const& mend)
{
    if (errno == ENOSPC || errno == EDQUOT)
        return disk_error(what);
    return bad_folder(what + ": " + std::strerror(errno), mend);
}

// Files begun by replace() that never came into force.
void remove_unfinished(std::string const& folder)
{
    std::error_code ignored;
    for (auto const& entry :
         std::filesystem::directory_iterator(folder, ignored))
    {
        if (entry.path().filename().string().starts_with(fresh_name))
            std::filesystem::remove(entry.path(), ignored);
    }
}

// Passes the records on and returns where the last undamaged one ends.
leaf::result<std::uint64_t> read_records(
    int file, std::uint64_t size, std::string const& folder,
    record_sink const& sink)
{
    journal_reader reader(file, size);
    std::uint64_t at = 0;
    while (true)
    {
        BOOST_LEAF_ASSIGN(
            std::optional<record_place> const next, reader.find(at));
        if (!next)
            break;
        BOOST_LEAF_ASSIGN(std::string bytes, reader.read(*next));
        BOOST_LEAF_CHECK(sink({next->kind_, std::move(bytes)}));
        at = next->end();
    }
    if (at == size)
        return at;
    BOOST_LEAF_ASSIGN(bool const damaged, reader.was_synced(at));
    if (damaged)
        return bad_folder(
            "the journal in " + folder + " is damaged at byte " +
                std::to_string(at),
            "move the folder away and start with an empty one; this host then "
            "joins the others as one that lost its disk");
    return at;
}

} // namespace

leaf::result<void> run(sync_job const& job)
{
    if (::fdatasync(job.file_) != 0)
        return disk_error("the journal cannot be synced");
    if (job.rename_from_.empty())
        return {};
    if (::rename(job.rename_from_.c_str(), job.rename_to_.c_str()) != 0)
        return disk_error("the new journal cannot be put into place");
    int const folder = ::open(job.folder_.c_str(), O_RDONLY | O_DIRECTORY);
    if (folder < 0)
        return disk_error("the data folder cannot be opened");
    int const synced = ::fsync(folder);
    ::close(folder);
    if (synced != 0)
        return disk_error("the data folder cannot be synced");
    return {};
}

leaf::result<journal_file> journal_file::open(std::string const& folder)
{
    std::vector<raw_record> found;
    BOOST_LEAF_AUTO(
        j, open(
               folder,
               [&](raw_record r) -> leaf::result<void>
               {
                   found.push_back(std::move(r));
                   return {};
               }));
    j.recovered_ = std::move(found);
    return j;
}

leaf::result<journal_file>
journal_file::open(std::string const& folder, record_sink const& sink)
{
    journal_file j;
    j.folder_ = folder;
    j.lock_ = ::open(
        (folder + lock_name).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (j.lock_ < 0)
        return cannot_open(
            "the data folder " + folder + " cannot be used",
            "create it, and let this user write there");
    if (::flock(j.lock_, LOCK_EX | LOCK_NB) != 0)
        return bad_folder(
            "the data folder " + folder + " is in use by another process",
            "stop the other daemon, or give this one its own folder");
    remove_unfinished(folder);
    j.file_ = ::open(
        (folder + file_name).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    struct stat status
    {
    };
    if (j.file_ < 0 || ::fstat(j.file_, &status) != 0)
        return cannot_open(
            "the journal in " + folder + " cannot be opened",
            "check the disk and the permissions");
    BOOST_LEAF_ASSIGN(
        std::uint64_t const at,
        read_records(
            j.file_, static_cast<std::uint64_t>(status.st_size), folder, sink));
    if (::ftruncate(j.file_, static_cast<off_t>(at)) != 0 ||
        ::lseek(j.file_, 0, SEEK_END) < 0)
        return disk_error("the journal cannot be opened");
    j.size_ = at;
    sync_job job = j.take_sync_job();
    job.rename_from_ = job.rename_to_ = folder + file_name; // syncs the folder
    BOOST_LEAF_CHECK(run(job));
    j.finish(job);
    return j;
}

journal_file::journal_file(journal_file&& other) noexcept
{
    *this = std::move(other);
}

journal_file& journal_file::operator=(journal_file&& other) noexcept
{
    if (this == &other)
        return *this;
    close_files();
    folder_ = std::move(other.folder_);
    lock_ = std::exchange(other.lock_, -1);
    file_ = std::exchange(other.file_, -1);
    old_files_ = std::exchange(other.old_files_, {});
    size_ = other.size_;
    synced_ = other.synced_;
    fresh_path_ = std::move(other.fresh_path_);
    superseded_ = std::move(other.superseded_);
    recovered_ = std::move(other.recovered_);
    return *this;
}

journal_file::~journal_file()
{
    close_files();
}

void journal_file::close_files()
{
    for (int const file : old_files_)
        ::close(file);
    old_files_.clear();
    if (file_ >= 0)
        ::close(file_);
    if (lock_ >= 0)
        ::close(lock_);
}

leaf::result<void> journal_file::append(raw_record const& r)
{
    return write_all(frame(r, synced_));
}

leaf::result<void> journal_file::replace(std::vector<raw_record> const& records)
{
    // Never the name of an earlier file, which a job may still rename.
    std::string path = folder_ + "/" + fresh_name + "XXXXXX";
    int const fresh = ::mkostemp(path.data(), O_CLOEXEC);
    if (fresh < 0)
        return disk_error("a new journal cannot be begun");
    old_files_.push_back(std::exchange(file_, fresh));
    size_ = synced_ = 0;
    if (!fresh_path_.empty())
        superseded_.push_back(std::move(fresh_path_));
    fresh_path_ = path;
    std::string bytes;
    for (raw_record const& r : records)
        bytes += frame(r, 0);
    return write_all(bytes);
}

sync_job journal_file::take_sync_job()
{
    sync_job job{file_, size_, {}, {}, folder_};
    if (!fresh_path_.empty())
    {
        job.rename_from_ = fresh_path_;
        job.rename_to_ = folder_ + file_name;
    }
    return job;
}

void journal_file::finish(sync_job const& job)
{
    if (job.file_ != file_)
        return; // a newer file was begun meanwhile
    synced_ = job.synced_size_;
    if (job.rename_from_.empty())
        return;
    fresh_path_.clear();
    for (int const file : old_files_)
        ::close(file);
    old_files_.clear();
    for (std::string const& path : std::exchange(superseded_, {}))
        ::unlink(path.c_str()); // gone already if it was in force for a while
}

leaf::result<void> journal_file::write_all(std::string const& bytes)
{
    std::size_t done = 0;
    while (done < bytes.size())
    {
        ssize_t const n =
            ::write(file_, bytes.data() + done, bytes.size() - done);
        if (n < 0 && errno == EINTR)
            continue;
        if (n <= 0)
            return disk_error("the journal cannot be written");
        done += static_cast<std::size_t>(n);
    }
    size_ += bytes.size();
    return {};
}

} // namespace jackdawhall::journal
