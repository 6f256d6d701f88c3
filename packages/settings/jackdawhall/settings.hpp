// Settings of a daemon, from a YAML file, checked as a whole: every error is
// given with its line, its key and what to write instead.
#pragma once

#include <jackdawhall/settings/daemon_settings.hpp>
