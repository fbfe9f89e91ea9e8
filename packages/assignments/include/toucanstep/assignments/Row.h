// An assignment: a row in the key-value service that names the single process holding an exclusive or bounded
// resource.
//
//     Row row { .key = { RowKind::ReplicaSlot, "model-a", 0 }, .holder = self, .epoch = epoch };
//     put(storageKey(row.key), encodeRow(row));
//
// A row is stored under /toucanstep/assignments/KIND/SUBJECT/SLOT as one MessagePack value. Its epoch increases with
// every write of the key, even across deletions, and serves as the fencing token of orders issued under it.

#pragma once

#include "toucanstep/base/KeyValue.h"
#include "toucanstep/base/Result.h"
#include "toucanstep/base/StrongTypes.h"

#include <string>
#include <string_view>
#include <vector>

namespace toucanstep::assignments {

// Chosen by each process at startup; distinguishes a restarted process from the previous one on the same instance.
using StartNonce = base::StrongId<struct StartNonceTag>;
// Identifies one attempt to write a row; used to resolve a write whose answer was lost.
using WriteNonce = base::StrongId<struct WriteNonceTag>;

enum class RowKind {
    LimitShare,
    ReplicaSlot,
    CallPartition,
};

struct RowKey {
    RowKind kind = RowKind::LimitShare;
    std::string subject;
    uint32_t slot = 0;

    friend auto operator<=>(const RowKey&, const RowKey&) = default;
    friend bool operator==(const RowKey&, const RowKey&) = default;
};

struct Holder {
    base::InstanceId instance;
    // Empty if the writer does not know the process. The instance must then adopt the row before using it.
    StartNonce start;

    friend bool operator==(const Holder&, const Holder&) = default;
};

struct Row {
    RowKey key;
    Holder holder;
    base::Epoch epoch;
    WriteNonce writer;
    // Data of the row's kind; opaque to this library.
    std::string payload;
    // The revision that wrote the row; not part of the stored value.
    base::Revision modified;

    friend bool operator==(const Row&, const Row&) = default;
};

std::string_view rowKindName(RowKind);

// Key prefixes of all rows, and of all rows of one kind.
inline constexpr std::string_view allRowsPrefix = "/toucanstep/assignments/";
std::string kindPrefix(RowKind);
// The subject is percent-encoded so that a slash in it cannot change the key's structure.
std::string storageKey(const RowKey&);
// Fails with Malformed for a key that storageKey() cannot produce.
base::Result<RowKey> parseStorageKey(std::string_view);

std::string encodeRow(const Row&);
// Fails with Malformed if the key or the value is invalid.
base::Result<Row> decodeRow(const base::KeyValue&);

// Records that the platform's list has dropped an instance and that its rows are about to be taken over. Voters
// promise under the revision of this entry, and each takeover compares it.
std::string goneMarkKey(const base::InstanceId&);
inline constexpr std::string_view goneMarksPrefix = "/toucanstep/gone/";
base::Result<base::InstanceId> parseGoneMarkKey(std::string_view);

// The epoch for a write based on a read at revision `read`; greater than every earlier epoch of that key.
base::Epoch nextEpoch(base::Revision read);

} // namespace toucanstep::assignments
