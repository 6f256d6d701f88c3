// Does something once in the loop's next round. Used to destroy what may still
// be in use by the handler that ends it. Not for users of the package.
#pragma once

#include <functional>

#include <jackdawhall/loop/gobject.hpp>

namespace jackdawhall::loop
{

class later
{
public:
    explicit later(std::function<void()> f) : f_(std::move(f)) {}

    void ask()
    {
        if (source_)
            return;
        source_.reset(g_idle_source_new());
        // As urgent as a connection: an idle source waits for as long as any
        // connection has something to read.
        g_source_set_priority(source_.get(), G_PRIORITY_DEFAULT);
        g_source_set_callback(
            source_.get(),
            [](gpointer data) -> gboolean
            {
                later& self = *static_cast<later*>(data);
                self.source_.reset();
                self.f_();
                return G_SOURCE_REMOVE;
            },
            this, nullptr);
        attach(source_);
    }

private:
    std::function<void()> f_;
    source_ptr source_;
};

} // namespace jackdawhall::loop
