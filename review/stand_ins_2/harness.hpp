// Shared by the programs of the cases from 6 on: a small deployment of
// jackdawhalld processes on loopback addresses, and stand-ins of the operator,
// of clients and of application servers that speak as the users' pages say.
#pragma once

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace stand_in
{

using clock = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

inline constexpr int held = 0;
inline constexpr int broken = 1;
inline constexpr int could_not_run = 2;

inline clock::time_point const started = clock::now();

inline std::int64_t now_ms()
{
    return std::chrono::duration_cast<ms>(clock::now() - started).count();
}

inline std::int64_t unix_ms()
{
    return std::chrono::duration_cast<ms>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void sleep_ms(std::int64_t time)
{
    std::this_thread::sleep_for(ms(time));
}

// --- Record
// ----------------------------------------------------------------

class record
{
public:
    static record& get()
    {
        static record made;
        return made;
    }

    void open(std::string const& path) { out_.open(path, std::ios::trunc); }

    void line(std::string const& text)
    {
        std::lock_guard const lock(mutex_);
        out_ << now_ms() << " ms " << text << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
};

inline void note(std::string const& text)
{
    record::get().line(text);
}

// --- HTTP
// ------------------------------------------------------------------

struct endpoint
{
    std::string ip_;
    std::uint16_t port_ = 0;

    std::string text() const { return ip_ + ":" + std::to_string(port_); }
};

inline sockaddr_in socket_address(endpoint const& e)
{
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(e.port_);
    inet_pton(AF_INET, e.ip_.c_str(), &to.sin_addr);
    return to;
}

// -1 if the connection is not made within `limit`.
inline int connect_to(endpoint const& e, std::int64_t limit = 1000)
{
    int const fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    fcntl(fd, F_SETFL, O_NONBLOCK);
    sockaddr_in const to = socket_address(e);
    connect(fd, reinterpret_cast<sockaddr const*>(&to), sizeof to);
    pollfd wait{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (poll(&wait, 1, static_cast<int>(limit)) != 1 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)
    {
        close(fd);
        return -1;
    }
    fcntl(fd, F_SETFL, 0);
    int const yes = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    return fd;
}

inline bool send_all(int fd, std::string const& bytes)
{
    std::size_t done = 0;
    while (done < bytes.size())
    {
        ssize_t const n =
            send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        done += static_cast<std::size_t>(n);
    }
    return true;
}

struct message
{
    std::string first_line_;
    std::map<std::string, std::string> fields_; // names in lower case
    std::string body_;

    std::string field(std::string const& name) const
    {
        auto const known = fields_.find(name);
        return known == fields_.end() ? std::string{} : known->second;
    }
    int status() const
    {
        return first_line_.size() > 12 ? std::atoi(&first_line_[9]) : 0;
    }
    std::string method() const
    {
        return first_line_.substr(0, first_line_.find(' '));
    }
    std::string path() const
    {
        std::size_t const from = first_line_.find(' ') + 1;
        return first_line_.substr(from, first_line_.find(' ', from) - from);
    }
};

inline message parse_head(std::string const& head)
{
    message m;
    std::istringstream lines(head);
    std::getline(lines, m.first_line_);
    std::string line;
    while (std::getline(lines, line))
    {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        std::size_t const colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        std::string name = line.substr(0, colon);
        for (char& c : name)
            c = c >= 'A' && c <= 'Z' ? char(c + 32) : c;
        std::size_t const from = line.find_first_not_of(' ', colon + 1);
        m.fields_[name] = from == std::string::npos ? "" : line.substr(from);
    }
    return m;
}

// Reads messages with a length from one connection.
class reader
{
public:
    explicit reader(int fd) : fd_(fd) {}

    // Nothing if the connection ends, or at `until`.
    std::optional<message> next(clock::time_point until)
    {
        std::size_t end = 0;
        while ((end = in_.find("\r\n\r\n")) == std::string::npos)
        {
            if (!more(until))
                return std::nullopt;
        }
        message m = parse_head(in_.substr(0, end + 2));
        in_.erase(0, end + 4);
        std::size_t const size = static_cast<std::size_t>(
            std::atoll(m.field("content-length").c_str()));
        while (in_.size() < size)
        {
            if (!more(until))
                return std::nullopt;
        }
        m.body_ = in_.substr(0, size);
        in_.erase(0, size);
        return m;
    }

    bool ended() const { return ended_; }

private:
    bool more(clock::time_point until)
    {
        auto const left =
            std::chrono::duration_cast<ms>(until - clock::now()).count();
        pollfd wait{fd_, POLLIN, 0};
        if (left <= 0 || poll(&wait, 1, static_cast<int>(left)) != 1)
            return false;
        char bytes[65536];
        ssize_t const n = recv(fd_, bytes, sizeof bytes, 0);
        ended_ = n <= 0;
        if (n > 0)
            in_.append(bytes, static_cast<std::size_t>(n));
        return n > 0;
    }

    int fd_;
    std::string in_;
    bool ended_ = false;
};

// Status 0: no answer.
inline message
exchange(endpoint const& to, std::string const& text, std::int64_t limit)
{
    clock::time_point const until = clock::now() + ms(limit);
    int const fd = connect_to(to);
    if (fd < 0)
        return {};
    message answer;
    if (send_all(fd, text))
        answer = reader(fd).next(until).value_or(message{});
    close(fd);
    return answer;
}

inline std::string call_text(std::string const& call, std::string const& body)
{
    return "POST /-/rpc?call=" + call +
           " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n"
           "Content-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A client's request; each has an id of its own.
struct request
{
    std::string method_ = "GET";
    std::string path_;
    std::string id_;
    std::int64_t time_ms_ = 5000;
    std::string body_;

    std::string text() const
    {
        return method_ + " " + path_ +
               " HTTP/1.1\r\nHost: a.example\r\nX-Jackdawhall-Attempt-Id: " +
               id_ +
               "\r\nX-Jackdawhall-Deadline-Ms: " + std::to_string(time_ms_) +
               "\r\nContent-Length: " + std::to_string(body_.size()) +
               "\r\n\r\n" + body_;
    }
};

inline std::string new_id()
{
    static std::atomic<std::uint64_t> last{0};
    char text[32];
    std::snprintf(
        text, sizeof text, "%08x%08x", static_cast<unsigned>(getpid()),
        static_cast<unsigned>(++last));
    return text;
}

// Sends a request, and returns the status of its answer; 0: none.
inline int ask(endpoint const& daemon, request const& r, std::int64_t limit)
{
    note("sent " + r.id_ + " " + r.method_ + " " + r.path_);
    int const status = exchange(daemon, r.text(), limit).status();
    note("answered " + r.id_ + " " + std::to_string(status));
    return status;
}

// --- Application server
// ----------------------------------------------------

// How the server handles what it begins to run.
struct begun
{
    std::string server_;
    std::string id_;
    message request_;
    std::int64_t at_ms_ = 0;
    int connection_ = -1;
};

// Serves one request at a time on a connection, `slots_` at once in all, and
// pings the daemon beside it.
class app_server
{
public:
    struct options
    {
        std::string id_;
        std::string service_;
        endpoint listen_;
        endpoint daemon_; // its control plane
        int slots_ = 8;
        std::int64_t heartbeat_ms_ = 1500;
        std::int64_t work_ms_ = 20;
        // Called as a request begins to run; false: no answer is sent, and the
        // connection is closed.
        std::function<bool(app_server&, begun const&)> run_;
    };

    explicit app_server(options o) : options_(std::move(o)), born_(unix_ms()) {}
    ~app_server() { end(); }

    bool start()
    {
        listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int const yes = 1;
        setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
        sockaddr_in const here = socket_address(options_.listen_);
        if (bind(
                listener_, reinterpret_cast<sockaddr const*>(&here),
                sizeof here) != 0 ||
            listen(listener_, 512) != 0)
            return false;
        note("server " + options_.id_ + " starts");
        acceptor_ = std::thread([this] { accept_all(); });
        pinger_ = std::thread([this] { ping_all(); });
        return true;
    }

    // The process is gone: its connections are closed, and it sends nothing
    // more.
    void crash()
    {
        if (ended_.exchange(true))
            return;
        note("server " + options_.id_ + " has ended");
        if (listener_ >= 0)
            shutdown(listener_, SHUT_RDWR);
        std::lock_guard const lock(mutex_);
        for (int const fd : open_)
            shutdown(fd, SHUT_RDWR);
    }

    // Not for the server's own threads.
    void end()
    {
        crash();
        if (acceptor_.joinable())
            acceptor_.join();
        if (pinger_.joinable())
            pinger_.join();
        std::vector<std::thread> workers;
        {
            std::lock_guard const lock(mutex_);
            workers.swap(workers_);
        }
        for (std::thread& t : workers)
            t.join();
        if (listener_ >= 0)
            close(std::exchange(listener_, -1));
    }

    bool ended() const { return ended_; }
    void stop_pings() { pings_ = false; }
    bool is_known() const { return acked_; }
    std::string const& id() const { return options_.id_; }

    // The text of the next ping.
    std::string next_ping(std::string const& state)
    {
        std::lock_guard const lock(mutex_);
        std::string const body =
            "{\"service\":\"" + options_.service_ + "\",\"address\":\"" +
            options_.listen_.text() +
            "\",\"zone\":\"qc-a\",\"version\":\"v1\",\"slots\":" +
            std::to_string(options_.slots_) + ",\"state\":\"" + state +
            "\",\"coldRemaining\":0,\"born\":" + std::to_string(born_) +
            ",\"sequence\":" + std::to_string(++sequence_) + "}";
        return call_text("instances.heartbeat&of=" + options_.id_, body);
    }

    std::string deregistration() const
    {
        return call_text(
            "instances.deregister&of=" + options_.id_,
            "{\"born\":" + std::to_string(born_) + "}");
    }

private:
    void ping_all()
    {
        std::int64_t next = now_ms();
        while (!ended_)
        {
            if (pings_ && now_ms() >= next)
            {
                next = now_ms() + options_.heartbeat_ms_;
                message const answer =
                    exchange(options_.daemon_, next_ping("ready"), 1000);
                acked_ = acked_ || answer.status() == 200;
            }
            sleep_ms(20);
        }
    }

    void accept_all()
    {
        while (!ended_)
        {
            int const fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
            {
                if (ended_)
                    return;
                continue;
            }
            int const yes = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
            std::lock_guard const lock(mutex_);
            if (ended_)
            {
                close(fd);
                return;
            }
            open_.insert(fd);
            workers_.emplace_back([this, fd] { serve(fd); });
        }
    }

    void serve(int fd)
    {
        reader in(fd);
        while (!ended_)
        {
            std::optional<message> const m =
                in.next(clock::now() + std::chrono::seconds(10));
            if (!m || ended_ || !answer(fd, *m))
                break;
        }
        std::lock_guard const lock(mutex_);
        open_.erase(fd);
        close(fd);
    }

    bool answer(int fd, message const& m)
    {
        std::string const id = m.field("x-jackdawhall-attempt-id");
        if (m.path() == "/health")
            return send_all(
                fd, "HTTP/1.1 200 OK\r\nX-Jackdawhall-Instance-Id: " +
                        options_.id_ + "\r\nContent-Length: 0\r\n\r\n");
        std::string const expected = m.field("x-jackdawhall-expected-instance");
        if (!expected.empty() && expected != options_.id_)
            return refuse(fd, "421 Misdirected Request", id);
        if (++running_ > options_.slots_)
        {
            --running_;
            return refuse(fd, "503 Service Unavailable", id);
        }
        bool const answers =
            options_.run_(*this, {options_.id_, id, m, now_ms(), fd});
        if (answers)
            sleep_ms(options_.work_ms_);
        --running_;
        std::string const body = "answer to " + id + "\n";
        return answers && !ended_ &&
               send_all(
                   fd, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=10\r\n"
                       "X-Jackdawhall-Attempt-Id: " +
                           id + "\r\nX-Jackdawhall-Server-Stamp: " +
                           options_.id_ + "." + id + "\r\nContent-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    bool refuse(int fd, std::string const& status, std::string const& id)
    {
        return send_all(
            fd, "HTTP/1.1 " + status +
                    "\r\nX-Jackdawhall-Not-Executed: 1\r\n"
                    "X-Jackdawhall-Attempt-Id: " +
                    id + "\r\nContent-Length: 0\r\n\r\n");
    }

    options options_;
    std::int64_t born_;
    std::int64_t sequence_ = 0;
    std::atomic<bool> pings_{true};
    std::atomic<bool> acked_{false};
    std::atomic<bool> ended_{false};
    std::atomic<int> running_{0};
    int listener_ = -1;
    std::mutex mutex_;
    std::set<int> open_;
    std::vector<std::thread> workers_;
    std::thread acceptor_;
    std::thread pinger_;
};

// --- Deployment
// ------------------------------------------------------------

// Core machines 127.0.C.1 to 127.0.C.n and machines of servers 127.0.S.1 on,
// all with the same ports, settings as in the deploy file's template.
class deployment
{
public:
    deployment(int core, std::vector<std::string> services)
        : core_(core), services_(std::move(services))
    {
        std::string pattern =
            (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        folder_ = mkdtemp(pattern.data());
        base_ = free_ports();
    }

    deployment(deployment const&) = delete;
    deployment& operator=(deployment const&) = delete;

    ~deployment()
    {
        for (auto const& process : processes_)
            kill(process.second, SIGCONT);
        for (auto const& process : processes_)
            kill(process.second, SIGKILL);
        for (auto const& process : processes_)
            waitpid(process.second, nullptr, 0);
        if (!std::getenv("KEEP"))
            std::filesystem::remove_all(folder_);
    }

    static std::string core_ip(int n)
    {
        return "127.0.61." + std::to_string(n);
    }
    static std::string side_ip(int n)
    {
        return "127.0.62." + std::to_string(n);
    }
    endpoint orders(std::string const& ip) const { return at(ip, 3); }
    endpoint callers(std::string const& ip) const { return at(ip, 2); }
    endpoint readiness(std::string const& ip) const { return at(ip, 4); }
    endpoint server(std::string const& ip) const { return at(ip, 5); }

    void start_all()
    {
        for (int n = 1; n <= core_; ++n)
            start(core_ip(n));
        for (std::size_t n = 1; n <= services_.size(); ++n)
            start(side_ip(static_cast<int>(n)));
    }

    void start(std::string const& ip)
    {
        write_settings(ip);
        first_start_.insert(ip);
        std::string const log = folder_ + "/" + ip + ".log";
        std::string const settings = folder_ + "/" + ip + ".yaml";
        pid_t const pid = fork();
        if (pid == 0)
        {
            int const out =
                ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(out, 1);
            dup2(out, 2);
            execl(
                "target/bin/jackdawhalld", "target/bin/jackdawhalld",
                "--settings", settings.c_str(), nullptr);
            _exit(127);
        }
        processes_[ip] = pid;
    }

    void send(std::string const& ip, int signal)
    {
        kill(processes_.at(ip), signal);
    }

    // Waits for the end of a process that was told to end.
    void await_end(std::string const& ip)
    {
        waitpid(processes_.at(ip), nullptr, 0);
        processes_.erase(ip);
    }

    bool runs(std::string const& ip)
    {
        auto const known = processes_.find(ip);
        return known != processes_.end() &&
               waitpid(known->second, nullptr, WNOHANG) == 0;
    }

    bool is_ready(std::string const& ip)
    {
        return exchange(
                   readiness(ip), "GET /-/ready HTTP/1.1\r\nHost: r\r\n\r\n",
                   1000)
                   .status() == 200;
    }

    bool all_ready()
    {
        for (std::size_t n = 1; n <= services_.size(); ++n)
        {
            if (!is_ready(side_ip(static_cast<int>(n))))
                return false;
        }
        return true;
    }

    // Sends a configuration until it is acknowledged, to one core machine after
    // the other.
    bool configure(std::string const& body, std::int64_t limit)
    {
        std::int64_t const until = now_ms() + limit;
        for (int n = 0; now_ms() < until; ++n)
        {
            message const answer = exchange(
                orders(core_ip(n % core_ + 1)), call_text("config.put", body),
                1000);
            if (answer.status() == 200)
                return true;
            sleep_ms(200);
        }
        return false;
    }

    std::string const& folder() const { return folder_; }

private:
    endpoint at(std::string const& ip, int offset) const
    {
        return {ip, static_cast<std::uint16_t>(base_ + offset)};
    }

    static bool is_free(std::string const& ip, int port)
    {
        int const fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in const here =
            socket_address({ip, static_cast<std::uint16_t>(port)});
        bool const free =
            bind(fd, reinterpret_cast<sockaddr const*>(&here), sizeof here) ==
            0;
        close(fd);
        return free;
    }

    static int free_ports()
    {
        constexpr int ports = 6;
        int base = 20000 + getpid() % 1000 * 10;
        for (bool free = false; !free; base += free ? 0 : 10)
        {
            free = true;
            for (int n = 0; n < ports; ++n)
            {
                for (int host = 1; host <= 8; ++host)
                    free = free && is_free(core_ip(host), base + n) &&
                           is_free(side_ip(host), base + n);
            }
        }
        return base;
    }

    void write_settings(std::string const& ip)
    {
        bool const is_core = ip.starts_with("127.0.61.");
        std::ofstream out(folder_ + "/" + ip + ".yaml");
        out << "host: \"" << ip << "\"\nregion: \"quebec\"\nzone: \"qc-a\"\n"
            << "roles: [" << (is_core ? "control" : "call") << "]\n"
            << "listen:\n  peers: \"" << at(ip, 0).text()
            << "\"\n  operators: \"" << at(ip, 1).text()
            << "\"\ncontrol_seeds: [";
        for (int n = 1; n <= std::min(core_, 3); ++n)
            out << (n > 1 ? "," : "") << orders(core_ip(n)).text();
        out << "]\nfirst_start: "
            << (first_start_.contains(ip) ? "false" : "true") << "\n";
        if (is_core)
        {
            std::filesystem::create_directories(folder_ + "/" + ip);
            out << "data_folder: \"" << folder_ << "/" << ip << "\"\n";
        }
        out << "fleet_secret: \"jackdawhall-on-the-infrastructure\"\n"
               "operator_token: \"jackdawhall-on-the-infrastructure\"\n"
               "log: {level: info, format: json}\nmax_connections: 2048\n"
               "memory_mb: 260\ninfrastructure:\n  orders: \""
            << orders(ip).text() << "\"\n";
        if (!is_core)
            out << "  callers: \"" << callers(ip).text()
                << "\"\n  readiness: \"" << readiness(ip).text()
                << "\"\n  beside: \"" << service_of(ip) << "\"\n  backend: \""
                << server(ip).text() << "\"\n";
        out << "  lost_disks: " << (core_ >= 5 ? 2 : 1)
            << "\n  revoke_ms: 5000\n  in_force_ms: 2000\n  grace_s: 6\n"
               "  retry_share: 0.2\n  retry_slack: 47\n"
               "  rate_overage: 0.1\n  rate_slack: 20\n"
               "  rate_window_s: 5\n  retry_window_s: 10\n";
    }

    std::string service_of(std::string const& ip) const
    {
        std::size_t const n =
            static_cast<std::size_t>(std::atoi(ip.c_str() + ip.rfind('.') + 1));
        return services_.at(n - 1);
    }

    int core_;
    std::vector<std::string> services_;
    std::string folder_;
    int base_ = 0;
    std::map<std::string, pid_t> processes_;
    std::set<std::string> first_start_;
};

template <class Condition>
bool wait_until(std::int64_t limit, Condition condition)
{
    std::int64_t const until = now_ms() + limit;
    while (!condition())
    {
        if (now_ms() >= until)
            return false;
        sleep_ms(50);
    }
    return true;
}

inline std::string route_json(
    std::string const& prefix, std::string const& type,
    std::string const& service, int timeout_ms)
{
    return "{\"name\":\"r" + service + type + "\",\"host\":\"a.example\"," +
           "\"pathPrefix\":\"" + prefix + "\",\"routeType\":\"" + type +
           "\",\"timeout\":" + std::to_string(timeout_ms) +
           ",\"targetLatency\":1500,\"priority\":0,\"service\":\"" + service +
           "\",\"maxAttempts\":2,\"public\":true}";
}

inline std::string service_json(std::string const& name)
{
    return "{\"name\":\"" + name +
           "\",\"healthPath\":\"/health\",\"maxConnections\":532,"
           "\"protocol\":\"h1\",\"tls\":false}";
}

inline std::string configuration(
    int version, int base, std::string const& services,
    std::string const& routes)
{
    return "{\"version\":" + std::to_string(version) +
           ",\"baseVersion\":" + std::to_string(base) + ",\"services\":[" +
           services + "],\"routes\":[" + routes +
           "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
           "\"headerTimeout\":3000,\"idleTimeout\":15000}}";
}

inline bool is_troubled()
{
    char const* const text = std::getenv("TROUBLE");
    return !text || std::string(text) != "0";
}

} // namespace stand_in
