#include "RefusalRecord.h"

#include "toucanstep/base/LogLine.h"
#include "toucanstep/base/Text.h"

#include <charconv>

namespace toucanstep::direct {

namespace {

// Entries end by themselves once they are no longer written.
constexpr auto entryLease = std::chrono::minutes(10);
constexpr auto rewriteInterval = std::chrono::minutes(5);
constexpr auto storeCallTime = std::chrono::milliseconds(900);
constexpr size_t maxEntriesPerWrite = 16;
constexpr std::string_view refusedValue = "refused";
constexpr std::string_view endedValue = "ended";

std::string keyOf(CallTrait trait)
{
    return base::concat(refusalPrefix, trait.value());
}

std::optional<CallTrait> traitOf(std::string_view key)
{
    std::string_view digits = key.substr(refusalPrefix.size());
    int64_t number = 0;
    auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
    return error == std::errc() && end == digits.data() + digits.size() ? std::optional(CallTrait(number)) : std::nullopt;
}

} // namespace

RefusalRecord::RefusalRecord(io::EventLoop& loop, base::KeyValueStore& store, const Directory& fleet, CrashAttribution& crashes)
    : m_loop(loop)
    , m_store(store)
    , m_fleet(fleet)
    , m_crashes(crashes)
{
}

void RefusalRecord::onEntry(const base::KeyValue& entry)
{
    auto trait = traitOf(entry.key);
    if (!trait)
        return;
    if (entry.value == refusedValue)
        m_crashes.onStoredRefusal(*trait, m_loop.now());
    else if (entry.value == endedValue)
        m_crashes.onStoredEnd(*trait, m_loop.now());
}

std::vector<base::PutOperation> RefusalRecord::missing() const
{
    std::vector<base::PutOperation> entries;
    auto add = [&](std::string key, std::string_view value) {
        if (entries.size() < maxEntriesPerWrite)
            entries.push_back({ std::move(key), std::string(value), {} });
    };
    base::Instant now = m_loop.now();
    const auto& known = m_fleet.entries();
    for (CallTrait trait : m_crashes.settledRefusals(now)) {
        std::string key = keyOf(trait);
        auto next = m_nextWrite.find(key);
        auto stored = known.find(key);
        // It may have been ended since.
        bool isStored = stored != known.end() && stored->second.value == refusedValue;
        if (next == m_nextWrite.end() || next->second <= now || !isStored)
            add(std::move(key), refusedValue);
    }
    for (auto entry = known.lower_bound(std::string(refusalPrefix)); entry != known.end() && entry->first.starts_with(refusalPrefix); ++entry) {
        auto trait = traitOf(entry->first);
        if (trait && entry->second.value == refusedValue && !m_crashes.isRefused(*trait, now))
            add(entry->first, endedValue);
    }
    return entries;
}

void RefusalRecord::write()
{
    if (m_writing)
        return;
    std::vector<base::PutOperation> entries = missing();
    if (entries.empty())
        return;
    m_writing = true;
    m_store.grantLease(entryLease, m_loop.now() + storeCallTime, [this, entries = std::move(entries)](base::Outcome<base::LeaseId> outcome) mutable {
        if (const auto* lease = std::get_if<base::LeaseId>(&outcome))
            commit(std::move(entries), *lease);
        else
            m_writing = false;
    });
}

void RefusalRecord::commit(std::vector<base::PutOperation> entries, base::LeaseId lease)
{
    base::Transaction transaction;
    std::vector<std::string> keys;
    for (auto& entry : entries) {
        entry.lease = lease;
        keys.push_back(entry.key);
        transaction.operations.emplace_back(std::move(entry));
    }
    m_store.commit(std::move(transaction), m_loop.now() + storeCallTime, [this, keys = std::move(keys)](base::Outcome<base::TransactionReply> outcome) {
        m_writing = false;
        const auto* reply = std::get_if<base::TransactionReply>(&outcome);
        if (!reply || !reply->committed)
            return;
        base::LogLine("refusals_stored").add("entries", keys.size());
        for (const auto& key : keys)
            m_nextWrite[key] = m_loop.now() + rewriteInterval;
    });
}

} // namespace toucanstep::direct
