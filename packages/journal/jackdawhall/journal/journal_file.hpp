// A journal file. Records are opaque bytes with a kind. Appending writes but
// does not sync; take_sync_job() gives the system calls that make everything
// written so far durable, and run() carries them out wherever the front end
// likes, since a job holds no state and decides nothing.
//
// Each record says up to where the file was known to be synced when the record
// was written. On recovery, a damaged record after that point is a torn tail
// and is cut off; one before it is a damaged disk, and the host must not go on
// as if it remembered.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <jackdawhall/model.hpp>

namespace jackdawhall::journal
{

struct raw_record
{
    std::uint8_t kind_ = 0;
    std::string bytes_;
    auto operator<=>(raw_record const&) const = default;
};

// Largest record.
inline constexpr std::uint32_t max_record_bytes = 1 << 30;

// Takes a record that was read, in order. What it fails with ends the reading.
using record_sink = std::function<leaf::result<void>(raw_record)>;

// System calls to make, in order.
struct sync_job
{
    int file_ = -1;
    std::uint64_t synced_size_ = 0; // of the file, once the job is done
    std::string rename_from_;       // empty: no new file
    std::string rename_to_;
    std::string folder_;
    auto operator<=>(sync_job const&) const = default;
};

// Carries out a job. Fails with internal_error if the disk does; the program
// must then stop, since nobody knows what reached the disk.
leaf::result<void> run(sync_job const& job);

class journal_file
{
public:
    // Opens or creates the journal in `folder`, and cuts off a torn tail. Fails
    // with user_error if the folder cannot be used, is used by another process,
    // or holds a damaged journal, and with internal_error if the disk fails or
    // is full.
    // The records are passed to `sink` one by one, and only one is held.
    static leaf::result<journal_file>
    open(std::string const& folder, record_sink const& sink);

    // The same, but keeps the records for recovered().
    static leaf::result<journal_file> open(std::string const& folder);

    journal_file(journal_file&& other) noexcept;
    journal_file& operator=(journal_file&& other) noexcept;
    journal_file(journal_file const&) = delete;
    journal_file& operator=(journal_file const&) = delete;
    ~journal_file();

    // Records found by open(), in order.
    std::vector<raw_record> const& recovered() const { return recovered_; }

    // Writes a record after the others.
    leaf::result<void> append(raw_record const& r);

    // Begins a new file that holds only `records`. The old one stays in force
    // until the next sync job is done.
    leaf::result<void> replace(std::vector<raw_record> const& records);

    sync_job take_sync_job();

    // Says that a job is done.
    void finish(sync_job const& job);

    std::uint64_t size() const { return size_; }

private:
    journal_file() = default;
    leaf::result<void> write_all(std::string const& bytes);
    void close_files();

    std::string folder_;
    int lock_ = -1;
    int file_ = -1;
    std::vector<int> old_files_; // closed once the new one is in force
    std::uint64_t size_ = 0;
    std::uint64_t synced_ = 0;
    std::string fresh_path_; // of a file not renamed into place yet
    std::vector<std::string> superseded_; // files that a newer one replaced
    std::vector<raw_record> recovered_;
};

} // namespace jackdawhall::journal
