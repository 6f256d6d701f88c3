// Finds out whether backend servers take connections: connects to one and
// closes again. Not for users of the package.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <jackdawhall/loop/later.hpp>
#include <jackdawhall/model.hpp>

namespace jackdawhall::loop
{

class server_prober
{
public:
    // `probed` is called once for each probe, within the connect timeout.
    explicit server_prober(
        std::function<void(std::string const& server_id, bool alive)> probed);
    ~server_prober();
    server_prober(server_prober const&) = delete;
    server_prober& operator=(server_prober const&) = delete;

    void probe(std::string const& server_id, endpoint const& to);

private:
    struct probe_in_progress;

    void end(probe_in_progress& p, bool alive);
    void collect();

    std::function<void(std::string const& server_id, bool alive)> probed_;
    std::map<probe_in_progress*, std::unique_ptr<probe_in_progress>> probes_;
    std::vector<std::unique_ptr<probe_in_progress>> ended_;
    later collect_{[this] { collect(); }};
};

} // namespace jackdawhall::loop
