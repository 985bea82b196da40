#pragma once

#include "snipeweir/fleet/DistributionTree.h"
#include "snipeweir/fleet/FleetSource.h"
#include "snipeweir/relay/HttpExchange.h"
#include "snipeweir/relay/PeerMessage.h"

namespace snipeweir {

/// Fetches announced versions of one document from other nodes. Asks several sources, one after the other while none
/// responds, and does not give up on the earlier ones meanwhile: a full link or a busy VM delays all responses alike,
/// and starting again with the next source would never end. Not thread-safe; all calls must come from the thread that
/// runs the executor.
class DocumentFetcher {
public:
    struct Request {
        /// The document must have this version of the source or a later one.
        SourceDocumentVersion version;
        /// This node's source in the distribution tree.
        DistributionTree::Source treeSource;
        std::string announcer;
        /// Node that forwarded the announcement. In a network partition the announcer may be unreachable while this
        /// node is not.
        std::string forwarder;
        /// Time at which the announcer read the document.
        SteadyTime readAt;
    };

    /// A document and what its sender said about it.
    struct Fetched {
        SourceDocument document;
        /// Version for which the fetch was started; the document may have a later one.
        SourceDocumentVersion announced;
        /// Time at which the announcer read the document.
        SteadyTime readAt;
        /// When the sender could read the source; empty if the sender is of an earlier version.
        std::optional<SourceContinuity> continuity;
        /// Times between which the sender sent the continuity.
        SteadyTime requestedAt {};
        SteadyTime receivedAt {};
        /// Time since the era of the source began; empty if the sender doesn't know what was before.
        std::optional<std::chrono::milliseconds> eraAge = {};
    };

    struct Failure {
        std::string announcer;
        size_t attempts = 0;
        /// Attempts that got a response, without the version.
        size_t responses = 0;
        std::chrono::milliseconds took { 0 };
    };

    /// @param pool Connections to other nodes.
    /// @param port Port on which other nodes serve the document.
    /// @param path Request path of the document.
    DocumentFetcher(asio::any_io_executor, const Clock&, ConnectionPool& pool, uint16_t port, std::string_view path);

    /// Starts a fetch. If one is under way already, it asks the announcer as well, since the announcers that it was
    /// started for may be unreachable by now.
    void fetch(const Request&);

    /// Called with each fetched document.
    std::function<void(Fetched)> onFetched;
    /// Called when no source gave the document.
    std::function<void(const Failure&)> onFailed;

    /// Time limit of an attempt to fetch the document from one source.
    static constexpr std::chrono::milliseconds attemptTimeout { 1500 };
    /// Fields of the response that hold the revision of the document, and the era if the source has eras.
    static constexpr std::string_view revisionField = "Snipeweir-Revision";
    static constexpr std::string_view eraField = "Snipeweir-Era";
    /// Field of the response that holds the time in milliseconds since the era began, if the sender knows what was
    /// before.
    static constexpr std::string_view eraAgeField = "Snipeweir-Era-Age";
    /// Field of the response that holds the sender's SourceContinuity.
    static constexpr std::string_view continuityField = "Snipeweir-Continuity";

private:
    /// Fetch under way. The first document that arrives counts.
    struct Fetch {
        Fetch(const asio::any_io_executor& executor, const Request& started)
            : request(started)
            , progress(executor)
        {
        }
        /// Adds a source to be asked after the others, unless it is known.
        void addSource(const std::string& ip);

        Request request;
        SteadyTime startedAt;
        std::vector<std::string> sources;
        size_t nextSource = 0;
        /// Whether the announcer was asked once more, on another connection: the first one may have gone silent for
        /// good.
        bool hasAskedAgain = false;
        /// Bytes that the attempts in progress have received.
        size_t receivedBytes = 0;
        std::optional<Fetched> document;
        size_t attempts = 0;
        /// Attempts that have not ended, and those of them that are receiving the document.
        size_t running = 0;
        size_t receiving = 0;
        size_t responses = 0;
        /// Cancelled when an attempt ends or a source is added.
        Timer progress;
    };

    asio::awaitable<void> run(std::shared_ptr<Fetch>);
    asio::awaitable<void> askTreeSource(std::shared_ptr<Fetch>);
    void startAttempt(const std::shared_ptr<Fetch>&, const std::string& ip);
    asio::awaitable<void> runAttempt(std::shared_ptr<Fetch>, std::string ip);
    /// Waits until the document has arrived, all attempts have ended, or another source should be asked.
    asio::awaitable<void> waitForAttempts(std::shared_ptr<Fetch>);
    /// @return The document; empty if the source did not respond in time or has only an earlier version.
    asio::awaitable<std::optional<Fetched>> receive(std::shared_ptr<Fetch>, std::string ip);

    asio::any_io_executor m_executor;
    const Clock& m_clock;
    ConnectionPool& m_pool;
    uint16_t m_port;
    std::string m_path;
    /// Null while no fetch is under way.
    std::shared_ptr<Fetch> m_current;
};

}
