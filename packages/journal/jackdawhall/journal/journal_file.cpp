#include <jackdawhall/journal/journal_file.hpp>

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <optional>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>
#include <utility>

#include <xxhash.h>

namespace jackdawhall::journal
{

namespace
{

// u32 length of the bytes, u64 checksum, u8 kind, u64 synced size; then bytes.
constexpr std::size_t header_bytes = 21;
constexpr std::size_t checksum_offset = 4;
constexpr std::size_t kind_offset = 12;
constexpr std::size_t synced_offset = 13;

constexpr char file_name[] = "/journal";
constexpr char fresh_name[] = "journal.new.";
constexpr char lock_name[] = "/lock";

template <class Integer>
void put(std::string& bytes, Integer value)
{
    bytes.append(reinterpret_cast<char const*>(&value), sizeof value);
}

template <class Integer>
Integer get(std::string const& bytes, std::size_t at)
{
    Integer value{};
    std::memcpy(&value, bytes.data() + at, sizeof value);
    return value;
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

struct parsed_record
{
    raw_record record_;
    std::uint64_t synced_ = 0;
    std::size_t end_ = 0; // where the next one begins
};

std::optional<parsed_record> parse(std::string const& file, std::size_t at)
{
    if (file.size() - at < header_bytes)
        return std::nullopt;
    auto const length = get<std::uint32_t>(file, at);
    std::size_t const end = at + header_bytes + length;
    if (length > max_record_bytes || end > file.size())
        return std::nullopt;
    auto const wanted = get<std::uint64_t>(file, at + checksum_offset);
    char const* checked = file.data() + at + kind_offset;
    if (XXH3_64bits(checked, end - at - kind_offset) != wanted)
        return std::nullopt;
    return parsed_record{
        {get<std::uint8_t>(file, at + kind_offset),
         file.substr(at + header_bytes, length)},
        get<std::uint64_t>(file, at + synced_offset),
        end};
}

// Whether a whole record after a damaged one at `at` says that the damaged one
// had been synced.
bool was_synced(std::string const& file, std::size_t at)
{
    for (std::size_t i = at + 1; i + header_bytes <= file.size(); ++i)
    {
        auto const synced = get<std::uint64_t>(file, i + synced_offset);
        if (synced <= at || synced > file.size())
            continue;
        if (parse(file, i))
            return true;
    }
    return false;
}

leaf::error_id disk_error(std::string const& what)
{
    return leaf::new_error(internal_error{what + ": " + std::strerror(errno)});
}

leaf::error_id bad_folder(std::string const& what, std::string const& mend)
{
    return leaf::new_error(user_error{what, mend});
}

leaf::result<std::string> read_whole(std::string const& path)
{
    std::ifstream in(path, std::ios::binary);
    std::string bytes(
        (std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
    if (in.bad())
        return bad_folder(
            path + " cannot be read", "check the disk and the permissions");
    return bytes;
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
    journal_file j;
    j.folder_ = folder;
    j.lock_ = ::open(
        (folder + lock_name).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (j.lock_ < 0)
        return bad_folder(
            "the data folder " + folder +
                " cannot be used: " + std::strerror(errno),
            "create it, and let this user write there");
    if (::flock(j.lock_, LOCK_EX | LOCK_NB) != 0)
        return bad_folder(
            "the data folder " + folder + " is in use by another process",
            "stop the other daemon, or give this one its own folder");
    remove_unfinished(folder);
    BOOST_LEAF_ASSIGN(std::string const file, read_whole(folder + file_name));
    std::size_t at = 0;
    while (std::optional<parsed_record> next = parse(file, at))
    {
        at = next->end_;
        j.recovered_.push_back(std::move(next->record_));
    }
    if (at < file.size() && was_synced(file, at))
        return bad_folder(
            "the journal in " + folder + " is damaged at byte " +
                std::to_string(at),
            "move the folder away and start with an empty one; this host then "
            "joins the others as one that lost its disk");
    j.file_ = ::open(
        (folder + file_name).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (j.file_ < 0 || ::ftruncate(j.file_, static_cast<off_t>(at)) != 0 ||
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
    files_begun_ = other.files_begun_;
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
    std::string const path =
        folder_ + "/" + fresh_name + std::to_string(++files_begun_);
    int const fresh =
        ::open(path.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (fresh < 0)
        return disk_error("a new journal cannot be begun");
    old_files_.push_back(std::exchange(file_, fresh));
    size_ = synced_ = 0;
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
