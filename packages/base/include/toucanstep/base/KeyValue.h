// The platform's key-value service as the rest of the system sees it: typed transactions and an asynchronous interface.
//
// Decision libraries only make and read these values; `platform` turns them into calls. A Timeout outcome means that a
// transaction may have taken effect: whoever sent it settles it by reading back its own nonce, never by sending it again.

#pragma once

#include "toucanstep/base/Result.h"
#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace toucanstep::base {

using LeaseId = StrongNumber<struct LeaseIdTag>;

struct KeyValue {
    std::string key;
    std::string value;
    // The revision that created the key, and the one that last wrote it.
    Revision created;
    Revision modified;
};

// Holds while the key's last writing revision is `modified`; revision 0 stands for "the key does not exist".
struct Comparison {
    std::string key;
    Revision modified;
};

struct PutOperation {
    std::string key;
    std::string value;
    std::optional<LeaseId> lease;
};

struct DeleteOperation {
    std::string key;
};

using Operation = std::variant<PutOperation, DeleteOperation>;

// Carried out whole if every comparison holds, and not at all otherwise.
struct Transaction {
    std::vector<Comparison> comparisons;
    std::vector<Operation> operations;
};

struct TransactionReply {
    bool committed = false;
    Revision revision;
};

struct RangeReply {
    std::vector<KeyValue> entries;
    // The service's revision at which the range was read.
    Revision revision;
};

// What tells whether anything under a prefix has changed, without reading it.
struct RangeSummary {
    int64_t count = 0;
    // The highest revision that wrote one of the keys; zero where there is none.
    Revision newest;
    // The service's revision at which the range was summed up.
    Revision revision;
};

// What came of a call: a value, or the error.
template <typename T>
using Outcome = std::variant<T, Error>;

struct WatchEvent {
    // A deletion has an empty value and `deleted` set.
    KeyValue entry;
    bool deleted = false;
};

class WatchListener {
public:
    virtual ~WatchListener() = default;
    virtual void onEvents(std::vector<WatchEvent>, Revision) = 0;
    // The watch has ended, for example because its connection broke; nothing more arrives. TooLarge: what has changed is larger than
    // a list of the prefix.
    virtual void onEnd(Error) = 0;
};

// Destroying the handle ends the watch.
class WatchHandle {
public:
    virtual ~WatchHandle() = default;
    // The watcher has learned from elsewhere what has changed up to `revision`, which the service had at `asOf`. An
    // implementation that polls may put off its next request accordingly.
    virtual void onLearned(Revision, Instant) { }
};

// Calls return at once; callbacks run on a thread of the implementation, exactly once for each call.
class KeyValueStore {
public:
    virtual ~KeyValueStore() = default;
    // Reads one key.
    virtual void get(std::string key, Instant deadline, std::function<void(Outcome<RangeReply>)>) = 0;
    // Reads one key without its value, which may be large: the revisions tell whether it has changed.
    virtual void stat(std::string key, Instant deadline, std::function<void(Outcome<RangeReply>)>) = 0;
    // Reads all keys with that prefix.
    virtual void list(std::string prefix, Instant deadline, std::function<void(Outcome<RangeReply>)>) = 0;
    // The same; `onPart` gets entries as they arrive, before all of them are read.
    virtual void listInParts(std::string prefix, Instant deadline, std::function<void(const std::vector<KeyValue>&)> onPart, std::function<void(Outcome<RangeReply>)> callback)
    {
        (void)onPart;
        list(std::move(prefix), deadline, std::move(callback));
    }
    // Counts the keys with that prefix and tells the newest of their revisions; the answer has the same size for any count.
    virtual void summarize(std::string prefix, Instant deadline, std::function<void(Outcome<RangeSummary>)>) = 0;
    virtual void commit(Transaction, Instant deadline, std::function<void(Outcome<TransactionReply>)>) = 0;
    virtual void grantLease(Duration timeToLive, Instant deadline, std::function<void(Outcome<LeaseId>)>) = 0;
    virtual void keepLeaseAlive(LeaseId, Instant deadline, std::function<void(Outcome<LeaseId>)>) = 0;
    virtual std::unique_ptr<WatchHandle> watch(std::string prefix, Revision from, std::shared_ptr<WatchListener>) = 0;
    // When a part of a good answer last came, whole or not; nothing where the implementation does not tell.
    virtual std::optional<Instant> lastProgress() const { return std::nullopt; }
};

} // namespace toucanstep::base
