#pragma once

#include "snipeweir/relay/CallerConnection.h"
#include "snipeweir/relay/RelayRequest.h"

#include <optional>
#include <string>

namespace snipeweir {

/// How a request and its answer travel between two nodes: HTTP/1.1 as the caller sent it, with one field that holds
/// what the serving node needs, and one on the answer that says what became of the request.
namespace hop_codec {

    /// @return Request line and fields for the next node.
    std::string requestHead(const RelayRequest&, const std::string& callIdField, SteadyTime now);

    /// @return The request that another node sent; empty if the hop field is missing or malformed.
    std::optional<RelayRequest> decodeRequest(
        CallerConnection::Request&, const std::string& callIdField, SteadyTime now);

    /// @return Status line and fields of an answer to another node, without those of the body's length.
    std::string answerHead(const Answer&);

    /// Takes what became of the request from an answer's head; the body is read by the caller.
    /// @return The answer without its body; empty if the peer's answer is malformed.
    std::optional<Answer> decodeAnswer(const HttpExchange&);

    /// @return Fields of a caller's request that are passed on.
    std::vector<HeaderField> passedFields(const CallerConnection::Request&, const std::vector<std::string>& replaced);

    /// @return Status line of a status.
    std::string statusLine(unsigned status);

    void appendFields(std::string& head, const std::vector<HeaderField>&);
}

}
