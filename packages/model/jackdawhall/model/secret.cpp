#include <jackdawhall/model/secret.hpp>

#include <array>
#include <sodium.h>

namespace jackdawhall
{

namespace
{

constexpr std::string_view key_prefix = "jdh_";

std::string to_hex(unsigned char const* bytes, std::size_t size)
{
    std::string text(size * 2 + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), bytes, size);
    text.pop_back();
    return text;
}

unsigned char const* bytes_of(std::string_view text)
{
    return reinterpret_cast<unsigned char const*>(text.data());
}

} // namespace

std::string format_key(presented_key const& key)
{
    return std::string(key_prefix) + key.account_.str() + "/" + key.key_.str() +
           "/" + key.secret_;
}

std::optional<presented_key> parse_key(std::string_view text)
{
    if (!text.starts_with(key_prefix))
        return std::nullopt;
    text.remove_prefix(key_prefix.size());
    std::size_t const first_slash = text.find('/');
    if (first_slash == std::string_view::npos)
        return std::nullopt;
    std::size_t const second_slash = text.find('/', first_slash + 1);
    if (second_slash == std::string_view::npos)
        return std::nullopt;
    std::string_view const account = text.substr(0, first_slash);
    std::string_view const key =
        text.substr(first_slash + 1, second_slash - first_slash - 1);
    std::string_view const secret = text.substr(second_slash + 1);
    if (!is_name(account) || !is_name(key) ||
        secret.size() != key_secret_bytes * 2)
        return std::nullopt;
    return presented_key{
        account_name::make(std::string(account)).value(),
        key_name::make(std::string(key)).value(), std::string(secret)};
}

std::string hash_secret(std::string const& secret, std::string const& salt)
{
    std::array<unsigned char, 32> hash{};
    std::array<unsigned char, crypto_generichash_KEYBYTES> salt_key{};
    crypto_generichash(
        salt_key.data(), salt_key.size(), bytes_of(salt), salt.size(), nullptr,
        0);
    crypto_generichash(
        hash.data(), hash.size(), bytes_of(secret), secret.size(),
        salt_key.data(), salt_key.size());
    return to_hex(hash.data(), hash.size());
}

bool equal_in_constant_time(std::string const& left, std::string const& right)
{
    return left.size() == right.size() &&
           sodium_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string fingerprint(std::string_view bytes)
{
    std::array<unsigned char, crypto_generichash_BYTES_MIN> hash{};
    crypto_generichash(
        hash.data(), hash.size(), bytes_of(bytes), bytes.size(), nullptr, 0);
    return to_hex(hash.data(), hash.size());
}

} // namespace jackdawhall
