#pragma once

#include "snipeweir/core/Identity.h"
#include "snipeweir/transport/HttpClient.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace snipeweir {

/// One revision of a document published by the platform.
struct PublishedDocument {
    Revision revision;
    std::string text;
};

/// HTTP client that reads and watches documents of the platform's configuration service. All waits are bounded. For use
/// by one thread, except for calls().
class PlatformClient {
public:
    /// @param addresses Addresses of the service. After a failure, the next read uses the next address.
    PlatformClient(HttpClient&, const Clock&, std::vector<Address> addresses);

    /// Reads a document if it has a newer revision (long poll).
    /// @param name Name of the document, "configuration" or "vms".
    /// @param after Last known revision; only later ones are returned.
    /// @param wait Maximum time that the service may wait for a newer revision; zero returns at once.
    /// @param mayContinue Called while waiting; returning false cancels the read.
    /// @return The document; empty if there is no newer revision. ErrorCode::Unavailable if the service did not respond
    /// or the response is invalid.
    Result<std::optional<PublishedDocument>> read(const std::string& name, Revision after,
        std::chrono::milliseconds wait, const std::function<bool()>& mayContinue);

    /// @return Number of calls made to the service. Any thread may call this.
    uint64_t calls() const { return m_calls.load(); }

private:
    HttpClient& m_client;
    const Clock& m_clock;
    std::vector<Address> m_addresses;
    size_t m_current = 0;
    std::atomic<uint64_t> m_calls { 0 };
};

}
