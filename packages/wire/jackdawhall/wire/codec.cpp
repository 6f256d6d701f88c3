#include <jackdawhall/wire/codec.hpp>

#include <memory>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <jackdawhall/wire/protocol.hpp>

namespace jackdawhall::wire
{

namespace
{

using apache::thrift::TConfiguration;
using apache::thrift::TException;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

template <class T>
std::string to_bytes(T const& value)
{
    auto buffer = std::make_shared<TMemoryBuffer>();
    TCompactProtocolT<TMemoryBuffer> out(buffer);
    write(out, value);
    return buffer->getBufferAsString();
}

// Throws malformed_bytes, odd_value or TException.
template <class T>
T from_bytes(std::string const& bytes)
{
    auto configuration =
        std::make_shared<TConfiguration>(static_cast<int>(max_message_bytes));
    auto buffer = std::make_shared<TMemoryBuffer>(
        reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data())),
        static_cast<std::uint32_t>(bytes.size()), TMemoryBuffer::OBSERVE,
        configuration);
    TCompactProtocolT<TMemoryBuffer> in(
        buffer, static_cast<int>(bytes.size()), static_cast<int>(bytes.size()));
    T value{};
    read(in, value);
    if (buffer->available_read() != 0)
        throw malformed_bytes{"bytes after the value"};
    return value;
}

leaf::error_id refuse(std::string const& why)
{
    return leaf::new_error(user_error{
        "the bytes are not a valid value: " + why,
        "run the same release of jackdawhall on both hosts"});
}

template <class T>
leaf::result<T> try_from_bytes(std::string const& bytes)
{
    try
    {
        return from_bytes<T>(bytes);
    }
    catch (malformed_bytes const& e)
    {
        return refuse(e.what_);
    }
    catch (odd_value const& e)
    {
        return refuse(e.what_);
    }
    catch (TException const& e)
    {
        return refuse(e.what());
    }
    catch (std::bad_alloc const&)
    {
        return refuse("too large");
    }
}

template <class Body>
record_body as_body(std::string const& bytes)
{
    return from_bytes<Body>(bytes);
}

} // namespace

std::string write_body(record_body const& body)
{
    return std::visit(
        overloaded{
            [](unknown_record const& u) { return u.payload_; },
            [](auto const& known) { return to_bytes(known); },
        },
        body);
}

record_body read_body(record_key const& key, std::string const& bytes)
{
    if (key.kind_ == "account" && key.schema_ == 1)
        return as_body<account_v1>(bytes);
    if (key.kind_ == "account" && key.schema_ == 2)
        return as_body<account_v2>(bytes);
    if (key.kind_ == "key" && key.schema_ == 1)
        return as_body<key_v1>(bytes);
    if (key.kind_ == "route" && key.schema_ == 1)
        return as_body<route_v1>(bytes);
    if (key.kind_ == "service" && key.schema_ == 1)
        return as_body<service_v1>(bytes);
    if (key.kind_ == "suspect" && key.schema_ == 1)
        return as_body<suspect_v1>(bytes);
    if (key.kind_ == "account" && key.schema_ == 3)
        return as_body<account_v3>(bytes);
    if (key.kind_ == "key" && key.schema_ == 2)
        return as_body<key_v2>(bytes);
    if (key.kind_ == "route" && key.schema_ == 2)
        return as_body<route_v2>(bytes);
    if (key.kind_ == "service" && key.schema_ == 2)
        return as_body<service_v2>(bytes);
    if (key.kind_ == "limits" && key.schema_ == 1)
        return as_body<limits_v1>(bytes);
    if (key.kind_ == "departure" && key.schema_ == 1)
        return as_body<departure_v1>(bytes);
    return unknown_record{bytes};
}

std::string encode(message const& m)
{
    return to_bytes(m);
}
std::string encode(log_entry const& entry)
{
    return to_bytes(entry);
}
std::string encode(snapshot const& s)
{
    return to_bytes(s);
}
std::string encode(control::hard_state const& s)
{
    return to_bytes(s);
}
std::string encode(voter const& v)
{
    return to_bytes(v);
}

leaf::result<message> decode_message(std::string const& bytes)
{
    return try_from_bytes<message>(bytes);
}

leaf::result<log_entry> decode_entry(std::string const& bytes)
{
    return try_from_bytes<log_entry>(bytes);
}

leaf::result<snapshot> decode_snapshot(std::string const& bytes)
{
    return try_from_bytes<snapshot>(bytes);
}

leaf::result<control::hard_state> decode_hard_state(std::string const& bytes)
{
    return try_from_bytes<control::hard_state>(bytes);
}

leaf::result<voter> decode_voter(std::string const& bytes)
{
    return try_from_bytes<voter>(bytes);
}

} // namespace jackdawhall::wire
