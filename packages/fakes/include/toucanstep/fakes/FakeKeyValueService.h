// A stand-in for the platform's key-value service: the JSON gateway of etcd v3 over HTTP, in memory, with faults on demand.
//
//     FakeKeyValueService service;
//     auto store = formats::makeEtcdStore(service.url(), client);
//     service.setDown(true);

#pragma once

#include "toucanstep/base/KeyValue.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace toucanstep::fakes {

struct FakeKeyValueCounters {
    int64_t reads = 0;
    // Transactions that arrived, and those of them that wrote.
    int64_t transactions = 0;
    int64_t writes = 0;
    int64_t leaseCalls = 0;
    int64_t watchesBegun = 0;
    int64_t watchesWaiting = 0;
};

// The bounds on one transaction are those that etcd has by default.
struct FakeKeyValueServiceOptions {
    size_t maximumOperations = 128;
    size_t maximumRequestBytes = 1536 * 1024;
    // Hears what each transaction changed, in order. Called under the service's lock: it must not call back.
    std::function<void(const std::vector<base::WatchEvent>&)> observer;
};

// Every call is safe from any thread.
class FakeKeyValueService {
public:
    explicit FakeKeyValueService(const FakeKeyValueServiceOptions& = {});
    ~FakeKeyValueService();

    std::string url() const;

    // While down, connections are refused, and those that stood are cut. What was stored stays, and leases run on.
    void setDown(bool);
    // While set, every call is answered with 503 and has no effect.
    void setAnswering503(bool);
    // Calls take effect and are answered this much later, also where the caller has given up meanwhile.
    void setDelay(base::Duration);
    // The next transactions take effect, and the connection is cut without an answer.
    void loseNextAnswers(int count);
    // Watches that wait now stay connected and deliver nothing any more.
    void silenceWatches();
    // Forgets the history, so that a watch from an older revision is cancelled.
    void compact();

    FakeKeyValueCounters counters() const;
    base::Revision revision() const;
    std::optional<std::string> value(const std::string& key) const;
    // Writes past all faults, as an operator would. Returns the revision.
    base::Revision put(const std::string& key, const std::string& value);

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace toucanstep::fakes
