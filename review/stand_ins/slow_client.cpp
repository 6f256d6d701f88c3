// A client that reads its answer slowly, at an even pace:
//   slow_client CALLERS HOST PATH ATTEMPT LIMIT_MS BYTES_PER_S
// Its segments have the size that is usual on Ethernet and its receive buffer
// is small. Prints one line: the status, the bytes of the body that came, the
// bytes that were due, the time, and "whole" or "cut" or "limit".
#include <iostream>
#include <thread>

#include "sockets.hpp"

int main(int argc, char** argv)
{
    if (argc < 7)
        return 2;
    std::int64_t const began = review::now_ms();
    std::int64_t const until = began + std::atol(argv[5]);
    double const pace = std::atof(argv[6]) / 1000;
    sockaddr_in const to = review::parse_address(argv[1]);
    int const fd = socket(AF_INET, SOCK_STREAM, 0);
    int const buffer = 16 << 10;
    int const segment = 1460;
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
    setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
    std::string const asked =
        "GET " + std::string(argv[3]) + " HTTP/1.1\r\nHost: " + argv[2] +
        "\r\nX-Jackdawhall-Attempt-Id: " + argv[4] +
        "\r\nX-Jackdawhall-Deadline-Ms: " + argv[5] + "\r\n\r\n";
    std::string answer;
    std::size_t due = 0;
    std::size_t body_at = std::string::npos;
    std::string how = "cut";
    if (connect(fd, reinterpret_cast<sockaddr const*>(&to), sizeof to) == 0 &&
        review::send_all(fd, asked, until))
    {
        std::int64_t first = 0;
        for (;;)
        {
            if (body_at != std::string::npos && answer.size() >= body_at + due)
            {
                how = "whole";
                break;
            }
            std::int64_t const now = review::now_ms();
            if (now >= until)
            {
                how = "limit";
                break;
            }
            if (first != 0 && static_cast<double>(answer.size()) >
                                  pace * static_cast<double>(now - first))
            {
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
                continue;
            }
            ssize_t const n = review::read_some(fd, answer, until, 2048);
            if (n <= 0)
            {
                how = review::now_ms() >= until ? "limit" : "cut";
                break;
            }
            if (first == 0)
                first = review::now_ms();
            std::size_t const end = answer.find("\r\n\r\n");
            if (body_at == std::string::npos && end != std::string::npos)
            {
                body_at = end + 4;
                due = std::strtoul(
                    review::header_of(
                        answer.substr(0, end + 2), "Content-Length")
                        .c_str(),
                    nullptr, 10);
            }
        }
    }
    std::cout << (answer.size() > 12 ? answer.substr(9, 3) : "none") << " body "
              << (body_at == std::string::npos ? 0 : answer.size() - body_at)
              << " of " << due << " bytes, " << review::now_ms() - began
              << " ms, " << how << '\n';
    return how == "whole" ? 0 : 1;
}
