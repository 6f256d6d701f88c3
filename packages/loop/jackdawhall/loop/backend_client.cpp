#include <jackdawhall/loop/backend_client.hpp>

#include <algorithm>
#include <optional>

#include <jackdawhall/loop/backend_answer.hpp>
#include <jackdawhall/loop/byte_stream.hpp>
#include <jackdawhall/loop/event_loop.hpp>
#include <jackdawhall/loop/http_message.hpp>
#include <jackdawhall/loop/timer.hpp>

namespace jackdawhall::loop
{

namespace
{

constexpr duration connect_timeout = std::chrono::seconds(1);
// A kept connection is left this long before the server would close it.
constexpr duration keep_margin = std::chrono::milliseconds(1000);
// How long a connection is kept whose server names no time.
constexpr duration default_keep = std::chrono::seconds(4);
constexpr std::uint32_t max_answer_header_bytes = 64 << 10;
// A kept connection of which the server has acknowledged nothing for this long
// is dead.
constexpr duration unacknowledged_limit = std::chrono::seconds(1);
// A run that is cancelled at its deadline is cancelled this long before its
// time limit here, at most.
constexpr duration cancel_lead_time = std::chrono::milliseconds(50);
// A connection with more requests than this to remember is not kept.
constexpr std::size_t max_failed_kept = 64;

std::size_t hash_of(answer_rules const& rules)
{
    return std::hash<std::string>{}(rules.echoed_value_);
}

} // namespace

struct backend_client::connection
{
    backend_client* owner_ = nullptr;
    endpoint to_;
    bool connected_ = false;
    bool sent_ = false; // a byte of the run may have left
    std::optional<std::uint64_t> run_;
    std::string method_;
    std::string text_; // of the request
    answer_rules rules_;
    std::optional<response_parser> parser_;
    std::size_t taken_ = 0;       // bytes of the answer in progress
    std::size_t other_bytes_ = 0; // of answers that were passed over
    std::uint32_t other_answers_ = 0;
    bool first_run_ = true;     // of this connection
    bool foreign_seen_ = false; // an answer to another request came
    // Hashes of the ids of requests that were answered without success here.
    std::vector<std::size_t> failed_;
    instant kept_until_;
    std::size_t sent_bytes_ = 0; // of the request
    instant sent_at_;
    instant heard_at_; // the last bytes of the server
    timer_ptr timer_;
    source_ptr connecting_;
    int connecting_fd_ = -1;
    std::unique_ptr<byte_stream> stream_;
    std::unique_ptr<budget_share> share_;
};

backend_client::backend_client(backend_handlers handlers, budget_ptr budget)
    : handlers_(std::move(handlers)), prober_(handlers_.probed_),
      budget_(std::move(budget))
{
}

backend_client::~backend_client()
{
    for (auto const& held : connections_)
        close_fd(held.second->connecting_fd_);
}

void backend_client::run(
    std::uint64_t run, endpoint const& to, request const& r, duration timeout,
    answer_rules const& rules)
{
    connection* kept = take_kept(to, hash_of(rules));
    connection& c = kept ? *kept : connect_to(to);
    c.run_ = run;
    c.method_ = r.method_;
    c.text_ = to_text(r, to);
    c.rules_ = rules;
    c.sent_ = c.foreign_seen_ = false;
    c.first_run_ = !kept;
    c.other_answers_ = 0;
    c.other_bytes_ = 0;
    runs_.insert_or_assign(run, &c);
    if (c.connecting_fd_ < 0 && !c.stream_)
        return finish(c, backend_not_connected{});
    instant const now = read_clocks().now_;
    duration const bound =
        c.connected_ ? timeout : std::min(timeout, connect_timeout);
    c.kept_until_ = now + timeout;
    set_timer_due(c.timer_, now + bound);
    if (c.connected_)
        send(c);
    count(c);
}

// Says whether a copy of an earlier refusal could pass for the answer to the
// request with this id.
bool backend_client::has_failed(connection const& c, std::size_t id_hash)
{
    return std::find(c.failed_.begin(), c.failed_.end(), id_hash) !=
           c.failed_.end();
}

backend_client::connection*
backend_client::take_kept(endpoint const& to, std::size_t id_hash)
{
    std::vector<connection*>& kept = kept_[to];
    instant const now = read_clocks().now_;
    for (std::size_t at = kept.size(); at-- > 0;)
    {
        connection* c = kept.at(at);
        bool const usable = now < c->kept_until_ && !c->stream_->has_unread();
        // A run would wait behind what the server has not read.
        bool const behind = usable && c->stream_->unacknowledged() > 0;
        if (behind || (usable && has_failed(*c, id_hash)))
            continue;
        kept.erase(kept.begin() + static_cast<std::ptrdiff_t>(at));
        if (usable)
            return c;
        drop(*c);
    }
    return nullptr;
}

backend_client::connection& backend_client::connect_to(endpoint const& to)
{
    auto made = std::make_unique<connection>();
    connection& c = *made;
    connections_.emplace(&c, std::move(made));
    c.owner_ = this;
    c.to_ = to;
    c.share_ =
        std::make_unique<budget_share>(budget_, [&c] { c.owner_->give_up(c); });
    c.timer_ = make_timer([&c] { c.owner_->time_out(c); });
    c.connecting_fd_ = begin_connect(to);
    if (c.connecting_fd_ < 0)
        return c;
    c.connecting_ = watch_fd(
        c.connecting_fd_,
        static_cast<GIOCondition>(G_IO_OUT | G_IO_ERR | G_IO_HUP),
        [](gint fd, GIOCondition, gpointer data) -> gboolean
        {
            connection& ready = *static_cast<connection*>(data);
            ready.connecting_.reset();
            if (!is_connected(fd))
            {
                ready.owner_->finish(ready, backend_not_connected{});
                return G_SOURCE_REMOVE;
            }
            ready.connecting_fd_ = -1;
            ready.connected_ = true;
            ready.stream_ = std::make_unique<byte_stream>(
                fd,
                stream_handlers{
                    [&ready] { ready.owner_->take_bytes(ready); },
                    [&ready](stream_end how) {
                        ready.owner_->take_end(
                            ready, how == stream_end::finished);
                    },
                    [&ready] { count(ready); }});
            ready.owner_->send(ready);
            count(ready);
            return G_SOURCE_REMOVE;
        },
        &c);
    return c;
}

void backend_client::begin_answer(connection& c)
{
    c.taken_ = 0;
    c.parser_.emplace();
    c.parser_->eager(true);
    c.parser_->header_limit(max_answer_header_bytes);
    c.parser_->body_limit(max_answer_bytes);
    if (c.method_ == "HEAD")
        c.parser_->skip(true);
}

void backend_client::send(connection& c)
{
    c.sent_at_ = read_clocks().now_;
    instant const check_at = c.sent_at_ + unacknowledged_limit;
    set_timer_due(
        c.timer_,
        c.first_run_ ? c.kept_until_ : std::min(c.kept_until_, check_at));
    begin_answer(c);
    c.sent_ = true;
    c.sent_bytes_ = c.text_.size();
    c.stream_->write(std::exchange(c.text_, {}));
}

void backend_client::take_bytes(connection& c)
{
    if (!c.run_)
        return drop(c); // bytes on an idle connection belong to no request
    c.heard_at_ = read_clocks().now_;
    std::string& in = c.stream_->input();
    do
    {
        boost::beast::error_code const error =
            feed(*c.parser_, in, c.taken_, max_answer_header_bytes);
        if (error)
            return finish_broken(c, reason_of(error));
        if (!c.parser_->is_done())
            break;
        if (take_answer(c))
            return;
    } while (!in.empty());
    count(c);
}

// Returns false if the answer to the run must still follow.
bool backend_client::take_answer(connection& c)
{
    response_parser::value_type message = c.parser_->release();
    answer a;
    a.status_ = static_cast<std::uint16_t>(message.result_int());
    a.headers_ = headers_of(message.base());
    a.body_ = std::move(message.body());
    owner const whose = owner_of(a, c.rules_, c.first_run_ && !c.foreign_seen_);
    if (whose == owner::other)
    {
        c.foreign_seen_ = c.foreign_seen_ || a.status_ >= 200;
        pass_over(c);
        return !c.run_;
    }
    if (whose == owner::unknown)
    {
        finish_broken(c, indeterminate_reason::answer_incomplete);
        return true;
    }
    if (!is_success(a) && !c.rules_.echoed_name_.empty())
        c.failed_.push_back(hash_of(c.rules_));
    bool const whole_request = c.stream_->unwritten() == 0;
    bool const reusable = message.keep_alive() && whole_request &&
                          !c.foreign_seen_ && c.stream_->input().empty() &&
                          c.failed_.size() <= max_failed_kept;
    duration const longest =
        keep_alive_time(find_header(a.headers_, "keep-alive"))
            .value_or(default_keep);
    std::uint64_t const run = *std::exchange(c.run_, std::nullopt);
    runs_.erase(run);
    c.share_->clear();
    if (reusable && longest > keep_margin)
        keep(c, longest - keep_margin);
    else
        drop(c);
    handlers_.done_(run, backend_answered{std::move(a)});
    return true;
}

// The answer to this run follows on the same connection.
void backend_client::pass_over(connection& c)
{
    c.other_bytes_ += c.taken_;
    ++c.other_answers_;
    if (c.other_answers_ > max_other_answers ||
        c.other_bytes_ > max_answer_bytes)
        return finish_broken(c, indeterminate_reason::answer_too_large);
    begin_answer(c);
}

// Memory that the run of a connection takes.
std::size_t backend_client::allocated(connection const& c)
{
    std::size_t bytes = c.text_.capacity();
    if (c.stream_)
        bytes += c.stream_->allocated();
    if (c.parser_)
        bytes += c.parser_->get().body().capacity() +
                 std::min<std::size_t>(c.taken_, max_answer_header_bytes);
    return bytes;
}

void backend_client::count(connection& c)
{
    if (c.share_ && c.run_)
        c.share_->set(backend_exchange{c.to_}, allocated(c));
}

// Ends the run of a connection, which holds too much.
void backend_client::give_up(connection& c)
{
    if (!c.run_)
        return drop(c);
    if (!c.sent_)
        return finish(c, backend_not_connected{false});
    finish_broken(
        c, c.parser_->got_some() ? indeterminate_reason::answer_too_large
                                 : indeterminate_reason::cancelled);
}

void backend_client::take_end(connection& c, bool clean)
{
    if (!c.run_)
        return drop(c);
    if (clean && c.rules_.may_lack_length_ && c.parser_->is_header_done() &&
        !c.parser_->is_done())
    {
        // An answer without a length ends with its connection.
        boost::beast::error_code error;
        c.parser_->put_eof(error);
        bool const whole = !error && c.parser_->is_done();
        if (whole && take_answer(c))
            return;
    }
    bool const began = c.parser_->got_some();
    finish_broken(
        c, began ? indeterminate_reason::answer_incomplete
                 : indeterminate_reason::connection_lost);
}

void backend_client::keep(connection& c, duration longest)
{
    c.kept_until_ = read_clocks().now_ + longest;
    set_timer_due(c.timer_, c.kept_until_);
    kept_[c.to_].push_back(&c);
}

void backend_client::time_out(connection& c)
{
    if (!c.run_)
        return drop(c);
    if (!c.sent_)
        return finish(c, backend_not_connected{});
    bool const late = read_clocks().now_ >= c.kept_until_;
    bool const silent = c.heard_at_ < c.sent_at_;
    bool const dead = silent && c.stream_->unacknowledged() >= c.sent_bytes_;
    if (dead || (silent && late))
        forget_unheard(c.to_, c.sent_at_);
    if (late)
        return finish_broken(c, indeterminate_reason::deadline_passed);
    if (dead && c.rules_.may_be_repeated_)
        return finish_broken(c, indeterminate_reason::connection_lost);
    set_timer_due(c.timer_, c.kept_until_);
}

void backend_client::cancel(std::uint64_t run)
{
    auto const known = runs_.find(run);
    if (known == runs_.end())
        return;
    connection& c = *known->second;
    bool const late = read_clocks().now_ + cancel_lead_time >= c.kept_until_;
    if (c.sent_ && c.heard_at_ < c.sent_at_ && late)
        forget_unheard(c.to_, c.sent_at_);
    if (c.sent_)
        finish_broken(c, indeterminate_reason::cancelled);
    else
        finish(c, backend_not_connected{false});
}

void backend_client::finish_broken(connection& c, indeterminate_reason reason)
{
    finish(c, backend_broken{reason});
}

void backend_client::finish(connection& c, backend_result result)
{
    std::uint64_t const run = *std::exchange(c.run_, std::nullopt);
    runs_.erase(run);
    drop(c);
    handlers_.done_(run, std::move(result));
}

void backend_client::drop(connection& c)
{
    auto const known = connections_.find(&c);
    if (known == connections_.end())
        return;
    std::erase(kept_[c.to_], &c);
    c.share_.reset();
    c.connecting_.reset();
    c.timer_.reset();
    close_fd(std::exchange(c.connecting_fd_, -1));
    if (c.stream_)
        c.stream_->close();
    closed_.push_back(std::move(known->second));
    connections_.erase(known);
    collect_.ask();
}

// What made one connection silent may have made others so: those that nothing
// came over since are not used again.
void backend_client::forget_unheard(endpoint const& to, instant since)
{
    std::vector<connection*> const kept = kept_[to];
    for (connection* c : kept)
    {
        if (c->heard_at_ < since)
            drop(*c);
    }
}

void backend_client::collect()
{
    closed_.clear();
}

void backend_client::probe(std::string const& server_id, endpoint const& to)
{
    prober_.probe(server_id, to);
}

} // namespace jackdawhall::loop
