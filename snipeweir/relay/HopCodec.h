#pragma once

#include "snipeweir/relay/InboundConnection.h"
#include "snipeweir/relay/RelayRequest.h"

#include <optional>
#include <string>

namespace snipeweir {

/// Encodes requests and responses sent between two nodes. A request is the caller's HTTP/1.1 request with an additional
/// header field for the serving node: service, expected instance, priority and time limits. The response has additional
/// fields for the outcome of the request and for the time that it took.
namespace hop_codec {

    /// @return Whether the body is large enough to be sent only when the serving node has memory for it. The head then
    /// has the field "Expect: 100-continue".
    bool mustWaitForContinue(const RelayRequest&);

    /// @return Request line and header fields to send to the serving node, with the empty line that ends them.
    std::string requestHead(const RelayRequest&, const std::string& callIdField, SteadyTime now);

    /// Decodes a request sent by another node; the body is left to the caller.
    /// @return The request; empty if the hop field is missing or malformed.
    std::optional<RelayRequest> decodeRequest(
        InboundConnection::Request&, const std::string& callIdField, SteadyTime now);

    /// @return Status line and header fields of a response to another node, without the fields for the body's length.
    std::string responseHead(const Response&);

    /// Decodes the head of another node's response; the body is left to the caller.
    /// @return The response without its body; empty if the outcome field is missing or malformed.
    std::optional<Response> decodeResponse(const HttpExchange&);

    /// @param excluded Names of further header fields to leave out, ignoring case.
    /// @return End-to-end header fields of a request, without the product's own.
    std::vector<HeaderField> forwardedFields(
        const InboundConnection::Request&, const std::vector<std::string>& excluded);

    /// @return HTTP/1.1 status line with the standard reason phrase.
    std::string statusLine(unsigned status);

    void appendFields(std::string& head, const std::vector<HeaderField>&);
}

}
