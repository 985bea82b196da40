#pragma once

#include "snipeweir/core/Clock.h"

#include <boost/asio/basic_waitable_timer.hpp>

namespace snipeweir {

/// Timer on BootTime, the clock of all timers and deadlines of the relay.
using Timer = boost::asio::basic_waitable_timer<BootTime>;

/// Sets the deadline of a stream's operations. The stream's own timer does not count the time of a system suspension.
template <typename Stream> void expireAt(Stream& stream, SteadyTime deadline)
{
    stream.expires_after(deadline - BootTime::now());
}

}
