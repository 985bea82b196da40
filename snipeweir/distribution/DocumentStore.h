#pragma once

#include "snipeweir/core/Clock.h"
#include "snipeweir/core/Identity.h"
#include "snipeweir/core/StateChart.h"
#include "snipeweir/distribution/DocumentName.h"

#include <array>
#include <deque>
#include <functional>
#include <memory>

namespace snipeweir {

/// Result of offering a document to the store.
enum class OfferResult : uint8_t {
    Accepted, ///< In force now. It was newer, or had the same revision as the previous content and a lower hash.
    Unchanged, ///< Already in force.
    Older, ///< A newer revision is in force.
    Refused, ///< Failed validation now or earlier. The last valid revision stays in force.
    ConflictLost, ///< Not accepted: same revision as the content in force, but a higher hash.
};

/// One revision of a document.
struct Document {
    Revision revision;
    uint64_t hash = 0;
    std::shared_ptr<const std::string> text;
    SteadyTime acceptedAt;
    std::string source; ///< VM name of the sending node, or "platform".
};

/// Callbacks from the store to the node, called on the control thread.
struct DocumentHooks {
    std::function<std::optional<Error>(DocumentName, std::string_view text, Revision)> validate; ///< Required.
    std::function<void(DocumentName, const Document&)> onAccepted;
    std::function<void(DocumentName, Revision, const Error&, const std::string& source)> onRefused;
    std::function<void(DocumentName, Revision, uint64_t keptHash, uint64_t otherHash, const std::string& source)>
        onConflict;
};

/// Holds the last valid revision of each document. Revisions only increase, and every revision is fully validated
/// before it is accepted. If two contents exist under one revision, all nodes keep the one with the lower hash. Keeps a
/// few previous texts as bases for deltas. Owned by the control thread.
class DocumentStore {
public:
    /// Maximum number of previous texts kept per document.
    static constexpr size_t maxPrevious = 4;

    /// Maximum number of refused revisions remembered per document.
    static constexpr size_t maxRefused = 16;

    /// Maximum size of a text, in bytes. The platform's documents are up to 1 MB.
    static constexpr size_t maxDocumentBytes = 1U << 20U;

    /// @param documentChart State chart of a document, charts/document.json.
    /// @param clock Source of time; outlives the store.
    /// @param hooks Callbacks to the node.
    /// @return The store, or ErrorCode::InvalidArgument if there is no validate hook.
    static Result<std::unique_ptr<DocumentStore>> create(
        StateChart documentChart, const Clock& clock, DocumentHooks hooks);

    /// Puts a revision in force if it is valid and newer, or wins a conflict by its lower hash. Then validates a
    /// refused revision of the other document again.
    /// @param name Document that the text belongs to.
    /// @param revision Revision of the text; zero is refused.
    /// @param text Full text.
    /// @param source VM name of the sending node, or "platform".
    /// @return Whether the revision was accepted, or why not.
    OfferResult offer(DocumentName name, Revision revision, std::string text, const std::string& source);

    /// @return The document in force, or null if none is. Valid until the next offer().
    const Document* current(DocumentName name) const;

    /// @return The current or a previous document with this revision and hash, or null if it is not kept. Valid until
    /// the next offer().
    const Document* find(DocumentName name, Revision revision, uint64_t hash) const;

    /// @return Whether the content with this revision and hash should be fetched: it is newer than the one in force or
    /// wins a conflict with it, and has not been refused.
    bool isWanted(DocumentName name, Revision revision, uint64_t hash) const;

    /// @return The highest revision in force or refused. A watch asks for revisions after it, so that a refused
    /// revision is not read again.
    Revision highestSeen(DocumentName name) const;

    /// Records in the state chart that a peer holds a newer revision.
    void markBehind(DocumentName name);

    /// @return Current state of the document in its state chart.
    const std::string& state(DocumentName name) const { return m_slots[indexOf(name)].state; }

private:
    struct RefusedRevision {
        Revision revision;
        uint64_t hash;
    };
    /// Documents and state of one document name.
    struct Slot {
        std::optional<Document> current;
        std::deque<Document> previous;
        std::deque<RefusedRevision> refused;
        std::optional<Document> candidate; ///< Newest refused document; validated again when the other one changes.
        std::string state;
    };

    DocumentStore(StateChart, const Clock&, DocumentHooks);
    OfferResult evaluate(DocumentName, Document);
    OfferResult refuse(DocumentName, Document, const Error&);
    void accept(DocumentName, Document);
    void retryCandidates(DocumentName changed);
    void applyEvent(DocumentName, const char* event);
    bool isRefused(DocumentName, Revision, uint64_t hash) const;

    const StateChart m_chart;
    const Clock& m_clock;
    const DocumentHooks m_hooks;
    std::array<Slot, documentCount> m_slots;
};

}
