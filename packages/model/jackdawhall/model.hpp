// Value types shared by every package: names, instants, requests, verdicts,
// configuration records, backend servers and messages. They are immutable and
// comparable, and do not depend on any encoding.
#pragma once

#include <jackdawhall/model/error.hpp>
#include <jackdawhall/model/indirect.hpp>
#include <jackdawhall/model/log.hpp>
#include <jackdawhall/model/message.hpp>
#include <jackdawhall/model/name.hpp>
#include <jackdawhall/model/node.hpp>
#include <jackdawhall/model/random.hpp>
#include <jackdawhall/model/rate.hpp>
#include <jackdawhall/model/reason.hpp>
#include <jackdawhall/model/record.hpp>
#include <jackdawhall/model/request.hpp>
#include <jackdawhall/model/secret.hpp>
#include <jackdawhall/model/server.hpp>
#include <jackdawhall/model/size.hpp>
#include <jackdawhall/model/step.hpp>
#include <jackdawhall/model/time.hpp>
#include <jackdawhall/model/uuid.hpp>
#include <jackdawhall/model/verdict.hpp>
