#pragma once

#include "snipeweir/core/Clock.h"

#include <boost/asio/basic_waitable_timer.hpp>

namespace snipeweir {

/// Timer in the time of BootClock, which the relay uses throughout.
using Timer = boost::asio::basic_waitable_timer<BootTime>;

/// Sets the time at which the operations of a stream end. The stream's own timer does not count suspensions.
template <typename Stream> void expireAt(Stream& stream, SteadyTime deadline)
{
    stream.expires_after(deadline - BootTime::now());
}

}
