#include "ConfigurationArchive.h"

#include "toucanstep/base/Digest.h"
#include "toucanstep/base/Text.h"
#include "toucanstep/node/Keys.h"

#include <future>
#include <nlohmann/json.hpp>
#include <thread>

namespace toucanstep::cli::internal {

namespace {

// Text and entry of one transaction, before the encoding of the call adds a third: the service takes 1.5 MiB in one call.
constexpr size_t mostTransactionBytes = 1'000'000;
constexpr base::Duration readBackInterval = std::chrono::milliseconds(100);

// The answer of a call that calls back exactly once.
template <typename Value, typename Start>
base::Outcome<Value> await(Start&& start)
{
    auto promise = std::make_shared<std::promise<base::Outcome<Value>>>();
    std::future<base::Outcome<Value>> future = promise->get_future();
    start([promise](base::Outcome<Value> outcome) { promise->set_value(std::move(outcome)); });
    return future.get();
}

// Padded, so that the order of the keys is the order of the versions.
std::string historyKey(base::Revision replaced)
{
    return base::concat(node::configurationHistoryPrefix, absl::StrCat(absl::Dec(replaced.value(), absl::kZeroPad20)));
}

std::string encode(const Publication& publication, bool withText)
{
    nlohmann::json entry {
        { "replaced", publication.expected.value() },
        { "who", publication.who },
        { "when", publication.when },
        { "digest", base::sha256Hex(publication.text) },
        { "nonce", publication.nonce },
    };
    if (withText)
        entry["text"] = publication.text;
    return entry.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<HistoryEntry> decode(const base::KeyValue& stored)
{
    constexpr bool throwing = false;
    nlohmann::json entry = nlohmann::json::parse(stored.value, nullptr, throwing);
    if (!entry.is_object())
        return std::nullopt;
    auto text = [&](const char* name) {
        auto found = entry.find(name);
        return found != entry.end() && found->is_string() ? found->get<std::string>() : std::string();
    };
    HistoryEntry decoded;
    decoded.version = stored.modified;
    if (auto replaced = entry.find("replaced"); replaced != entry.end() && replaced->is_number_integer())
        decoded.replaced = base::Revision(replaced->get<int64_t>());
    decoded.who = text("who");
    decoded.when = text("when");
    decoded.digest = text("digest");
    decoded.nonce = text("nonce");
    if (entry.contains("text"))
        decoded.text = text("text");
    return decoded;
}

PublishedVersion fromRange(const base::RangeReply& reply)
{
    if (reply.entries.empty())
        return {};
    return { reply.entries.front().modified, reply.entries.front().value };
}

} // namespace

ConfigurationArchive::ConfigurationArchive(base::KeyValueStore& store, base::Duration timeout)
    : m_store(store)
    , m_timeout(timeout)
{
}

base::Instant ConfigurationArchive::deadline() const
{
    return base::deadlineAfter(base::SteadyClock().now(), m_timeout);
}

base::Outcome<PublishedVersion> ConfigurationArchive::current()
{
    auto outcome = await<base::RangeReply>([&](auto callback) { m_store.get(std::string(node::configurationKey), deadline(), callback); });
    if (auto* error = std::get_if<base::Error>(&outcome))
        return *error;
    return fromRange(std::get<base::RangeReply>(outcome));
}

base::Outcome<std::vector<HistoryEntry>> ConfigurationArchive::history()
{
    auto outcome = await<base::RangeReply>([&](auto callback) { m_store.list(std::string(node::configurationHistoryPrefix), deadline(), callback); });
    if (auto* error = std::get_if<base::Error>(&outcome))
        return *error;
    std::vector<HistoryEntry> entries;
    for (const base::KeyValue& stored : std::get<base::RangeReply>(outcome).entries) {
        if (auto entry = decode(stored))
            entries.push_back(std::move(*entry));
    }
    std::sort(entries.begin(), entries.end(), [](const HistoryEntry& left, const HistoryEntry& right) { return left.version < right.version; });
    return entries;
}

PublicationOutcome ConfigurationArchive::publish(const Publication& publication)
{
    auto before = current();
    if (auto* error = std::get_if<base::Error>(&before))
        return NotPublished { error->message };
    if (std::get<PublishedVersion>(before).version != publication.expected)
        return LostRace { std::get<PublishedVersion>(before) };
    auto kept = history();
    if (auto* error = std::get_if<base::Error>(&kept))
        return NotPublished { error->message };

    bool withText = publication.text.size() + encode(publication, true).size() <= mostTransactionBytes;
    base::Transaction transaction;
    transaction.comparisons.push_back({ std::string(node::configurationKey), publication.expected });
    transaction.operations.push_back(base::PutOperation { std::string(node::configurationKey), publication.text, std::nullopt });
    transaction.operations.push_back(base::PutOperation { historyKey(publication.expected), encode(publication, withText), std::nullopt });
    const auto& entries = std::get<std::vector<HistoryEntry>>(kept);
    for (size_t index = 0; index + keptVersions <= entries.size(); ++index) {
        if (entries[index].replaced != publication.expected)
            transaction.operations.push_back(base::DeleteOperation { historyKey(entries[index].replaced) });
    }

    auto outcome = await<base::TransactionReply>([&](auto callback) { m_store.commit(transaction, deadline(), callback); });
    if (auto* error = std::get_if<base::Error>(&outcome)) {
        bool mayHaveHappened = error->kind != base::ErrorKind::Unavailable && error->kind != base::ErrorKind::Rejected;
        if (!mayHaveHappened)
            return NotPublished { error->message };
        return settle(publication, withText, error->message);
    }
    const auto& reply = std::get<base::TransactionReply>(outcome);
    if (reply.committed)
        return Published { reply.revision, withText };
    auto winner = current();
    if (auto* error = std::get_if<base::Error>(&winner))
        return NotPublished { base::concat("another version was published, and it cannot be read: ", error->message) };
    return LostRace { std::get<PublishedVersion>(winner) };
}

// The answer to the transaction was lost. It is not sent again: the first may have taken effect, and a second would then
// be told that it lost against itself. The nonce in the history tells that it did; another version in place of the
// expected one tells that it did not and never will, because revisions never come back. While neither shows, the
// transaction may still be under way, and what is stored is read again until the time is up.
PublicationOutcome ConfigurationArchive::settle(const Publication& publication, bool historyHasText, const std::string& reason)
{
    base::SteadyClock clock;
    base::Instant giveUpAt = deadline();
    while (true) {
        PublicationOutcome outcome = readBack(publication, historyHasText, reason);
        if (!std::holds_alternative<OutcomeUnknown>(outcome) || clock.now() + readBackInterval >= giveUpAt)
            return outcome;
        std::this_thread::sleep_for(readBackInterval);
    }
}

PublicationOutcome ConfigurationArchive::readBack(const Publication& publication, bool historyHasText, const std::string& reason)
{
    // The text is read first: were the history read first, a publication that lands between both reads would pass for another's.
    auto now = current();
    if (auto* error = std::get_if<base::Error>(&now))
        return OutcomeUnknown { base::concat(reason, "; reading back: ", error->message) };
    auto entries = history();
    if (auto* error = std::get_if<base::Error>(&entries))
        return OutcomeUnknown { base::concat(reason, "; reading back: ", error->message) };
    for (const HistoryEntry& entry : std::get<std::vector<HistoryEntry>>(entries)) {
        if (entry.nonce == publication.nonce)
            return Published { entry.version, historyHasText };
    }
    if (std::get<PublishedVersion>(now).version != publication.expected)
        return LostRace { std::get<PublishedVersion>(now) };
    return OutcomeUnknown { reason };
}

} // namespace toucanstep::cli::internal
