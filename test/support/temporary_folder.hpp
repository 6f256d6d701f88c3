// A folder for one test, removed with all that is in it.
#pragma once

#include <cstdlib>
#include <filesystem>
#include <string>

namespace jackdawhall::test
{

class temporary_folder
{
public:
    temporary_folder()
    {
        char name[] = "/tmp/jackdawhall-test-XXXXXX";
        path_ = mkdtemp(name);
    }
    ~temporary_folder() { std::filesystem::remove_all(path_); }
    temporary_folder(temporary_folder const&) = delete;
    temporary_folder& operator=(temporary_folder const&) = delete;

    std::string const& path() const { return path_; }
    // Path of a file in it.
    std::string file(std::string const& name) const
    {
        return path_ + "/" + name;
    }

private:
    std::string path_;
};

} // namespace jackdawhall::test
