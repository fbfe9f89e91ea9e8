#include "toucanstep/formats/EtcdStore.h"

#include "JsonAccess.h"
#include "toucanstep/base/Text.h"
#include "toucanstep/formats/Base64.h"

#include <atomic>

namespace toucanstep::formats {

namespace {

using namespace base;
using internal::flagMember;
using internal::Json;
using internal::member;
using internal::numberMember;
using internal::parseJson;
using internal::textMember;

constexpr Duration watchLifetime = std::chrono::hours(24 * 365);
// One event line holds at most what one transaction may write, which etcd bounds far below this.
constexpr size_t longestEventLine = 16 * 1024 * 1024;
constexpr int httpOk = 200;
constexpr int firstServerErrorStatus = 500;
constexpr size_t quotedBytes = 200;

// The first key after all those with the prefix; a lone zero byte stands for "to the end" in etcd.
std::string endOfPrefix(std::string prefix)
{
    while (!prefix.empty() && static_cast<unsigned char>(prefix.back()) == 0xff)
        prefix.pop_back();
    if (prefix.empty())
        return std::string(1, '\0');
    prefix.back() = static_cast<char>(static_cast<unsigned char>(prefix.back()) + 1);
    return prefix;
}

void setPrefix(Json& json, const std::string& prefix)
{
    json["key"] = encodeBase64(prefix.empty() ? std::string(1, '\0') : prefix);
    json["range_end"] = encodeBase64(endOfPrefix(prefix));
}

Json comparisonToJson(const Comparison& comparison)
{
    return { { "target", "MOD" }, { "result", "EQUAL" }, { "key", encodeBase64(comparison.key) },
        { "mod_revision", concat(comparison.modified) } };
}

Json operationToJson(const Operation& operation)
{
    if (const auto* deletion = std::get_if<DeleteOperation>(&operation))
        return { { "request_delete_range", { { "key", encodeBase64(deletion->key) } } } };
    const auto& put = std::get<PutOperation>(operation);
    Json json = { { "key", encodeBase64(put.key) }, { "value", encodeBase64(put.value) } };
    if (put.lease)
        json["lease"] = concat(*put.lease);
    return { { "request_put", std::move(json) } };
}

Json transactionToJson(const Transaction& transaction)
{
    Json comparisons = Json::array();
    for (const auto& comparison : transaction.comparisons)
        comparisons.push_back(comparisonToJson(comparison));
    Json operations = Json::array();
    for (const auto& operation : transaction.operations)
        operations.push_back(operationToJson(operation));
    return { { "compare", std::move(comparisons) }, { "success", std::move(operations) } };
}

std::optional<KeyValue> keyValueFromJson(const Json& json)
{
    auto key = decodeBase64(textMember(json, "key"));
    auto value = decodeBase64(textMember(json, "value"));
    if (!key || !value)
        return std::nullopt;
    return KeyValue { .key = std::move(*key), .value = std::move(*value), .created = Revision(numberMember(json, "create_revision")), .modified = Revision(numberMember(json, "mod_revision")) };
}

Revision revisionOf(const Json& answer) { return Revision(numberMember(member(answer, "header"), "revision")); }

Error malformed() { return { ErrorKind::Malformed, "the key-value service's answer does not have the published form" }; }

Outcome<RangeReply> rangeFromJson(const Json& answer)
{
    RangeReply reply { .revision = revisionOf(answer) };
    for (const auto& json : member(answer, "kvs")) {
        auto entry = keyValueFromJson(json);
        if (!entry)
            return malformed();
        reply.entries.push_back(std::move(*entry));
    }
    return reply;
}

Outcome<RangeSummary> summaryFromJson(const Json& answer)
{
    RangeSummary summary { .count = numberMember(answer, "count"), .newest = {}, .revision = revisionOf(answer) };
    for (const auto& json : member(answer, "kvs"))
        summary.newest = std::max(summary.newest, Revision(numberMember(json, "mod_revision")));
    return summary;
}

// The error that stands in the answer, if there is one.
std::optional<Error> errorOf(const HttpReply& reply)
{
    if (reply.error)
        return reply.error;
    if (reply.ok())
        return std::nullopt;
    std::string message = concat("the key-value service answered ", reply.status, ": ", std::string_view(reply.body).substr(0, quotedBytes));
    bool mayHaveTakenEffect = reply.status >= firstServerErrorStatus;
    return Error { mayHaveTakenEffect ? ErrorKind::Timeout : ErrorKind::Rejected, std::move(message) };
}

// Cuts the answer of a watch into lines and hands on what they say.
class WatchReader final : public HttpListener {
public:
    explicit WatchReader(std::shared_ptr<WatchListener> listener)
        : m_listener(std::move(listener))
    {
    }

    void close() { m_closed = true; }

    void onStatus(int status, const HttpHeaders&) override { m_status = status; }

    void onData(std::string_view data) override
    {
        m_buffer.append(data);
        size_t begin = 0;
        for (size_t end = 0; (end = m_buffer.find('\n', begin)) != std::string::npos; begin = end + 1)
            takeLine(std::string_view(m_buffer).substr(begin, end - begin));
        m_buffer.erase(0, begin);
        if (m_buffer.size() > longestEventLine) {
            m_buffer.clear();
            end(malformed());
        }
    }

    void onEnd(std::optional<Error> error) override
    {
        if (!error && m_status != httpOk)
            error = Error { m_status >= firstServerErrorStatus ? ErrorKind::Unavailable : ErrorKind::Rejected, concat("the watch was answered with ", m_status) };
        end(error ? std::move(*error) : Error { ErrorKind::Timeout, "the service ended the watch" });
    }

private:
    void takeLine(std::string_view line)
    {
        // The body of a refusal is not a stream of results; onEnd tells of it.
        if (line.empty() || m_closed || m_ended || m_status != httpOk)
            return;
        auto json = parseJson(line);
        const Json& result = json ? member(*json, "result") : member({}, "");
        if (json && json->contains("error"))
            end({ ErrorKind::Unavailable, concat("the service broke the watch off: ", line.substr(0, quotedBytes)) });
        else if (!result.is_object())
            end(malformed());
        else if (flagMember(result, "canceled"))
            end({ ErrorKind::Rejected, concat("the watch was cancelled; compacted up to ", numberMember(result, "compact_revision")) });
        else
            takeResult(result);
    }

    void takeResult(const Json& result)
    {
        std::vector<WatchEvent> events;
        for (const auto& json : member(result, "events")) {
            auto entry = keyValueFromJson(member(json, "kv"));
            if (!entry) {
                end(malformed());
                return;
            }
            events.push_back({ .entry = std::move(*entry), .deleted = textMember(json, "type") == "DELETE" });
        }
        if (!events.empty())
            m_listener->onEvents(std::move(events), revisionOf(result));
    }

    void end(Error error)
    {
        if (m_ended || m_closed)
            return;
        m_ended = true;
        m_listener->onEnd(std::move(error));
    }

    std::shared_ptr<WatchListener> m_listener;
    std::string m_buffer;
    int m_status = 0;
    bool m_ended = false;
    std::atomic<bool> m_closed = false;
};

class EtcdWatch final : public WatchHandle {
public:
    EtcdWatch(std::shared_ptr<WatchReader> reader, std::unique_ptr<HttpCallHandle> call)
        : m_reader(std::move(reader))
        , m_call(std::move(call))
    {
    }
    ~EtcdWatch() override { m_reader->close(); }

private:
    std::shared_ptr<WatchReader> m_reader;
    std::unique_ptr<HttpCallHandle> m_call;
};

class EtcdStore final : public KeyValueStore {
public:
    EtcdStore(std::string url, std::shared_ptr<HttpClient> client, const EtcdStoreOptions& options)
        : m_url(std::move(url))
        , m_client(std::move(client))
        , m_options(options)
    {
    }

    void get(std::string key, Instant deadline, std::function<void(Outcome<RangeReply>)> callback) override
    {
        call<RangeReply>("/v3/kv/range", { { "key", encodeBase64(key) } }, deadline, &rangeFromJson, std::move(callback));
    }

    void stat(std::string key, Instant deadline, std::function<void(Outcome<RangeReply>)> callback) override
    {
        call<RangeReply>("/v3/kv/range", { { "key", encodeBase64(key) }, { "keys_only", true } }, deadline, &rangeFromJson, std::move(callback));
    }

    void list(std::string prefix, Instant deadline, std::function<void(Outcome<RangeReply>)> callback) override
    {
        Json request;
        setPrefix(request, prefix);
        call<RangeReply>("/v3/kv/range", request, deadline, &rangeFromJson, std::move(callback));
    }

    void summarize(std::string prefix, Instant deadline, std::function<void(Outcome<RangeSummary>)> callback) override
    {
        // The count is of all keys, also where the limit leaves some out.
        Json request = { { "keys_only", true }, { "limit", "1" }, { "sort_order", "DESCEND" }, { "sort_target", "MOD" } };
        setPrefix(request, prefix);
        call<RangeSummary>("/v3/kv/range", request, deadline, &summaryFromJson, std::move(callback));
    }

    void commit(Transaction transaction, Instant deadline, std::function<void(Outcome<TransactionReply>)> callback) override
    {
        auto read = [](const Json& answer) -> Outcome<TransactionReply> {
            return TransactionReply { .committed = flagMember(answer, "succeeded"), .revision = revisionOf(answer) };
        };
        call<TransactionReply>("/v3/kv/txn", transactionToJson(transaction), deadline, read, std::move(callback));
    }

    void grantLease(Duration timeToLive, Instant deadline, std::function<void(Outcome<LeaseId>)> callback) override
    {
        auto seconds = std::chrono::ceil<std::chrono::seconds>(timeToLive).count();
        auto read = [](const Json& answer) -> Outcome<LeaseId> { return leaseFromJson(answer); };
        call<LeaseId>("/v3/lease/grant", { { "TTL", concat(seconds) } }, deadline, read, std::move(callback));
    }

    void keepLeaseAlive(LeaseId lease, Instant deadline, std::function<void(Outcome<LeaseId>)> callback) override
    {
        auto read = [](const Json& answer) -> Outcome<LeaseId> {
            const Json& result = member(answer, "result");
            if (result.is_object() && numberMember(result, "TTL") <= 0)
                return Error { ErrorKind::Rejected, "the lease has expired" };
            return leaseFromJson(result);
        };
        call<LeaseId>("/v3/lease/keepalive", { { "ID", concat(lease) } }, deadline, read, std::move(callback));
    }

    std::unique_ptr<WatchHandle> watch(std::string prefix, Revision from, std::shared_ptr<WatchListener> listener) override
    {
        Json request;
        setPrefix(request, prefix);
        request["progress_notify"] = true;
        if (from.value() > 0)
            request["start_revision"] = concat(from);
        HttpCall call = makeCall("/v3/watch", { { "create_request", std::move(request) } }, std::chrono::steady_clock::now() + watchLifetime);
        call.silenceLimit = m_options.watchSilenceLimit;
        call.freshConnection = true;
        auto reader = std::make_shared<WatchReader>(std::move(listener));
        auto handle = m_client->start(std::move(call), reader);
        return std::make_unique<EtcdWatch>(std::move(reader), std::move(handle));
    }

private:
    static Outcome<LeaseId> leaseFromJson(const Json& answer)
    {
        LeaseId lease(numberMember(answer, "ID"));
        if (lease.value() == 0)
            return malformed();
        return lease;
    }

    HttpCall makeCall(std::string_view path, const Json& request, Instant deadline) const
    {
        return { .method = "POST", .url = concat(m_url, path), .headers = { { "Content-Type", "application/json" } }, .body = request.dump(), .deadline = deadline };
    }

    template <typename Reply, typename Read>
    void call(std::string_view path, const Json& request, Instant deadline, Read read, std::function<void(Outcome<Reply>)> callback)
    {
        auto onReply = [read, callback = std::move(callback)](const HttpReply& reply) {
            if (auto error = errorOf(reply)) {
                callback(std::move(*error));
                return;
            }
            auto answer = parseJson(reply.body);
            if (answer && answer->is_object())
                callback(read(*answer));
            else
                callback(malformed());
        };
        m_client->fetchAsync(makeCall(path, request, deadline), std::move(onReply));
    }

    const std::string m_url;
    const std::shared_ptr<HttpClient> m_client;
    const EtcdStoreOptions m_options;
};

} // namespace

std::unique_ptr<KeyValueStore> makeEtcdStore(std::string url, std::shared_ptr<HttpClient> client, const EtcdStoreOptions& options)
{
    return std::make_unique<EtcdStore>(std::move(url), std::move(client), options);
}

} // namespace toucanstep::formats
