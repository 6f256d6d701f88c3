#include <jackdawhall/loop/http_message.hpp>

#include <algorithm>

namespace jackdawhall::loop
{

namespace
{

// Fields that this daemon writes itself for each connection.
bool is_framing(std::string const& name)
{
    return name == "content-length" || name == "transfer-encoding" ||
           name == "connection" || name == "keep-alive";
}

void write_fields(std::string& out, headers const& fields)
{
    for (header const& field : fields)
    {
        if (!is_framing(field.name_))
            out.append(field.name_)
                .append(": ")
                .append(field.value_)
                .append("\r\n");
    }
}

bool has_body(std::string const& method, std::uint16_t status)
{
    return method != "HEAD" && status >= 200 && status != 204 && status != 304;
}

} // namespace

headers headers_of(http::fields const& from)
{
    headers fields;
    for (auto const& field : from)
    {
        std::string name(field.name_string());
        std::transform(
            name.begin(), name.end(), name.begin(),
            [](char c) { return c >= 'A' && c <= 'Z' ? char(c + 32) : c; });
        fields.push_back({std::move(name), std::string(field.value())});
    }
    return fields;
}

std::string to_text(request const& r, endpoint const& host)
{
    std::string out = r.method_ + " " + r.path_ + " HTTP/1.1\r\n";
    if (find_header(r.headers_, "host").empty())
        out += "host: " + host.address_ + ":" + std::to_string(host.port_) +
               "\r\n";
    write_fields(out, r.headers_);
    bool const expects_body = r.method_ == "POST" || r.method_ == "PUT";
    if (!r.body_.empty() || expects_body)
        out += "content-length: " + std::to_string(r.body_.size()) + "\r\n";
    out += "\r\n";
    out.reserve(out.size() + r.body_.size());
    return out.append(r.body_);
}

std::string to_text(answer const& a, std::string const& method, bool last)
{
    std::string out = "HTTP/1.1 " + std::to_string(a.status_) + " ";
    out += std::string(http::obsolete_reason(http::int_to_status(a.status_)));
    out += "\r\n";
    write_fields(out, a.headers_);
    if (has_body("GET", a.status_))
        out += "content-length: " + std::to_string(a.body_.size()) + "\r\n";
    if (last)
        out += "connection: close\r\n";
    out += "\r\n";
    if (!has_body(method, a.status_))
        return out;
    out.reserve(out.size() + a.body_.size());
    return out.append(a.body_);
}

} // namespace jackdawhall::loop
