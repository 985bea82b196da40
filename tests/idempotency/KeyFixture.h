#pragma once

#include "snipeweir/idempotency/KeyIssuer.h"
#include "snipeweir/idempotency/KeyLedger.h"

namespace snipeweir {

/// An issuer and a ledger of VM "vm-1" on a manual clock, 1000 s after its process started.
struct KeyFixture {
    explicit KeyFixture(KeyLedgerSettings changed = {})
        : settings(std::move(changed))
    {
        settings.service = ServiceName("depositos");
        issuer = KeyIssuer::create({ { { 1, std::string(32, 'a') } }, {} }).value();
        ledger = KeyLedger::create(settings, VmId("vm-1"), Incarnation { 7 }, clock, startedAt).value();
    }

    IdempotencyKey key(std::chrono::milliseconds ahead = std::chrono::milliseconds(0)) const
    {
        return keyFor("vm-1", 7, ahead);
    }
    IdempotencyKey keyFor(const std::string& vm, uint64_t incarnation,
        std::chrono::milliseconds ahead = std::chrono::milliseconds(0), const std::string& service = "depositos") const
    {
        const auto uptime = std::chrono::duration_cast<std::chrono::milliseconds>(clock.now() - startedAt) + ahead;
        return issuer->open(issuer->issue(ServiceName(service), VmId(vm), Incarnation { incarnation }, uptime)).value();
    }

    ManualClock clock;
    SteadyTime startedAt = clock.now() - std::chrono::seconds(1000);
    KeyLedgerSettings settings;
    std::unique_ptr<KeyIssuer> issuer;
    std::unique_ptr<KeyLedger> ledger;
};

}
