#pragma once

#include "snipeweir/core/Cbor.h"
#include "snipeweir/membership/MemberView.h"

#include <vector>

namespace snipeweir {

/// State of one member as nodes exchange it. Records of one VM are totally ordered by (start, incarnation, counter,
/// state); the highest known one supersedes the others, so that nodes agree in whatever order records arrive.
struct MemberRecord {
    Peer peer;
    ServiceName service;
    uint64_t start = 0; ///< Wall clock at the start of the process, in ms; orders the incarnations of a VM.
    uint32_t counter = 0; ///< Raised only by the member itself, to refute a record about it or to leave.
    MemberState state = MemberState::Alive;

    /// @return Whether this record is of a later incarnation of the VM than the other.
    bool isLaterIncarnationThan(const MemberRecord& other) const;

    /// @return Whether this record is higher in that order than the other record of the same VM.
    bool supersedes(const MemberRecord& other) const;

    /// @return CBOR text of the record, about 70 bytes.
    std::string encoded() const;

    /// @return The record; empty if it is malformed, out of bounds, or the reader has failed.
    static std::optional<MemberRecord> decode(CborReader&);
};

/// A bridge's report on its link to another data centre.
struct LinkReport {
    DataCentreName dataCentre;
    VmId reporter;
    uint64_t version = 0; ///< Increases with each report of the reporter.
    bool isLost = false;

    std::string encoded() const;
    static std::optional<LinkReport> decode(CborReader&);
};

/// Rumours as sent in pings, acks, join replies and pushes.
struct RumourList {
    std::vector<MemberRecord> members;
    std::vector<LinkReport> links;

    /// @return The lists; empty if any part is malformed.
    static std::optional<RumourList> decode(CborReader&);
};

/// @return A name of at most 64 bytes; empty if it is malformed.
std::optional<std::string> readName(CborReader&);

}
