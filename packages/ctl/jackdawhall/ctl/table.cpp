#include <jackdawhall/ctl/table.hpp>

#include <algorithm>

namespace jackdawhall::ctl
{

std::string to_table(std::vector<table_row> const& rows)
{
    std::vector<std::size_t> widths;
    for (table_row const& row : rows)
    {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    std::string text;
    for (table_row const& row : rows)
    {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i)
            line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

} // namespace jackdawhall::ctl
