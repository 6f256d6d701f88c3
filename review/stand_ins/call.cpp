// One call over HTTP/1.1, as the operator, a server or a client makes it:
//   call ADDRESS METHOD TARGET TIMEOUT_MS [--body FILE] [--header "A: b"]...
// Prints the status (or "none") on the first line, and then the body.
//   call --free ADDRESS...
// Succeeds if all the addresses can be bound.
#include <fstream>
#include <iostream>
#include <sstream>
#include <vector>

#include "sockets.hpp"

namespace
{

int check_free(std::vector<std::string> const& addresses)
{
    for (std::string const& address : addresses)
    {
        int const fd = review::listen_at(address);
        if (fd < 0)
            return 1;
        close(fd);
    }
    return 0;
}

bool is_whole(std::string const& answer)
{
    std::size_t const end = answer.find("\r\n\r\n");
    if (end == std::string::npos)
        return false;
    std::string const length =
        review::header_of(answer.substr(0, end + 2), "Content-Length");
    return !length.empty() && answer.size() - end - 4 >= std::stoul(length);
}

} // namespace

int main(int argc, char** argv)
{
    std::vector<std::string> const words(argv + 1, argv + argc);
    if (!words.empty() && words[0] == "--free")
        return check_free({words.begin() + 1, words.end()});
    if (words.size() < 4)
        return 2;
    std::string body;
    std::string head = words[1] + " " + words[2] +
                       " HTTP/1.1\r\nHost: " + words[0] +
                       "\r\nConnection: close\r\n";
    for (std::size_t i = 4; i + 1 < words.size(); i += 2)
    {
        if (words[i] == "--body")
        {
            std::ostringstream bytes;
            bytes << std::ifstream(words[i + 1]).rdbuf();
            body = bytes.str();
            head += "Content-Type: application/json\r\n";
        }
        else
            head += words[i + 1] + "\r\n";
    }
    head += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    std::int64_t const until = review::now_ms() + std::stoll(words[3]);
    std::string answer;
    int const fd = review::connect_to(words[0], until);
    if (fd >= 0 && review::send_all(fd, head + body, until))
    {
        while (!is_whole(answer) && review::read_some(fd, answer, until) > 0)
        {
        }
    }
    std::size_t const end = answer.find("\r\n\r\n");
    if (end == std::string::npos || answer.size() < 12)
    {
        std::cout << "none\n";
        return 3;
    }
    std::cout << answer.substr(9, 3) << '\n' << answer.substr(end + 4) << '\n';
    return 0;
}
