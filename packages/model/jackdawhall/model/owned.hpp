// A value on the heap: moving it costs a pointer, copying and comparing it
// copy and compare the value. For values that pass from filter to filter and
// are large.
#pragma once

#include <compare>
#include <memory>
#include <utility>

namespace jackdawhall
{

template <class T>
class owned
{
public:
    explicit owned(T value) : value_(std::make_unique<T>(std::move(value))) {}
    owned(owned&& other) noexcept = default;
    owned& operator=(owned&& other) noexcept = default;
    owned(owned const& other) : value_(std::make_unique<T>(*other)) {}
    owned& operator=(owned const& other)
    {
        if (this != &other)
            value_ = std::make_unique<T>(*other);
        return *this;
    }
    ~owned() = default;

    T& operator*() { return *value_; }
    T const& operator*() const { return *value_; }
    T* operator->() { return value_.get(); }
    T const* operator->() const { return value_.get(); }

    friend auto operator<=>(owned const& left, owned const& right)
    {
        return *left <=> *right;
    }
    friend bool operator==(owned const& left, owned const& right)
    {
        return *left == *right;
    }

private:
    std::unique_ptr<T> value_; // empty only once it was moved from
};

} // namespace jackdawhall
