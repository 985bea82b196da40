#include "snipeweir/platform/PlatformClient.h"

#include <charconv>

namespace snipeweir {

namespace {

    constexpr std::chrono::milliseconds responseTimeout { 2000 };
    constexpr size_t maxDocumentBytes = 1U << 20U;

}

PlatformClient::PlatformClient(HttpClient& client, const Clock& clock, std::vector<Address> addresses)
    : m_client(client)
    , m_clock(clock)
    , m_addresses(std::move(addresses))
{
}

Result<std::optional<PublishedDocument>> PlatformClient::read(
    const std::string& name, Revision after, std::chrono::milliseconds wait, const std::function<bool()>& mayContinue)
{
    if (m_addresses.empty())
        return fail(ErrorCode::Unavailable, "No address of the configuration service is set.");

    HttpRequest request;
    request.to = m_addresses.at(m_current);
    request.target = "/v1/documents/" + name + "?after=" + std::to_string(after.value)
        + "&wait_ms=" + std::to_string(wait.count());
    request.headTimeout = wait + responseTimeout;
    request.noProgressTimeout = responseTimeout;
    request.deadline = m_clock.now() + wait + 2 * responseTimeout;
    ++m_calls;

    PublishedDocument document;
    HttpResponseHead response;
    TransferHooks hooks;
    hooks.onHead = [&](const HttpResponseHead& head) {
        response = head;
        return true;
    };
    hooks.onBody = [&](std::string_view chunk) {
        document.text.append(chunk);
        return document.text.size() <= maxDocumentBytes;
    };
    hooks.onWait = mayContinue;
    const TransferEnd end = m_client.perform(std::move(request), std::move(hooks));
    const auto failOver = [this](const std::string& message) {
        m_current = (m_current + 1) % m_addresses.size();
        return fail(ErrorCode::Unavailable, message);
    };
    if (end != TransferEnd::Complete)
        return failOver("The configuration service sent no complete response.");
    if (response.status == 304)
        return std::optional<PublishedDocument> {};
    const auto revision = response.header("Document-Revision");
    if (response.status != 200 || !revision)
        return failOver("The configuration service responded with status " + std::to_string(response.status) + ".");
    const auto parsed = std::from_chars(revision->data(), revision->data() + revision->size(), document.revision.value);
    if (parsed.ec != std::errc() || parsed.ptr != revision->data() + revision->size())
        return failOver("The configuration service sent a malformed Document-Revision header.");
    return std::optional<PublishedDocument>(std::move(document));
}

}
