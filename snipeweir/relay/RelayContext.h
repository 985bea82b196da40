#pragma once

#include <boost/asio/io_context.hpp>

namespace snipeweir {

/// The io_context of a relay. A coroutine that waits for an operation holds objects that use the parts of the relay,
/// also in their destructors; here it can be destroyed while these parts and their sockets and timers still exist. The
/// destructor of io_context would destroy it only after them.
class RelayContext : public boost::asio::io_context {
public:
    using boost::asio::io_context::io_context;

    /// Destroys all operations that have not ended, with the coroutines that wait for them, without calling their
    /// handlers. Call once, after run() has returned; nothing runs on the context afterwards.
    void destroyOperations() { shutdown(); }
};

}
