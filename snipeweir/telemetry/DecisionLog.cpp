#include "snipeweir/telemetry/DecisionLog.h"

#include <algorithm>
#include <cassert>
#include <cstring>
#include <memory>
#include <sstream>
#include <string_view>

namespace snipeweir {

namespace {

    constexpr std::array<const char*, 9> kindNames { "chosen", "no_endpoint", "refused", "lost", "retried",
        "retry_denied", "hedged", "hedge_denied", "finished" };

    int64_t toMicroseconds(SteadyTime time)
    {
        return std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count();
    }

    bool hasRetryReason(DecisionRecord::Kind kind)
    {
        return kind == DecisionRecord::Kind::Retried || kind == DecisionRecord::Kind::RetryDenied
            || kind == DecisionRecord::Kind::Hedged || kind == DecisionRecord::Kind::HedgeDenied;
    }

    bool hasOutcome(DecisionRecord::Kind kind)
    {
        return kind == DecisionRecord::Kind::Refused || kind == DecisionRecord::Kind::Lost
            || kind == DecisionRecord::Kind::Finished;
    }

    Json::Value candidateToJson(const CandidateRecord& candidate)
    {
        Json::Value json(Json::objectValue);
        json["vm"] = candidate.vm.text();
        json["phase"] = std::string(phaseName(candidate.phase));
        json["estimated_cost_us"] = static_cast<Json::Int64>(candidate.estimatedCost.count());
        if (candidate.reportAge)
            json["report_age_us"] = static_cast<Json::Int64>(candidate.reportAge->count());
        else
            json["report_age_us"] = Json::nullValue;
        json["own_in_flight"] = candidate.ownInFlight;
        json["reported_load"] = candidate.reportedLoad;
        json["limit"] = candidate.limit;
        json["ramp_percent"] = candidate.rampPercent;
        return json;
    }

}

DecisionLog::DecisionLog(size_t capacity)
    : m_entries(capacity)
{
    assert(capacity > 0);
}

void DecisionLog::assign(FixedString& destination, const std::string& text)
{
    destination.length = static_cast<uint8_t>(std::min(text.size(), maxNameLength));
    std::memcpy(destination.characters.data(), text.data(), destination.length);
}

void DecisionLog::append(const DecisionRecord& record)
{
    const std::lock_guard lock(m_mutex);
    Entry& entry = m_entries[m_next];
    m_next = (m_next + 1) % m_entries.size();
    m_count = std::min(m_count + 1, m_entries.size());

    assign(entry.call, record.call.text());
    assign(entry.vm, record.vm.text());
    entry.record.kind = record.kind;
    entry.record.at = record.at;
    entry.record.attempt = record.attempt;
    entry.record.outcome = record.outcome;
    entry.record.reason = record.reason;
    entry.record.retryReason = record.retryReason;
    entry.consideredCount = std::min(record.considered.size(), maxCandidates);
    for (size_t i = 0; i < entry.consideredCount; ++i) {
        Candidate& candidate = entry.considered.at(i);
        assign(candidate.vm, record.considered[i].vm.text());
        candidate.record = record.considered[i];
        candidate.record.vm = VmId();
    }
}

DecisionRecord DecisionLog::toRecord(const Entry& entry)
{
    const auto text = [](const FixedString& string) { return std::string(string.characters.data(), string.length); };
    DecisionRecord record = entry.record;
    record.call = CallId(text(entry.call));
    record.vm = VmId(text(entry.vm));
    for (size_t i = 0; i < entry.consideredCount; ++i) {
        record.considered.push_back(entry.considered.at(i).record);
        record.considered.back().vm = VmId(text(entry.considered.at(i).vm));
    }
    return record;
}

std::vector<DecisionRecord> DecisionLog::records(const std::string* call) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<DecisionRecord> found;
    const size_t oldest = m_next + m_entries.size() - m_count;
    for (size_t i = 0; i < m_count; ++i) {
        const Entry& entry = m_entries[(oldest + i) % m_entries.size()];
        const std::string_view name(entry.call.characters.data(), entry.call.length);
        if (!call || name == std::string_view(*call).substr(0, maxNameLength))
            found.push_back(toRecord(entry));
    }
    return found;
}

Json::Value DecisionLog::toJson(const DecisionRecord& record)
{
    Json::Value json(Json::objectValue);
    json["kind"] = kindNames.at(static_cast<size_t>(record.kind));
    json["at_us"] = static_cast<Json::Int64>(toMicroseconds(record.at));
    json["attempt"] = record.attempt;
    if (!record.vm.isEmpty())
        json["vm"] = record.vm.text();
    if (hasOutcome(record.kind)) {
        json["outcome"] = std::string(outcomeName(record.outcome));
        json["reason"] = std::string(reasonName(record.reason));
    }
    if (hasRetryReason(record.kind))
        json["retry_reason"] = std::string(retryReasonName(record.retryReason));
    for (const CandidateRecord& candidate : record.considered)
        json["considered"].append(candidateToJson(candidate));
    return json;
}

Json::Value DecisionLog::find(const CallId& call) const
{
    const std::vector<DecisionRecord> found = records(&call.text());
    if (found.empty())
        return Json::nullValue;
    Json::Value json(Json::objectValue);
    json["call"] = call.text();
    for (const DecisionRecord& record : found)
        json["records"].append(toJson(record));
    return json;
}

std::string DecisionLog::text() const
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    const std::unique_ptr<Json::StreamWriter> writer(builder.newStreamWriter());
    std::ostringstream text;
    for (const DecisionRecord& record : records(nullptr)) {
        Json::Value json = toJson(record);
        json["call"] = record.call.text();
        writer->write(json, &text);
        text << '\n';
    }
    return text.str();
}

}
