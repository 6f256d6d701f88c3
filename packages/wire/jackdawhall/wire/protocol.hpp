// Writes and reads the fields of a value by a Thrift protocol.
// Not for users of the package.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include <thrift/protocol/TProtocol.h>

#include <jackdawhall/wire/fields.hpp>

namespace jackdawhall::wire
{

using apache::thrift::protocol::TProtocol;
using apache::thrift::protocol::TType;

// The bytes are not a value of the type expected.
struct malformed_bytes
{
    char const* what_;
};

// A value was read to its end, but is not one of its type: what follows it can
// still be read.
struct odd_value
{
    char const* what_;
};

template <class T>
struct is_vector : std::false_type
{
};
template <class T>
struct is_vector<std::vector<T>> : std::true_type
{
};
template <class T>
struct is_variant : std::false_type
{
};
template <class... T>
struct is_variant<std::variant<T...>> : std::true_type
{
};
template <class T>
struct is_optional : std::false_type
{
};
template <class T>
struct is_optional<std::optional<T>> : std::true_type
{
};
template <class T>
struct is_pair : std::false_type
{
};
template <class L, class R>
struct is_pair<std::pair<L, R>> : std::true_type
{
};
// A body in the place that its key names.
using placed_body = std::pair<record_key, record_body>;

template <class T>
struct is_name : std::false_type
{
};
template <class Tag>
struct is_name<name<Tag>> : std::true_type
{
};

// Thrift type of a value.
template <class T>
constexpr TType type_of()
{
    using namespace apache::thrift::protocol;
    if constexpr (std::is_same_v<T, bool>)
        return T_BOOL;
    else if constexpr (
        std::is_integral_v<T> || std::is_enum_v<T> ||
        std::is_same_v<T, duration> || std::is_same_v<T, wall_time>)
        return T_I64;
    else if constexpr (std::is_same_v<T, std::string> || is_name<T>::value)
        return T_STRING;
    else if constexpr (is_vector<T>::value || is_optional<T>::value)
        return T_LIST;
    else
        return T_STRUCT;
}

template <class T>
void write(TProtocol& out, T const& v);
template <class T>
void read(TProtocol& in, T& v);

// A record's body is bytes within the record, so that a program can keep and
// pass on a body whose schema it does not know.
std::string write_body(record_body const& body);
record_body read_body(record_key const& key, std::string const& bytes);

template <class T>
void write_field(TProtocol& out, std::int16_t id, T const& v)
{
    out.writeFieldBegin("", type_of<T>(), id);
    write(out, v);
    out.writeFieldEnd();
}

template <class Fields>
void write_struct(TProtocol& out, Fields const& fields)
{
    out.writeStructBegin("");
    std::apply(
        [&](auto const&... field)
        {
            std::int16_t id = 0;
            (write_field(out, ++id, field), ...);
        },
        fields);
    out.writeFieldStop();
    out.writeStructEnd();
}

// Reads the field numbered `id` into the right member; false if there is none.
template <class Fields>
bool read_field(TProtocol& in, std::int16_t id, TType type, Fields& fields)
{
    bool found = false;
    std::apply(
        [&](auto&... field)
        {
            std::int16_t at = 0;
            [[maybe_unused]] auto const try_one = [&](auto& member)
            {
                using member_type = std::remove_reference_t<decltype(member)>;
                if (++at != id || type != type_of<member_type>())
                    return;
                read(in, member);
                found = true;
            };
            (try_one(field), ...);
        },
        fields);
    return found;
}

template <class Fields>
void read_struct(TProtocol& in, Fields fields)
{
    std::string ignored;
    std::optional<odd_value> odd;
    in.readStructBegin(ignored);
    for (;;)
    {
        TType type{};
        std::int16_t id = 0;
        in.readFieldBegin(ignored, type, id);
        if (type == apache::thrift::protocol::T_STOP)
            break;
        try
        {
            if (!read_field(in, id, type, fields))
                in.skip(type);
        }
        catch (odd_value const& e)
        {
            odd = e;
        }
        in.readFieldEnd();
    }
    in.readStructEnd();
    if (odd)
        throw *odd;
}

template <class Variant, std::size_t Index = 0>
void read_alternative(TProtocol& in, std::size_t index, Variant& v)
{
    if constexpr (Index < std::variant_size_v<Variant>)
    {
        if (index != Index)
            return read_alternative<Variant, Index + 1>(in, index, v);
        std::variant_alternative_t<Index, Variant> alternative{};
        try
        {
            read(in, alternative);
        }
        catch (odd_value const& e)
        {
            throw malformed_bytes{e.what_}; // the union is not at its end
        }
        v = std::move(alternative);
    }
    else
    {
        throw malformed_bytes{"unknown alternative"};
    }
}

template <class Variant>
void read_union(TProtocol& in, Variant& v)
{
    std::string ignored;
    TType type{};
    std::int16_t id = 0;
    in.readStructBegin(ignored);
    in.readFieldBegin(ignored, type, id);
    if (type != apache::thrift::protocol::T_STRUCT || id < 1)
        throw malformed_bytes{"empty union"};
    read_alternative(in, static_cast<std::size_t>(id - 1), v);
    in.readFieldEnd();
    in.readFieldBegin(ignored, type, id);
    if (type != apache::thrift::protocol::T_STOP)
        throw malformed_bytes{"union of two"};
    in.readStructEnd();
}

// An odd backend server is left out of its list, so that one daemon's odd entry
// does not cost a receiver the others.
template <class Vector>
void read_list(TProtocol& in, Vector& v)
{
    using element_type = typename Vector::value_type;
    std::optional<odd_value> odd;
    TType type{};
    std::uint32_t size = 0;
    in.readListBegin(type, size);
    if (size != 0 && type != type_of<element_type>())
        throw malformed_bytes{"list of another type"};
    v.clear();
    for (std::uint32_t i = 0; i < size; ++i)
    {
        try
        {
            element_type element{};
            read(in, element);
            v.push_back(std::move(element));
        }
        catch (odd_value const& e)
        {
            odd = e;
        }
    }
    in.readListEnd();
    if (odd && !std::is_same_v<element_type, backend_server>)
        throw *odd;
}

template <class Vector>
void write_list(TProtocol& out, Vector const& v)
{
    out.writeListBegin(
        type_of<typename Vector::value_type>(),
        static_cast<std::uint32_t>(v.size()));
    for (auto const& element : v)
        write(out, element);
    out.writeListEnd();
}

template <class T>
T checked_integer(std::int64_t wide)
{
    if constexpr (std::is_enum_v<T>)
    {
        if (wide < 0 || wide > static_cast<std::int64_t>(T::last_))
            throw odd_value{"enumerator out of range"};
        return static_cast<T>(wide);
    }
    else
    {
        if constexpr (sizeof(T) < sizeof wide)
        {
            if (!std::in_range<T>(wide))
                throw odd_value{"number out of range"};
        }
        return static_cast<T>(wide);
    }
}

template <class T>
void write(TProtocol& out, T const& v)
{
    if constexpr (std::is_same_v<T, bool>)
        out.writeBool(v);
    else if constexpr (std::is_integral_v<T> || std::is_enum_v<T>)
        out.writeI64(static_cast<std::int64_t>(v));
    else if constexpr (std::is_same_v<T, duration>)
        out.writeI64(v.count());
    else if constexpr (std::is_same_v<T, wall_time>)
        out.writeI64(v.time_since_epoch().count());
    else if constexpr (std::is_same_v<T, std::string>)
        out.writeBinary(v);
    else if constexpr (is_name<T>::value)
        out.writeBinary(v.str());
    else if constexpr (is_vector<T>::value)
        write_list(out, v);
    else if constexpr (is_optional<T>::value)
    {
        using element = typename T::value_type;
        write_list(out, v ? std::vector<element>{*v} : std::vector<element>{});
    }
    else if constexpr (is_pair<T>::value && !std::is_same_v<T, placed_body>)
        write_struct(out, std::tie(v.first, v.second));
    else if constexpr (is_variant<T>::value)
    {
        out.writeStructBegin("");
        std::visit(
            [&](auto const& alternative) {
                write_field(
                    out, static_cast<std::int16_t>(v.index() + 1), alternative);
            },
            v);
        out.writeFieldStop();
        out.writeStructEnd();
    }
    else if constexpr (std::is_same_v<T, record>)
    {
        std::string const body = write_body(v.body_);
        write_struct(out, std::tie(v.key_, v.revision_, body));
    }
    else if constexpr (std::is_same_v<T, placed_body>)
    {
        std::string const body = write_body(v.second);
        write_struct(out, std::tie(v.first, body));
    }
    else if constexpr (std::is_same_v<T, edit>)
    {
        std::vector<std::string> body;
        if (v.body_)
            body.push_back(write_body(*v.body_));
        write_struct(out, std::tie(v.key_, v.expected_, body));
    }
    else
        write_struct(out, fields_of(v));
}

template <class T>
void read_name(TProtocol& in, T& v)
{
    std::string text;
    in.readBinary(text);
    if (text.empty())
    {
        v = T{};
        return;
    }
    leaf::result<T> made = T::make(std::move(text));
    if (!made)
        throw odd_value{"not a name"};
    v = std::move(made.value());
}

template <class T>
void read(TProtocol& in, T& v)
{
    if constexpr (std::is_same_v<T, bool>)
        in.readBool(v);
    else if constexpr (std::is_integral_v<T> || std::is_enum_v<T>)
    {
        std::int64_t wide = 0;
        in.readI64(wide);
        v = checked_integer<T>(wide);
    }
    else if constexpr (
        std::is_same_v<T, duration> || std::is_same_v<T, wall_time>)
    {
        std::int64_t count = 0;
        in.readI64(count);
        v = T{typename T::duration{count}};
    }
    else if constexpr (std::is_same_v<T, std::string>)
        in.readBinary(v);
    else if constexpr (is_name<T>::value)
        read_name(in, v);
    else if constexpr (is_vector<T>::value)
        read_list(in, v);
    else if constexpr (is_optional<T>::value)
    {
        std::vector<typename T::value_type> elements;
        read_list(in, elements);
        if (!elements.empty())
            v = std::move(elements.front());
    }
    else if constexpr (is_pair<T>::value && !std::is_same_v<T, placed_body>)
        read_struct(in, std::tie(v.first, v.second));
    else if constexpr (is_variant<T>::value)
        read_union(in, v);
    else if constexpr (std::is_same_v<T, record>)
    {
        std::string body;
        read_struct(in, std::tie(v.key_, v.revision_, body));
        v.body_ = read_body(v.key_, body);
    }
    else if constexpr (std::is_same_v<T, placed_body>)
    {
        std::string body;
        read_struct(in, std::tie(v.first, body));
        v.second = read_body(v.first, body);
    }
    else if constexpr (std::is_same_v<T, edit>)
    {
        std::vector<std::string> body;
        read_struct(in, std::tie(v.key_, v.expected_, body));
        if (!body.empty())
            v.body_ = read_body(v.key_, body.front());
    }
    else if constexpr (std::is_same_v<T, backend_server>)
    {
        read_struct(in, fields_of(v));
        if (!is_within_bounds(v))
            throw odd_value{"a backend server out of bounds"};
    }
    else
        read_struct(in, fields_of(v));
}

} // namespace jackdawhall::wire
