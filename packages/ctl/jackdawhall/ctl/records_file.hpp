// Records in a YAML file, and the change that makes the configuration so.
#pragma once

#include <map>
#include <string>
#include <vector>

#include <jackdawhall/model.hpp>
#include <jackdawhall/wire.hpp>

namespace jackdawhall::ctl
{

struct file_record
{
    record_key key_;
    record_body body_;
    auto operator<=>(file_record const&) const = default;
};

// Reads "records:", a list of records as in docs/OPERATING.md. Fails with
// user_error that names the line.
leaf::result<std::vector<file_record>>
read_records_file(std::string const& path);

// Records in force, as the control hosts list them.
using known_records = std::map<record_key, std::pair<revision, record_body>>;

struct difference
{
    std::vector<edit> edits_;
    std::vector<std::string> lines_; // for people: "+ ...", "~ ..."
    auto operator<=>(difference const&) const = default;
};

// Edits that bring the records of the file into force. Records that the file
// does not name are left as they are.
difference find_difference(
    std::vector<file_record> const& wanted, known_records const& known);

} // namespace jackdawhall::ctl
