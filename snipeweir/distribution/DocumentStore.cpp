#include "snipeweir/distribution/DocumentStore.h"

#include "snipeweir/distribution/DocumentCodec.h"

#include <algorithm>

namespace snipeweir {

Result<std::unique_ptr<DocumentStore>> DocumentStore::create(
    StateChart documentChart, const Clock& clock, DocumentHooks hooks)
{
    if (!hooks.validate)
        return fail(ErrorCode::InvalidArgument, "DocumentHooks::validate must be set.");
    return std::unique_ptr<DocumentStore>(new DocumentStore(std::move(documentChart), clock, std::move(hooks)));
}

DocumentStore::DocumentStore(StateChart chart, const Clock& clock, DocumentHooks hooks)
    : m_chart(std::move(chart))
    , m_clock(clock)
    , m_hooks(std::move(hooks))
{
    for (auto& slot : m_slots)
        slot.state = m_chart.initial();
}

OfferResult DocumentStore::offer(DocumentName name, Revision revision, std::string text, const std::string& source)
{
    Document document;
    document.revision = revision;
    document.hash = documentHash(text);
    document.text = std::make_shared<const std::string>(std::move(text));
    document.source = source;
    const OfferResult result = evaluate(name, std::move(document));
    if (result == OfferResult::Accepted)
        retryCandidates(name);
    return result;
}

OfferResult DocumentStore::evaluate(DocumentName name, Document document)
{
    const Slot& slot = m_slots[indexOf(name)];

    // Compare with the document in force.
    if (slot.current) {
        if (document.revision.value < slot.current->revision.value)
            return OfferResult::Older;
        if (document.revision == slot.current->revision) {
            if (document.hash == slot.current->hash)
                return OfferResult::Unchanged;
            if (isRefused(name, document.revision, document.hash))
                return OfferResult::Refused;
            const uint64_t kept = std::min(document.hash, slot.current->hash);
            if (m_hooks.onConflict)
                m_hooks.onConflict(
                    name, document.revision, kept, std::max(document.hash, slot.current->hash), document.source);
            if (kept == slot.current->hash)
                return OfferResult::ConflictLost;
        }
    }
    if (isRefused(name, document.revision, document.hash))
        return OfferResult::Refused;

    // Run the full validation.
    if (document.revision.value == 0 || document.text->size() > maxDocumentBytes)
        return refuse(name, std::move(document),
            Error { ErrorCode::InvalidDocument, "The revision is zero or the text is larger than 1 MiB." });
    if (const auto error = m_hooks.validate(name, *document.text, document.revision))
        return refuse(name, std::move(document), *error);
    accept(name, std::move(document));
    return OfferResult::Accepted;
}

OfferResult DocumentStore::refuse(DocumentName name, Document document, const Error& error)
{
    Slot& slot = m_slots[indexOf(name)];
    slot.refused.push_back({ document.revision, document.hash });
    if (slot.refused.size() > maxRefused)
        slot.refused.pop_front();
    applyEvent(name, "refused");
    const Revision revision = document.revision;
    const std::string source = document.source;
    const bool isNewest = !slot.candidate || revision.value >= slot.candidate->revision.value;
    if (isNewest && document.text->size() <= maxDocumentBytes && revision.value > 0)
        slot.candidate = std::move(document);
    if (m_hooks.onRefused)
        m_hooks.onRefused(name, revision, error, source);
    return OfferResult::Refused;
}

void DocumentStore::accept(DocumentName name, Document document)
{
    Slot& slot = m_slots[indexOf(name)];
    if (slot.current) {
        slot.previous.push_front(std::move(*slot.current));
        if (slot.previous.size() > maxPrevious)
            slot.previous.pop_back();
    }
    if (slot.candidate && slot.candidate->revision.value <= document.revision.value)
        slot.candidate.reset();
    document.acceptedAt = m_clock.now();
    slot.current = std::move(document);
    applyEvent(name, "taken");
    if (m_hooks.onAccepted)
        m_hooks.onAccepted(name, *slot.current);
}

void DocumentStore::retryCandidates(DocumentName changed)
{
    // A fleet configuration is refused if one of its exceptions names a VM that only a newer VM list contains. It
    // becomes valid once that list is in force, so refused documents are validated again when the other document
    // changes.
    for (const auto name : allDocuments) {
        Slot& slot = m_slots[indexOf(name)];
        if (name == changed || !slot.candidate
            || m_hooks.validate(name, *slot.candidate->text, slot.candidate->revision))
            continue;
        Document document = std::move(*slot.candidate);
        slot.candidate.reset();
        std::erase_if(slot.refused, [&document](const RefusedRevision& refused) {
            return refused.revision == document.revision && refused.hash == document.hash;
        });
        evaluate(name, std::move(document));
    }
}

const Document* DocumentStore::current(DocumentName name) const
{
    const auto& document = m_slots[indexOf(name)].current;
    return document ? &*document : nullptr;
}

const Document* DocumentStore::find(DocumentName name, Revision revision, uint64_t hash) const
{
    const Slot& slot = m_slots[indexOf(name)];
    if (slot.current && slot.current->revision == revision && slot.current->hash == hash)
        return &*slot.current;
    for (const auto& document : slot.previous) {
        if (document.revision == revision && document.hash == hash)
            return &document;
    }
    return nullptr;
}

bool DocumentStore::isWanted(DocumentName name, Revision revision, uint64_t hash) const
{
    const Slot& slot = m_slots[indexOf(name)];
    if (revision.value == 0 || isRefused(name, revision, hash))
        return false;
    if (!slot.current || revision.value > slot.current->revision.value)
        return true;
    return revision == slot.current->revision && hash < slot.current->hash;
}

Revision DocumentStore::highestSeen(DocumentName name) const
{
    const Slot& slot = m_slots[indexOf(name)];
    Revision highest = slot.current ? slot.current->revision : Revision {};
    for (const auto& refused : slot.refused)
        highest.value = std::max(highest.value, refused.revision.value);
    return highest;
}

void DocumentStore::markBehind(DocumentName name) { applyEvent(name, "newer_known"); }

void DocumentStore::applyEvent(DocumentName name, const char* event)
{
    Slot& slot = m_slots[indexOf(name)];
    if (const auto next = m_chart.next(slot.state, event))
        slot.state = *next;
}

bool DocumentStore::isRefused(DocumentName name, Revision revision, uint64_t hash) const
{
    const auto& refused = m_slots[indexOf(name)].refused;
    return std::any_of(refused.begin(), refused.end(),
        [&](const RefusedRevision& entry) { return entry.revision == revision && entry.hash == hash; });
}

}
