// A value on the heap with value semantics, like C++26 std::indirect: moving it
// moves a pointer, copying and comparing it copy and compare the value. Used
// for large values that pass from filter to filter.
#pragma once

#include <compare>
#include <memory>
#include <utility>

namespace jackdawhall
{

template <class T>
class indirect
{
public:
    explicit indirect(T value) : value_(std::make_unique<T>(std::move(value)))
    {
    }
    indirect(indirect&& other) noexcept = default;
    indirect& operator=(indirect&& other) noexcept = default;
    indirect(indirect const& other) : value_(std::make_unique<T>(*other)) {}
    indirect& operator=(indirect const& other)
    {
        if (this != &other)
            value_ = std::make_unique<T>(*other);
        return *this;
    }
    ~indirect() = default;

    T& operator*() { return *value_; }
    T const& operator*() const { return *value_; }
    T* operator->() { return value_.get(); }
    T const* operator->() const { return value_.get(); }

    friend auto operator<=>(indirect const& left, indirect const& right)
    {
        return *left <=> *right;
    }
    friend bool operator==(indirect const& left, indirect const& right)
    {
        return *left == *right;
    }

private:
    std::unique_ptr<T> value_; // null only after a move
};

} // namespace jackdawhall
