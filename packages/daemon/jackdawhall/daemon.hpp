// The daemon as a whole: nodes of the roles it has, driven by the loop.
#pragma once

#include <jackdawhall/daemon/daemon.hpp>
