#include <jackdawhall/model/server.hpp>

#include <array>

namespace jackdawhall
{

std::string_view to_text(server_state state)
{
    static constexpr std::array<std::string_view, 3> texts{
        "warming", "ready", "draining"};
    return texts.at(static_cast<std::size_t>(state));
}

} // namespace jackdawhall
