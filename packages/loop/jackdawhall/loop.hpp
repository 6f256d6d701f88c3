// One GLib main loop on one thread: the clocks, a timer, signals, links between
// daemons, HTTP in and out, and disk syncs. It carries effects out and hands
// inputs in; it decides nothing about calls or shared state.
#pragma once

#include <jackdawhall/loop/backend_client.hpp>
#include <jackdawhall/loop/disk_worker.hpp>
#include <jackdawhall/loop/event_loop.hpp>
#include <jackdawhall/loop/http_fetch.hpp>
#include <jackdawhall/loop/http_server.hpp>
#include <jackdawhall/loop/line_output.hpp>
#include <jackdawhall/loop/memory_budget.hpp>
#include <jackdawhall/loop/peer_links.hpp>
