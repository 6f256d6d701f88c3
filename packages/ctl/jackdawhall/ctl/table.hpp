// A table for people: columns as wide as their widest cell.
#pragma once

#include <string>
#include <vector>

namespace jackdawhall::ctl
{

using table_row = std::vector<std::string>;

std::string to_table(std::vector<table_row> const& rows);

} // namespace jackdawhall::ctl
