// The operators' client: commands in, HTTP to the control hosts, text or JSON
// out.
#pragma once

#include <jackdawhall/ctl/command.hpp>
#include <jackdawhall/ctl/commands.hpp>
#include <jackdawhall/ctl/control_client.hpp>
#include <jackdawhall/ctl/records_file.hpp>
#include <jackdawhall/ctl/table.hpp>
